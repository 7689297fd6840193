/**
Goodput under overload: whole answers within their deadline, from half of the fleet's capacity to three times of it; how soon a refusal comes, and how many retries there are.
*/
import {figure} from './figure.js';
import {capacityOf, runOnline, type OnlineResult} from './model/online-run.js';
import {quantile} from './model/workload.js';
import type {Benchmark} from './types.js';

const stepsMs = [2, 20] as const;
const loads = [0.5, 0.8, 1, 1.5, 3] as const;
const deadlineMs = 3000;
const warmUpSeconds = 4;
const retryShare = 0.1;
// Retries that the entries' budgets hold before the first success.
const savedRetries = 300;

const refusalMs = ({outcomes}: OnlineResult) => outcomes.flatMap(({refused}) => refused ? [refused.afterMs] : []);
const withoutRetryAfter = ({outcomes}: OnlineResult) => outcomes.filter(({refused}) => refused && refused.retryAfterMs <= 0).length;

export const benchmark: Benchmark = {
	name: 'overload',
	describe: 'answers within their deadline at three times the capacity over the most at any load',
	async run({seconds = 6, runs = 3, seed, progress}) {
		const measured = stepsMs.map(stepMs => ({
			stepMs,
			runs: Array.from({length: runs}, (_, run) => {
				const capacity = capacityOf(stepMs, seed + run);
				const results = loads.map(load => runOnline({
					stepMs, seed: seed + run, ms: seconds * 1000, senders: [{account: 'a', requestsPerSecond: load * capacity}], deadlineMs,
				}));
				progress(`step ${stepMs} ms, capacity ${capacity.toFixed(0)} a second: goodput ${results.map(({goodput}) => goodput.toFixed(0)).join(' ')}, retries ${results.map(({retries}) => retries).join(' ')}, refused ${results.map(result => refusalMs(result).length).join(' ')}`);
				return results;
			}),
		}));
		return {
			figures: measured.flatMap(({stepMs, runs: allRuns}) => {
				const label = `step ${stepMs} ms, load 3`;
				const last = allRuns.map(results => results.at(-1)!);
				return [
					figure(`${label}: goodput over its peak`, 'share', allRuns.map(results => results.at(-1)!.goodput / Math.max(...results.map(({goodput}) => goodput))), {atLeast: 0.9}),
					figure(`${label}: refusal comes after, p99`, 'ms', last.map(result => quantile(refusalMs(result), 0.99)), {atMost: 200}),
					figure(`${label}: refusals without Retry-After`, '', last.map(result => withoutRetryAfter(result)), {atMost: 0}),
					figure(`${label}: retries over their budget`, 'share', last.map(({retries, goodput}) => retries / ((goodput * (seconds + warmUpSeconds) * retryShare) + savedRetries)), {atMost: 1.1}),
				];
			}),
			notes: [`13 replicas in virtual time, deadline ${deadlineMs} ms, loads ${loads.join(', ')} times the capacity; tokensPerSecond stands at 5000 in the settings for both engines`],
		};
	},
};
