/**
What an account that sends ten times its share does to the others, against the same others while it keeps to its share; and what the fair queue costs with many accounts.
*/
import {FairQueue, type QueueItem} from '../src/common/fair-queue.js';
import {figure} from './figure.js';
import {accountOf} from './model/fleet-model.js';
import {capacityOf, runOnline, type OnlineResult} from './model/online-run.js';
import {quantile} from './model/workload.js';
import type {Benchmark} from './types.js';

const stepsMs = [2, 20] as const;
const others = 10;
// Each account's part of its equal share of the fleet that it uses.
const usedShare = 0.5;
const floodFactor = 10;
const deadlineMs = 5000;
const queueItems = 1000;
const accounts = 26_000;

const kiosks = ({outcomes}: OnlineResult) => outcomes.filter(({account}) => account !== 'flood');
const firstTokenP99 = (result: OnlineResult) => quantile(kiosks(result).flatMap(({firstTokenMs}) => firstTokenMs ?? []), 0.99);
const wholeP99 = (result: OnlineResult) => quantile(kiosks(result).flatMap(({endMs}) => endMs ?? []), 0.99);
const refusedShare = (result: OnlineResult) => kiosks(result).filter(({refused}) => refused).length / kiosks(result).length;

const measure = (stepMs: number, seed: number, ms: number) => {
	const share = capacityOf(stepMs, seed) / (others + 1);
	const run = (factor: number) => runOnline({
		stepMs,
		seed,
		ms,
		deadlineMs,
		senders: [
			...Array.from({length: others}, (_, i) => ({account: `kiosk-${i}`, requestsPerSecond: share * usedShare})),
			{account: 'flood', requestsPerSecond: share * factor},
		],
	});
	const calm = run(1);
	const flooded = run(floodFactor);
	return {
		firstToken: firstTokenP99(flooded) / firstTokenP99(calm),
		whole: wholeP99(flooded) / wholeP99(calm),
		calmFirstToken: firstTokenP99(calm),
		refused: refusedShare(flooded),
	};
};

/** Microseconds for a push and a shift with a full queue. */
const queueCost = () => {
	const queue = new FairQueue<QueueItem>();
	const items = Array.from({length: accounts}, (_, i) => ({account: accountOf(`account-${i}`), share: 1, costTokens: 100}));
	items.slice(0, queueItems).forEach(item => {
		queue.push(item);
	});
	const startedAt = performance.now();
	items.slice(queueItems).forEach(item => {
		queue.push(item);
		queue.shift();
	});
	return (performance.now() - startedAt) * 1000 / (accounts - queueItems);
};

export const benchmark: Benchmark = {
	name: 'fairness',
	describe: 'p99 of accounts within their share while another sends ten times its share, over the same when it does not',
	async run({seconds = 8, runs = 3, seed, progress}) {
		const figures = stepsMs.flatMap(stepMs => {
			const results = Array.from({length: runs}, (_, run) => measure(stepMs, seed + run, seconds * 1000));
			progress(`step ${stepMs} ms: ${JSON.stringify(results[0])}`);
			return [
				figure(`step ${stepMs} ms: first token p99 ratio`, '', results.map(({firstToken}) => firstToken), {atMost: 1.2}),
				figure(`step ${stepMs} ms: whole answer p99 ratio`, '', results.map(({whole}) => whole), {atMost: 1.2}),
				figure(`step ${stepMs} ms: refused though within their share`, 'share', results.map(({refused}) => refused), {atMost: 0}),
			];
		});
		const costs = Array.from({length: runs}, queueCost);
		return {
			figures: [...figures, figure(`push and shift with ${queueItems} accounts waiting of ${accounts}`, 'µs', costs, {atMost: 10})],
			notes: [`${others} accounts use ${usedShare} of their share each; the flooding one 1 and ${floodFactor} times its share; 13 replicas in virtual time`],
		};
	},
};
