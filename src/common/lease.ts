/**
Decides what to do about a lease. A lease is an object that its holder renews by conditional updates; other processes may take it once they have seen it unchanged for longer than its duration, by their own monotonic clock, so that no two clocks are ever compared.
*/
import type {Branded, Fence, Revision} from './ids.js';

/** Identifies a holder: one run of one process. */
export type HolderName = Branded<string, 'HolderName'>;

/** The lease's value: kind `Lease`. */
export type LeaseValue = {
	/** Empty after it was released. */
	readonly holder: HolderName | '';
	/** Grows each time the lease changes its holder. */
	readonly fence: Fence;
	/** Milliseconds that it lasts after a renewal was sent. */
	readonly ttlMs: number;
};

/** A process's view of a lease. */
export type LeaseView = {
	/** Undefined when the object does not exist. */
	readonly value: LeaseValue | undefined;
	readonly version: Revision | undefined;
	/** The clock's `now` when this version was first seen here. */
	readonly seenAt: number;
	/** True when the object existed before: its last holder may still act until the lease expires. */
	readonly isDeleted?: boolean;
};

/** What to write, if anything. */
export type LeaseDecision
	= | {readonly kind: 'create'; readonly value: LeaseValue}
		| {readonly kind: 'update'; readonly value: LeaseValue; readonly version: Revision}
		| {readonly kind: 'wait'};

/** The input of a decision. */
export type LeaseRequest = {
	readonly view: LeaseView;
	readonly self: HolderName;
	/** Rank among the candidates: 0 takes a free lease at once, each further rank waits one `ttlMs` longer. */
	readonly rank: number;
	readonly ttlMs: number;
	readonly now: number;
	/** No fencing number above this was ever issued; 0 by default. */
	readonly highestFence?: number;
};

const wait: LeaseDecision = {kind: 'wait'};

const isFree = ({view, rank, ttlMs, now}: LeaseRequest): boolean => {
	const age = now - view.seenAt;
	const rankDelayMs = rank * ttlMs;
	return view.value?.holder === '' ? age >= rankDelayMs : age >= (view.value?.ttlMs ?? ttlMs) + rankDelayMs;
};

/** Decides what to write at one moment. */
export const decideLease = (request: LeaseRequest): LeaseDecision => {
	const {view, self, rank, ttlMs, now, highestFence = 0} = request;
	if (!view.value || view.version === undefined) {
		const rankDelayMs = (rank + (view.isDeleted ? 1 : 0)) * ttlMs;
		return now - view.seenAt >= rankDelayMs ? {kind: 'create', value: {holder: self, fence: (highestFence + 1) as Fence, ttlMs}} : wait;
	}

	if (view.value.holder === self) {
		return {kind: 'update', value: {...view.value, ttlMs}, version: view.version};
	}

	const next: LeaseValue = {holder: self, fence: (view.value.fence + 1) as Fence, ttlMs};
	return isFree(request) ? {kind: 'update', value: next, version: view.version} : wait;
};
