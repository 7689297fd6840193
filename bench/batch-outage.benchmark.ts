/**
A batch job and online requests through an outage of the object API and a slow time after it.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {BatchRun} from './batch-run.js';
import {figure} from './figure.js';
import type {Benchmark} from './types.js';

const items = 20_000;
const defaultSeconds = 120;
const slowSeconds = 30;
const slowMs = 2000;
const beforeMs = 3000;
const msPerSecond = 1000;

export const benchmark: Benchmark = {
	name: 'batch-outage',
	describe: 'a batch job and online requests while the object API is down (120 s, or --seconds) and then slow (30 s at 2 s an answer)',
	async run({seconds = defaultSeconds, seed, progress}) {
		const run = await BatchRun.start({platform: {timeoutMs: 5000}});
		try {
			const online = run.online();
			const job = run.job(items, seed);
			await sleep(beforeMs);
			await run.fault({down: true});
			await sleep(beforeMs);
			const refusal = await run.tryUpload();
			progress(`a submission while it is down: ${JSON.stringify(refusal)}`);
			await sleep((seconds * msPerSecond) - beforeMs);
			await run.fault({down: false, latencyMs: slowMs});
			await sleep(slowSeconds * msPerSecond);
			await run.fault({latencyMs: 0});
			const {itemsPerSecond} = await job;
			const {sent, failed, slowestMs} = await online.stop();
			return {
				figures: [
					figure('online requests', 'requests', [sent]),
					figure('online requests that failed', 'requests', [failed], {atMost: 0}),
					figure('slowest online request', 'ms', [slowestMs]),
					figure('submission while down, status', 'HTTP status', [refusal.status], {atLeast: 503}),
					figure('submission while down, answered after', 'ms', [refusal.ms], {atMost: 1000}),
					figure('chunks granted again', 'chunks', [run.chunksLost], {atMost: 0}),
					figure('job, outage included', 'items/s', [itemsPerSecond]),
				],
				notes: [`A job of ${items} items; it is checked that each is completed. Online requests one after the other, ten a second at most. Chunks granted again are events 422 in the entry's log.`],
			};
		} finally {
			await run.dispose();
		}
	},
};
