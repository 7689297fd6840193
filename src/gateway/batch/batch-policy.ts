/**
The scheduling policy for batch items: which of the waiting items gets a slot, and how many slots a process takes in one review, that is, one pass over its waiting items. Pure: it reads no clock and sends nothing.

It handles two patterns of load. *More work than slots*: online calls come in waves that fill all slots for seconds, and the rest does not suffice for all items by their due times; an item that can still be on time then precedes one that cannot, or all would be late together. *Many processes, few slots*: each process sees the others' runs some ten milliseconds late, and if each filled all slots that it sees free, a slot would be taken many times over, the replicas would refuse most of the runs, and refusals cost connections; so each takes its share of the free slots, and the rest in its next review.
*/

/** An item that waits for a slot. */
export type WaitingItem = {
	/** When it is due, in milliseconds of the wall clock. */
	readonly dueAt: number;
	/** Events of its text that have been received so far. */
	readonly events: number;
};

/** An estimate of run times from the runs that have ended, in milliseconds and events. */
export type RunEstimate = {
	readonly msPerEvent: number;
	readonly eventsPerItem: number;
	/** The time from an item's first slot to its end as a multiple of the time that it ran: waves of calls preempt it, and it waits for its next slot. */
	readonly slowdown: number;
	/** The mean absolute deviation of single items from the slowdown. */
	readonly slowdownDeviation: number;
};

/** Used until runs have ended: an engine step of a few ms yields several tokens, and an event takes a few steps. The slowdown is that of the wave model at the load for which its slots just suffice; without it, a process that has just started begins items that the next wave makes late. */
export const initialRunEstimate: RunEstimate = {
	msPerEvent: 30, eventsPerItem: 150, slowdown: 1.5, slowdownDeviation: 0.25,
};

/** The weight of a new observation in the moving averages: about the last ten runs decide. */
const smoothingFactor = 0.1;

/** An item must have time for the mean slowdown plus this many deviations: about one in twenty items takes longer. */
const marginDeviations = 2;

/** @returns The estimate after one more run, of `events` events in `elapsedMs`, which completed an item with `total` events. */
export const updateEstimate = (current: RunEstimate, {events, elapsedMs, total}: {events: number; elapsedMs: number; total: number}): RunEstimate => events === 0
	? current
	: {
		...current,
		msPerEvent: current.msPerEvent + (smoothingFactor * ((elapsedMs / events) - current.msPerEvent)),
		eventsPerItem: current.eventsPerItem + (smoothingFactor * (total - current.eventsPerItem)),
	};

/** @returns The estimate after an item was completed `elapsedMs` after its first slot, of which it ran `ranMs`. */
export const updateSlowdown = (current: RunEstimate, {elapsedMs, ranMs}: {elapsedMs: number; ranMs: number}): RunEstimate => {
	const observed = Math.max(1, elapsedMs / Math.max(1, ranMs));
	return {
		...current,
		slowdown: current.slowdown + (smoothingFactor * (observed - current.slowdown)),
		slowdownDeviation: current.slowdownDeviation + (smoothingFactor * (Math.abs(observed - current.slowdown) - current.slowdownDeviation)),
	};
};

/** The estimated milliseconds that an item still has to run at a replica. */
export const remainingMs = ({events}: WaitingItem, {msPerEvent, eventsPerItem}: RunEstimate): number => Math.max(1, eventsPerItem - events) * msPerEvent;

/**
Milliseconds that an item can still wait and be on time; negative if it will most likely be late.

With more work than slots, the items that have just enough time for an uninterrupted run come first in the order of due times, and each wave of calls that preempts them makes them late all the same, by a second or two. So an item counts as on time only if its time also suffices for the current slowdown by interruptions plus twice its deviation (batch-policy.feature).
*/
export const slackMs = (item: WaitingItem, estimate: RunEstimate, wallNow: number): number => {
	const {slowdown, slowdownDeviation} = estimate;
	return item.dueAt - wallNow - (remainingMs(item, estimate) * (slowdown + (marginDeviations * slowdownDeviation)));
};

/**
The order in which items get slots: those that can be on time, by due time; then the late ones, the one with the least work left first.
*/
export const byUrgency = (estimate: RunEstimate, wallNow: number) => (a: WaitingItem, b: WaitingItem): number => {
	const isLateA = slackMs(a, estimate, wallNow) < 0;
	const isLateB = slackMs(b, estimate, wallNow) < 0;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	return isLateA ? b.events - a.events : a.dueAt - b.dueAt;
};

/**
Slots of each replica that items leave free for the next online calls, so that these need not wait until an item has been preempted. With time to spare two are left, as many calls as arrive at a replica within the tenth of a second that preemption may take; the closer an item is to its due time, the fewer.
*/
const reserveSteps: ReadonlyArray<{readonly slackMs: number; readonly slotCount: number}> = [
	{slackMs: 8000, slotCount: 2},
	{slackMs: 3000, slotCount: 1},
];

/** @param slack - See {@link slackMs}. */
export const reservedSlots = (slack: number): number => reserveSteps.find(step => slack >= step.slackMs)?.slotCount ?? 0;

/** The numbers of items that wait for a slot. */
export type WaitingCounts = {
	/** Items that can still be on time. */
	readonly timely: number;
	readonly late: number;
};

/** @returns How many of the items can still be on time, and how many cannot. */
export const countWaiting = (items: readonly WaitingItem[], estimate: RunEstimate, wallNow: number): WaitingCounts => {
	const timely = items.filter(item => slackMs(item, estimate, wallNow) >= 0).length;
	return {timely, late: items.length - timely};
};

/** The share of the slots that late items keep while timely ones wait, so that they are completed, and so that no slot stays idle for long if a process cannot run the timely items that it counts, because it does not reach the replicas. */
const lateShare = 0.05;

const proportionalShare = (slotCount: number, own: number, all: number): number => all === 0 ? 0 : slotCount * own / all;

/**
The number of slots that one process takes in one review: its share of the slots that timely items need, in proportion to its own timely items, and its share of the slots that these leave.

The pattern: a fleet has more work than slots, and each process schedules only its own items. If all took equal shares, processes whose items are all late would run them in slots in which the items of others could have been on time (batch-policy.feature).

@param free - Slots that it sees free, over all replicas.
@param own - Its own items.
@param all - The items of all processes, its own included.
@param chance - A random number in [0, 1): the fraction of a slot in the share is the probability of taking one more.
*/
export const slotAllowance = (free: number, {own, all}: {readonly own: WaitingCounts; readonly all: WaitingCounts}, chance: number): number => {
	const reservedForLate = all.late > 0 ? lateShare * free : 0;
	const forTimely = Math.min(free - reservedForLate, all.timely);
	const share = proportionalShare(forTimely, own.timely, all.timely) + proportionalShare(free - forTimely, own.late, all.late);
	return Math.floor(share) + (chance < share % 1 ? 1 : 0);
};
