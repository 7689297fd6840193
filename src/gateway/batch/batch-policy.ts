/**
Who of the waiting batch items gets a place, and how many places a process takes at once. Pure: it reads no clock and sends nothing.

It answers two patterns of load. *More work than places*: online calls come in waves that fill all places for seconds, and what is left does not suffice for all items by their due times; then an item that can still be on time goes before one that cannot, or all would be late together. *Many processes, few places*: each sees the others' runs some ten milliseconds late, and if each filled what it sees as free, a place would be taken many times over, the replicas would refuse most of it, and refusals cost connections; so each takes its share of what is free, and the rest at its next look.
*/

/** An item that waits. */
export type WaitingItem = {
	/** When it is due, in milliseconds of the wall clock. */
	readonly dueAt: number;
	/** Events that are known of its text. */
	readonly events: number;
};

/** How long runs take, learnt from those that ended; in milliseconds and events. */
export type RunEstimate = {
	readonly msPerEvent: number;
	readonly eventsPerItem: number;
	/** How many times as long as it ran an item took from its first place to its end: it is cut off by waves of calls, and waits for its next place. */
	readonly slowdown: number;
	/** How far single items are from that, on the mean. */
	readonly slowdownDeviation: number;
};

/** Until runs have ended: an engine step of some ms brings several tokens, and an event some steps. The stretch is that of the model of waves at the load that its places just suffice for; without one, a process that has just started begins items that the next wave makes late. */
export const initialRunEstimate: RunEstimate = {
	msPerEvent: 30, eventsPerItem: 150, slowdown: 1.5, slowdownDeviation: 0.25,
};

/** A new observation counts for this share: the last ten runs or so decide. */
const learningShare = 0.1;

/** Deviations beyond the mean stretch that an item must have time for: about one in twenty items takes longer. */
const sureDeviations = 2;

/** @returns What is known after one more run, of `events` events in `elapsedMs`, which brought an item to its end with `total` events. */
export const updateEstimate = (known: RunEstimate, {events, elapsedMs, total}: {events: number; elapsedMs: number; total: number}): RunEstimate => events === 0
	? known
	: {
		...known,
		msPerEvent: known.msPerEvent + (learningShare * ((elapsedMs / events) - known.msPerEvent)),
		eventsPerItem: known.eventsPerItem + (learningShare * (total - known.eventsPerItem)),
	};

/** @returns What is known after an item was done `elapsedMs` after its first place, of which it ran `ranMs`. */
export const updateSlowdown = (known: RunEstimate, {elapsedMs, ranMs}: {elapsedMs: number; ranMs: number}): RunEstimate => {
	const stretch = Math.max(1, elapsedMs / Math.max(1, ranMs));
	return {
		...known,
		slowdown: known.slowdown + (learningShare * (stretch - known.slowdown)),
		slowdownDeviation: known.slowdownDeviation + (learningShare * (Math.abs(stretch - known.slowdown) - known.slowdownDeviation)),
	};
};

/** Milliseconds that an item still needs at a replica. */
export const remainingMs = ({events}: WaitingItem, {msPerEvent, eventsPerItem}: RunEstimate): number => Math.max(1, eventsPerItem - events) * msPerEvent;

/**
Milliseconds that an item can still wait and be on time; negative when it will most likely be late.

With more work than places, the items that have just enough time for an undisturbed run are the first in the order of due times, and each wave of calls that cuts them off makes them late all the same, by a second or two. So an item counts as on time only with the interruptions that items have just now, and twice their deviation (batch-policy.feature).
*/
export const slackMs = (item: WaitingItem, length: RunEstimate, wallNow: number): number => {
	const {slowdown: stretch, slowdownDeviation: stretchDeviation} = length;
	return item.dueAt - wallNow - (remainingMs(item, length) * (stretch + (sureDeviations * stretchDeviation)));
};

/**
The order of places: items that can be on time, the one that is due first before the others; then the late ones, the one with least work left before the others.
*/
export const byUrgency = (length: RunEstimate, wallNow: number) => (a: WaitingItem, b: WaitingItem): number => {
	const isLateA = slackMs(a, length, wallNow) < 0;
	const isLateB = slackMs(b, length, wallNow) < 0;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	return isLateA ? b.events - a.events : a.dueAt - b.dueAt;
};

/**
Places of each replica that items leave free for the next online calls, so that these need not wait until an item has been cut off. With time to spare two are left, as many calls as come to a replica within the tenth of a second that a cut may take; the closer an item is to its time, the fewer.
*/
const reserveSteps: ReadonlyArray<{readonly slackMs: number; readonly places: number}> = [
	{slackMs: 8000, places: 2},
	{slackMs: 3000, places: 1},
];

/** @param slack - See {@link slackMs}. */
export const reservedSlots = (slack: number): number => reserveSteps.find(step => slack >= step.slackMs)?.places ?? 0;

/** Items that wait for a place. */
export type WaitingCounts = {
	/** Those that can still be on time. */
	readonly timely: number;
	readonly late: number;
};

/** @returns How many of the items can still be on time, and how many cannot. */
export const countWaiting = (items: readonly WaitingItem[], length: RunEstimate, wallNow: number): WaitingCounts => {
	const timely = items.filter(item => slackMs(item, length, wallNow) >= 0).length;
	return {timely, late: items.length - timely};
};

/** Share of the places that late items keep while timely ones wait, so that they come to their end, and that no place stays idle for long where a process cannot run the timely items that it counts, because it does not reach the replicas. */
const shareOfLate = 0.05;

const partOf = (places: number, own: number, all: number): number => all === 0 ? 0 : places * own / all;

/**
Places that one process takes at a look: its part of those that items need which can be on time, by how many of these are its own, and its part of what these leave.

The pattern: a fleet has work for more places than it has, and each process knows only its own items. If all take equal shares, those whose items are all late run them in places in which the items of others could have been on time (batch-policy.feature).

@param free - Places that it sees free, over all replicas.
@param own - Its own items.
@param all - The items of all processes, its own included.
@param chance - A number in [0, 1): a share below one place is taken as often as it is large.
*/
export const slotAllowance = (free: number, {own, all}: {readonly own: WaitingCounts; readonly all: WaitingCounts}, chance: number): number => {
	const keptForLate = all.late > 0 ? shareOfLate * free : 0;
	const forTimely = Math.min(free - keptForLate, all.timely);
	const share = partOf(forTimely, own.timely, all.timely) + partOf(free - forTimely, own.late, all.late);
	return Math.floor(share) + (chance < share % 1 ? 1 : 0);
};
