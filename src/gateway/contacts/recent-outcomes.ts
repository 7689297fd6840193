/**
The share of recent requests that failed at a replica, over all processes that send requests to it.

A faulty replica may answer some of its requests with errors, drop their connections or reject them despite free slots, while connections to it work. It finishes these requests at once, so it appears to be the least loaded one and attracts the calls of the entire service. Excluding replicas after single failures would also exclude good ones, and any exclusion may leave a service without replicas.

Therefore no replica is excluded, and replicas are compared by the share of their requests that failed. A plain count grows with the load: when half of the replicas lost a twentieth of their answers, counts moved the calls to the other half, where they queued. Failures that all replicas of a service have alike, such as errors that the calls themselves cause, affect all shares alike and decide nothing.
*/
import type {MemberName} from '../types.js';

/** Half-life of an outcome's weight, in milliseconds: a few calls still reach the replica within some seconds and show whether it has recovered. */
const halfLifeMs = 3000;

/** Counts with fewer failures than this are discarded. */
const minFailures = 0.05;

/** Successes that are assumed in addition to the observed ones: the first failure of a replica that has had few requests says little. */
const presumedSuccesses = 4;

/** Requests that have ended, and how many of them failed; both counts decay with age. */
export type OutcomeCounts = {
	readonly requests: number;
	readonly failures: number;
};

/** Counts as of a moment, in milliseconds on the monotonic clock. */
type CountsAt = OutcomeCounts & {readonly at: number};

const none: CountsAt = {requests: 0, failures: 0, at: 0};

const decayed = ({requests, failures, at}: CountsAt, now: number): OutcomeCounts => {
	const remaining = 0.5 ** ((now - at) / halfLifeMs);
	return {requests: requests * remaining, failures: failures * remaining};
};

const sum = (all: readonly OutcomeCounts[]): OutcomeCounts => ({
	requests: all.reduce((total, {requests}) => total + requests, 0),
	failures: all.reduce((total, {failures}) => total + failures, 0),
});

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class RecentOutcomes {
	readonly #peers = new Map<MemberName, CountsAt>();
	#own = none;

	/** Records that a request of this process has ended. */
	note(hasFailed: boolean, now: number): void {
		const {requests, failures} = decayed(this.#own, now);
		this.#own = {requests: requests + 1, failures: failures + (hasFailed ? 1 : 0), at: now};
	}

	/** Replaces the counts that the peer announced before. */
	receivePeerCounts(peer: MemberName, counts: OutcomeCounts, now: number): void {
		this.#peers.set(peer, {...counts, at: now});
	}

	/** Counts of this process's own requests. */
	ownCounts(now: number): OutcomeCounts {
		return decayed(this.#own, now);
	}

	/** @returns The share of requests that failed, from 0 to 1; 0 where none failed recently. */
	failureShare(now: number): number {
		if (this.#own.failures === 0 && this.#peers.size === 0) {
			return 0;
		}

		const {requests, failures} = sum([this.#own, ...this.#peers.values()].map(counts => decayed(counts, now)));
		if (failures < minFailures) {
			this.#discard();
			return 0;
		}

		return failures / (requests + presumedSuccesses);
	}

	#discard() {
		this.#peers.clear();
		this.#own = {...this.#own, failures: 0};
	}
}
