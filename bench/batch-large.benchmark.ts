/**
The largest job, 130,000 items: its throughput against the engines' own ceiling, and whether the memory of entry and agents grows along it. Takes about five minutes a run.
*/
import {BatchRun, type JobFigures} from './batch-run.js';
import {figure} from './figure.js';
import type {Benchmark} from './types.js';

const items = 130_000;
const leastShare = 0.95;
// From the second fifth, when heaps have reached their working size, to the last.
const mostGrowthMb = 16;

export const benchmark: Benchmark = {
	name: 'batch-large',
	describe: 'a batch job of 130,000 items: its share of what the engines alone do in the same run, and the growth of memory along it',
	async run({runs = 1, seed, progress}) {
		const ceilings: number[] = [];
		const jobs: JobFigures[] = [];
		for (let index = 0; index < runs; index += 1) {
			const run = await BatchRun.start();
			try {
				ceilings.push(await run.ceiling());
				jobs.push(await run.job(items, seed + index));
				progress(`run ${index + 1}: engines alone ${ceilings.at(-1)!.toFixed(0)} items/s, ${JSON.stringify(jobs.at(-1))}`);
			} finally {
				await run.dispose();
			}
		}

		const growth = (memory: 'entryMb' | 'agentMb') => jobs.map(({byFifth}) => byFifth.at(-1)![memory] - byFifth[1]![memory]);
		return {
			figures: [
				figure('engines alone', 'items/s', ceilings),
				figure('job', 'items/s', jobs.map(job => job.itemsPerSecond)),
				figure('share of the engines', 'of 1', jobs.map((job, index) => job.itemsPerSecond / ceilings[index]!), {atLeast: leastShare}),
				figure('upload', 'items/s', jobs.map(job => job.uploadItemsPerSecond)),
				figure('entry, largest', 'MB', jobs.map(job => job.entryMb)),
				figure('agent, largest', 'MB', jobs.map(job => job.agentMb)),
				figure('entry, growth from the second fifth to the last', 'MB', growth('entryMb'), {atMost: mostGrowthMb}),
				figure('agent, growth from the second fifth to the last', 'MB', growth('agentMb'), {atMost: mostGrowthMb}),
			],
			notes: ['The fleet of the benchmark batch. Memory is the resident set, which holds the garbage that V8 has not collected yet.'],
		};
	},
};
