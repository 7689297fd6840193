/**
How many of its runs a process preempts at a replica whose slots online calls need, and which. Pure; `BatchRunner` calls it with each change of load and in each review.

The runs with the fewest events go first, since they lose the least. Where waves of calls are foreseen, a run that was cut before goes after those that were not, and a run that is about to end is let finish, since it frees its slot sooner than the call could use it; for a limited time, since the length of a text is only estimated.
*/
import {rankMembers} from '../../common/rendezvous.js';
import type {Replica} from '../replica.js';
import type {MemberName} from '../types.js';
import {remainingMs, type RunEstimate} from './batch-policy.js';

/** A run that may be preempted. */
export type PreemptibleRun = {
	/** Events of its item so far. */
	readonly events: number;
	/** How often its item was cut before. */
	readonly timesCut: number;
	/** Since when it has been let finish in place of a call, in milliseconds on the monotonic clock. */
	readonly sparedSince: number | undefined;
};

/** A run with less than this left is let finish, in milliseconds: a call whose slot is freed by a cut waits nearly as long for the announcement, the cut and the prompt. */
const nearEndMs = 100;

/** The longest time for which a run is let finish, in milliseconds: by then its text is longer than estimated. */
const maxSparedMs = 150;

/** Runs beyond this share of an item's events are preempted only if no other is left. */
const lastPart = 0.9;

/** What a choice depends on besides the runs. */
export type PreemptionContext = {
	readonly estimate: RunEstimate;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether waves of calls are foreseen at the replica's service. */
	readonly areWavesForeseen: boolean;
};

const isNearEnd = ({events, sparedSince}: PreemptibleRun, {estimate, now}: PreemptionContext): boolean =>
	events > 0 && remainingMs({dueAt: 0, events}, estimate) <= nearEndMs && now - (sparedSince ?? now) < maxSparedMs;

const isInLastPart = ({events}: PreemptibleRun, {estimate}: PreemptionContext): boolean => events >= lastPart * estimate.eventsPerItem;

const leastWorkFirst = (a: PreemptibleRun, b: PreemptibleRun): number => a.events - b.events;

const leastLossFirst = (context: PreemptionContext) => (a: PreemptibleRun, b: PreemptibleRun): number =>
	(Number(isInLastPart(a, context)) - Number(isInLastPart(b, context))) || (Math.sign(a.timesCut) - Math.sign(b.timesCut)) || leastWorkFirst(a, b);

/**
@param count - Number of slots that calls need.
@returns The runs to preempt, and those that are let finish in their place.
*/
export const chooseRuns = <T extends PreemptibleRun>(runs: readonly T[], count: number, context: PreemptionContext): {readonly preempted: readonly T[]; readonly spared: readonly T[]} => {
	const {areWavesForeseen} = context;
	const chosen = runs.toSorted(areWavesForeseen ? leastLossFirst(context) : leastWorkFirst).slice(0, count);
	const spared = new Set(areWavesForeseen ? chosen.filter(run => isNearEnd(run, context)) : []);
	return {preempted: chosen.filter(run => !spared.has(run)), spared: [...spared]};
};

/**
Number of its own items that a process preempts at a replica, so that all processes together preempt exactly the excess over the slots.

All processes see about the same load and receive the announcement of an online call at about the same time. If each preempted its share, rounded up, every one of them would preempt an item for a single call: one call to a full replica would leave it half empty, and items that lack only a few events would be preempted repeatedly. Therefore all processes rank the owners of items at the replica identically, and the first ones preempt.

@param ahead - Slots that are to be free for the first calls of a foreseen wave.
*/
export const itemsToPreempt = (replica: Replica, self: MemberName, ahead = 0): number => {
	const excess = replica.total + ahead - replica.record.slots;
	if (excess <= 0 || replica.batch === 0) {
		return 0;
	}

	const ranked = rankMembers(replica.record.id, [self, ...replica.peersWithItems.map(([peer]) => peer)]);
	const higherRanked = new Set(ranked.slice(0, ranked.indexOf(self)));
	const preemptedByOthers = replica.peersWithItems.filter(([peer]) => higherRanked.has(peer)).reduce((sum, [, items]) => sum + items, 0);
	return Math.min(replica.batch, Math.max(0, excess - preemptedByOthers));
};
