/**
The decision on one call while slots are scarce: begin, wait at the front, or be refused. Engines serve in order of arrival and refuse nothing early, so a call that begins although its first event will be late takes the room of another that could still be on time. Pure; called by {@link TargetAdmission} at the call's arrival and while it waits.
*/

/** What is known of a call and its service. */
export type AdmissionView = {
	/** Expected wait for a slot at the best replica. */
	readonly waitMs: number;
	/** Since the call's arrival. */
	readonly elapsedMs: number;
	/** Until its caller's time is up. */
	readonly leftMs: number;
	readonly targetMs: number;
	/** Whether its caller has been refused before; it is not expected to come back once more. */
	readonly isReturned: boolean;
	/** Whether a more urgent rank competes for the slots, and the call is not part of its rank's least share. */
	readonly isOutranked: boolean;
	/** Whether the call is part of its rank's least share, which is served whatever the others ask for. */
	readonly hasLeastShare: boolean;
	/** Whether its owner asks for more than its share. */
	readonly isPressing: boolean;
	/** Whether the overload has lasted for longer than refused callers stay away. */
	readonly isLasting: boolean;
	/** Calls of its owner in flight over all processes, as a share of what the owner may have. */
	readonly shareUsed: number;
	/** Whether calls that come later need the room: more arrive than finish, or the queues do not shrink. */
	readonly isScarce: boolean;
};

/** Why a call is refused. `hopeless`: no slot in its caller's time. `overShare`: its owner has its share of the slots. `overdue`: it would be late, in the room of others. */
export type RefusalReason = 'hopeless' | 'overShare' | 'overdue';

/** The decision; `late` calls begin in room that nobody else needs. */
export type AdmissionDecision = {readonly kind: 'begin' | 'late' | 'hold'} | {readonly kind: 'refuse'; readonly reason: RefusalReason};

/**
The share of the target that may have passed when the call gets its slot. The rest is for the prompt's reading, the way to and from the replica, and loads that peers have not yet announced. An owner that asks for more than its share, and a call that is outranked, begin only where they leave room on time to the others.
*/
const usualShare = 0.5;
const pressingShare = 0.3;
const outrankedShare = 0.15;

/**
Added to it for a returned caller, who is lost by a second refusal. Each returned caller that is preferred turns a fresh one into a returned one. That is worth it if the fresh one comes back to free slots; in an overload that lasts for longer than refused callers stay away, all room would go to callers who come back late, and none to those who could be served at once.
*/
const returnedBonus = 0.1;
const returnedMalus = -0.25;

/** A wait below this share of the target shows that slots are free, although some replicas have a queue. An outranked call leaves them to those that are about to arrive. */
const negligibleShare = 0.05;

/** Share of the target for which a slot is waited for, on average, when its owners have just what they may have; queues that are longer come of accumulations. */
const queuedShare = 0.2;

/** A refusal counts as immediate for a quarter of the target since the caller sent the call; the rest of the quarter is for the way and for delays of timers. */
const heldShare = 0.2;

/** A returned caller may exceed its owner's share by this factor, so that it is served before a fresh one of the same owner. */
const returnedShareUsed = 1.25;

const limitShare = ({isReturned, isOutranked, hasLeastShare, isPressing, isLasting}: AdmissionView): number => {
	if (hasLeastShare) {
		return usualShare;
	}

	const share = isOutranked ? outrankedShare : (isPressing ? pressingShare : usualShare);
	return isReturned ? share + (isLasting ? returnedMalus : returnedBonus) : share;
};

/** Milliseconds after its arrival until which a call may wait at a front. */
export const longestHoldMs = (targetMs: number): number => heldShare * targetMs;

/** Wait for a slot, in milliseconds, that shares allow for. */
export const queuedMs = (targetMs: number): number => queuedShare * targetMs;

/** @returns By how much the expected wait exceeds what the target leaves, in milliseconds; negative if the call would be on time. */
export const excessMs = (view: AdmissionView): number => view.waitMs + view.elapsedMs - (limitShare(view) * view.targetMs);

/** See the module's head. A call that finds a free slot always begins. */
export const decideAdmission = (view: AdmissionView): AdmissionDecision => {
	const {
		waitMs, elapsedMs, leftMs, targetMs, isReturned, isOutranked, hasLeastShare, shareUsed, isScarce,
	} = view;
	if (waitMs <= (isOutranked ? 0 : negligibleShare * targetMs)) {
		return {kind: 'begin'};
	}

	if (waitMs > leftMs) {
		return {kind: 'refuse', reason: 'hopeless'};
	}

	if (isScarce && !hasLeastShare && shareUsed >= (isReturned ? returnedShareUsed : 1)) {
		return {kind: 'refuse', reason: 'overShare'};
	}

	const excess = excessMs(view);
	if (excess <= 0) {
		return {kind: 'begin'};
	}

	if (!isScarce) {
		return {kind: 'late'};
	}

	const holdMs = longestHoldMs(targetMs);
	return elapsedMs < holdMs && excess <= holdMs ? {kind: 'hold'} : {kind: 'refuse', reason: 'overdue'};
};
