/**
Which share of its requests a replica has failed of late, over all processes that send there.

The pattern: a replica answers errors, drops connections or turns requests away with places to spare, for a part of its requests and with connections in good order. It is done with each at once, so it looks emptiest of all and draws the calls of a whole service. Whoever judges by single failures would set good replicas aside with it; whoever sets replicas aside at all may empty a service.

So nobody is set aside, and failures are judged by their share. A mere count grows with the load: when half of the replicas lost a twentieth of their answers, counts drove the calls to the other half, where they waited. What all replicas of a service do alike, such as errors that the calls themselves cause, weighs on all alike and decides nothing.
*/
import type {MemberName} from '../types.js';

/** An outcome counts for half after this long, in milliseconds: a few real calls reach the replica within some seconds and show whether it has recovered. */
const halfLifeMs = 3000;

/** Fewer failures than this are forgotten. */
const leastFailures = 0.05;

/** Good outcomes that are taken for granted beside those that were seen: the first failure of a replica that has hardly been asked says little. */
const presumedGood = 4;

/** Requests that have ended, and how many of them failed; older ones count for less. */
export type OutcomeCounts = {
	readonly requests: number;
	readonly failures: number;
};

/** Counts as of a moment, in milliseconds on the monotonic clock. */
type CountsAt = OutcomeCounts & {readonly at: number};

const none: CountsAt = {requests: 0, failures: 0, at: 0};

const faded = ({requests, failures, at}: CountsAt, now: number): OutcomeCounts => {
	const left = 0.5 ** ((now - at) / halfLifeMs);
	return {requests: requests * left, failures: failures * left};
};

const sum = (all: readonly OutcomeCounts[]): OutcomeCounts => ({
	requests: all.reduce((total, {requests}) => total + requests, 0),
	failures: all.reduce((total, {failures}) => total + failures, 0),
});

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class RecentOutcomes {
	readonly #peers = new Map<MemberName, CountsAt>();
	#own = none;

	/** A request of this process has ended. */
	note(hasFailed: boolean, now: number): void {
		const {requests, failures} = faded(this.#own, now);
		this.#own = {requests: requests + 1, failures: failures + (hasFailed ? 1 : 0), at: now};
	}

	/** Takes over what a peer has seen, in place of what it told before. */
	receivePeerCounts(peer: MemberName, counts: OutcomeCounts, now: number): void {
		this.#peers.set(peer, {...counts, at: now});
	}

	/** What this process has seen itself. */
	ownCounts(now: number): OutcomeCounts {
		return faded(this.#own, now);
	}

	/** @returns Failures of all requests, from 0 to 1; 0 where none failed of late. */
	failureShare(now: number): number {
		if (this.#own.failures === 0 && this.#peers.size === 0) {
			return 0;
		}

		const {requests, failures} = sum([this.#own, ...this.#peers.values()].map(counts => faded(counts, now)));
		if (failures < leastFailures) {
			this.#forget();
			return 0;
		}

		return failures / (requests + presumedGood);
	}

	#forget() {
		this.#peers.clear();
		this.#own = {...this.#own, failures: 0};
	}
}
