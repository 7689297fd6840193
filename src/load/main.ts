/**
The program `citronyard-load`: puts an open-loop load on entries and reports what callers saw, as JSON or as a table.
*/
import process from 'node:process';
import sade from 'sade';
import {exitCodes} from '../io/exit-codes.js';
import {loadSettings} from '../io/settings.js';
import {describeSettingsError} from '../io/settings-error.js';
import {reportUsageErrors, reportUnknownOption} from '../io/usage-errors.js';
import {version} from '../io/version.js';
import type {LatencySummary} from './latency-histogram.js';
import {LoadRun, type LoadReport} from './load-run.js';
import {loadSettingsSchema, type LoadSettings} from './settings.js';

type Flags = {readonly settings?: string; readonly json?: boolean};

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const fail = (lines: readonly string[], exitCode: number) => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exitCode = exitCode;
};

const latency = (title: string, {count, p50, p95, p99, max}: LatencySummary) => `  ${title.padEnd(16)} ${count} times, ms: p50 ${p50.toFixed(1)}, p95 ${p95.toFixed(1)}, p99 ${p99.toFixed(1)}, max ${max.toFixed(1)}`;

const printTable = (report: LoadReport) => {
	Object.entries(report.kinds).forEach(([kind, {answeredMs, firstTokenMs, betweenTokensMs, ...counts}]) => {
		print(`${kind}: ${Object.entries(counts).map(([name, count]) => `${name} ${count}`).join(', ')}`);
		print(latency('whole answer', answeredMs));
		if (firstTokenMs && betweenTokensMs) {
			print(latency('first token', firstTokenMs));
			print(latency('between tokens', betweenTokensMs));
		}
	});
	Object.entries(report.accounts).forEach(([name, {whole, tokens}]) => {
		print(`account ${name}: ${whole} answers, ${tokens} tokens streamed`);
	});
	report.jobs.forEach(({status, completed, failed, items, seconds}, job) => {
		print(`job ${job}: ${status}, ${completed} of ${items} completed, ${failed} failed, ${seconds.toFixed(1)} s`);
	});
	print(`${report.seconds.toFixed(1)} s, seed ${report.seed}, requests sent at most ${report.latestStartMs.toFixed(1)} ms after their moment`);
};

const run = async (settings: LoadSettings, json: boolean) => {
	const load = new LoadRun(settings);
	const report = await load.run();
	load.dispose();
	if (json) {
		print(JSON.stringify(report, undefined, '\t'));
		return;
	}

	printTable(report);
};

reportUsageErrors();
sade('citronyard-load', true)
	.version(version)
	.describe('Puts an open-loop load on entries on loopback and reports what callers saw. Latencies count from the moment a request was to start.')
	.option('-s, --settings', 'The settings file, JSON with comments')
	.option('--json', 'Print the report as JSON')
	.example('--settings load.jsonc --json')
	.action(async ({settings: path, json}: Flags) => {
		if (typeof path !== 'string') {
			fail(['citronyard-load: --settings FILE is missing'], exitCodes.usage);
			return;
		}

		const loaded = loadSettings(loadSettingsSchema, path);
		loaded.ifLeft(err => {
			const {lines, exitCode} = describeSettingsError(err);
			fail(lines, exitCode);
		});
		if (loaded.isRight()) {
			await run(loaded.extract(), json === true);
		}
	})
	.parse(process.argv, {unknown: reportUnknownOption, boolean: ['json'], string: ['settings']});
