/**
Runs one benchmark and prints its figures: `npm run bench -- NAME [--json] [--seconds N] [--runs N] [--seed N]`. Ends with 1 when a bound is broken and with 2 when the benchmark could not measure, so that it can stand in CI.
*/
import {execFileSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import {cpus, loadavg, totalmem} from 'node:os';
import process from 'node:process';
import sade from 'sade';
import type {Benchmark, BenchmarkReport, Figure} from './types.js';

type Flags = {json?: boolean; seconds?: number; runs?: number; seed: number};

const folder = new URL('./', import.meta.url);
const suffix = '.benchmark.ts';
const defaultSeed = 1;
const printedDigits = 4;
const bytesPerGib = 2 ** 30;

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const complain = (line: string) => {
	process.stderr.write(`${line}\n`);
};

const names = () => readdirSync(folder).filter(file => file.endsWith(suffix)).map(file => file.slice(0, -suffix.length)).toSorted();

const load = async (name: string): Promise<Benchmark> => {
	const module_ = await import(new URL(`${name}${suffix}`, folder).href) as {benchmark: Benchmark};
	return module_.benchmark;
};

const git = (...args: string[]) => execFileSync('git', args, {encoding: 'utf8'}).trim();

// A figure belongs to a commit only when nothing was changed since.
const commit = () => {
	try {
		return `${git('rev-parse', '--short', 'HEAD')}${git('status', '--porcelain') === '' ? '' : ' with changes'}`;
	} catch {
		return 'unknown';
	}
};

const machine = () => ({
	cores: cpus().length, loadAverage: loadavg()[0], memoryGib: Math.round(totalmem() / bytesPerGib), node: process.version,
});

const short = (value: number) => String(Number(value.toPrecision(printedDigits)));

const boundText = ({bound}: Figure) => {
	if (!bound) {
		return '';
	}

	return 'atMost' in bound ? `at most ${bound.atMost}` : `at least ${bound.atLeast}`;
};

const row = (figure: Figure) => [
	figure.holds ? '' : 'BROKEN', figure.name, short(figure.median), figure.unit, `spread ${short(figure.spread)}`, `runs ${figure.runs}`, boundText(figure),
];

const printTable = (rows: readonly string[][]) => {
	const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(cells => (cells[column] ?? '').length)));
	rows.forEach(cells => {
		print(cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
	});
};

const printReport = (benchmark: Benchmark, report: BenchmarkReport, context: {commit: string; machine: ReturnType<typeof machine>}) => {
	print(`${benchmark.name}: ${benchmark.describe}`);
	printTable(report.figures.map(figure => row(figure)));
	report.notes.forEach(note => {
		print(note);
	});
	print(`commit ${context.commit}, ${context.machine.cores} cores, load average ${context.machine.loadAverage?.toFixed(1)} at the start, node ${context.machine.node}`);
};

const run = async (name: string, flags: Flags) => {
	const benchmark = await load(name);
	const context = {commit: commit(), machine: machine()};
	const report = await benchmark.run({
		seconds: flags.seconds, runs: flags.runs, seed: flags.seed, progress: complain,
	});
	if (flags.json) {
		print(JSON.stringify({
			benchmark: benchmark.name, describe: benchmark.describe, ...context, seed: flags.seed, ...report,
		}, undefined, '\t'));
	} else {
		printReport(benchmark, report, context);
	}

	process.exitCode = report.figures.every(figure => figure.holds) ? 0 : 1;
};

sade('bench [name]', true)
	.describe('Runs one benchmark; without a name, lists them.')
	.option('--json', 'Print JSON')
	.option('--seconds', 'How long one run may take')
	.option('--runs', 'Runs that the median is taken from')
	.option('--seed', 'Seed of everything drawn by chance', defaultSeed)
	.action(async (name: string | undefined, flags: Flags) => {
		if (name === undefined || !names().includes(name)) {
			complain(name === undefined ? 'Benchmarks:' : `There is no benchmark "${name}". Benchmarks:`);
			names().forEach(known => {
				complain(`  ${known}`);
			});
			process.exitCode = name === undefined ? 0 : 2;
			return;
		}

		try {
			await run(name, flags);
		} catch (err) {
			complain(`${name} could not measure: ${(err as Error).stack}`);
			process.exitCode = 2;
		}
	})
	.parse(process.argv);
