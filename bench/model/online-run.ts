/**
A run of online requests of several accounts on a modelled fleet, and what its callers saw.
*/
import type {AdmissionLimits} from '../../src/common/admission-types.js';
import {chooseReplica} from '../../src/common/route-policy.js';
import {SeededRandom} from '../../src/io/seeded-random.js';
import {
	FleetModel, accountOf, type ModelOutcome, type ModelPolicy,
} from './fleet-model.js';
import {poisson, textOf} from './workload.js';

/** An account and how much it sends. */
export type Sender = {readonly account: string; readonly requestsPerSecond: number};

/** A run. */
export type OnlineRun = {
	readonly stepMs: number;
	readonly seed: number;
	/** Milliseconds that are measured, after four seconds that are not. */
	readonly ms: number;
	readonly senders: readonly Sender[];
	readonly deadlineMs: number;
	readonly limits?: Partial<AdmissionLimits>;
};

/** What came out of a run. */
export type OnlineResult = {
	/** The requests that arrived while it was measured. */
	readonly outcomes: readonly ModelOutcome[];
	readonly retries: number;
	/** Whole answers within their deadline, a second. */
	readonly goodput: number;
};

/** Sizes of the runs: the fleet, and one request. */
export const sizes = {
	replicas: 13, entries: 3, maxRunning: 32, promptTokens: 300, answerTokens: 48,
} as const;

const warmUpMs = 4000;
const tokensPerSecond = 5000;

const policy: ModelPolicy = {
	choose: ({replicas, tried, request, random}) => chooseReplica({replicas, tried: tried as never, costTokens: request.promptTokens}, random)?.chosen,
};

/** Runs it. */
export const runOnline = ({stepMs, seed, ms, senders, deadlineMs, limits}: OnlineRun): OnlineResult => {
	const random = new SeededRandom(seed);
	const fleet = new FleetModel({
		...sizes,
		failureDomains: ['durgapur-hall', 'asansol-hall', 'kolkata-hall'],
		betweenDomainsMs: 0.5,
		engine: {stepMs},
		limits: {
			maxRunning: sizes.maxRunning, maxQueued: 256, tokensPerSecond, ...limits,
		},
		policy,
		random,
	});
	senders.forEach(({account, requestsPerSecond}) => {
		let sent = 0;
		poisson(fleet.time, random, {
			untilMs: warmUpMs + ms, rate: () => requestsPerSecond, arrive() {
				sent += 1;
				const name = `${account}-${sent}`;
				fleet.arrive({
					...sizes, id: name, account: accountOf(account), share: 1, session: name, promptText: textOf(`${seed}-${name}`, sizes.promptTokens), expectedTokens: sizes.answerTokens, deadlineMs,
				});
			},
		});
	});
	fleet.time.runUntil(warmUpMs + ms);
	const outcomes = fleet.outcomes.filter(({arrivedAt}) => arrivedAt > warmUpMs);
	const whole = fleet.outcomes.filter(({arrivedAt, endMs = Number.POSITIVE_INFINITY}) => endMs <= deadlineMs && arrivedAt + endMs > warmUpMs && arrivedAt + endMs <= warmUpMs + ms);
	return {outcomes, retries: fleet.retries, goodput: whole.length / ms * 1000};
};

/** Requests a second that the fleet completes when far more arrive and none is refused. */
export const capacityOf = (stepMs: number, seed: number): number => {
	const arriving = 20_000 / stepMs;
	return runOnline({
		stepMs, seed, ms: 3000, senders: [{account: 'a', requestsPerSecond: arriving}], deadlineMs: 60_000, limits: {maxQueued: 1_000_000},
	}).goodput;
};
