/**
When a refused caller is to come back: once there is room for it, and not together with the others that were refused. Called once for each refusal.
*/

/** What the delay depends on; times in milliseconds. */
export type RetryView = {
	readonly now: number;
	/** Until the call would have been on time, if nothing else arrived. */
	readonly excessMs: number;
	/** Whether more calls arrive than finish, so that nobody knows when there is room. */
	readonly isDemandHigh: boolean;
	/** Between two calls of this process that the replicas finish. */
	readonly gapMs: number;
	/** Until the caller's time is up. */
	readonly leftMs: number;
	/** The point in time up to which room has been promised to callers refused before. */
	readonly promisedUntil: number;
	/** A random number in [0, 1). */
	readonly draw: number;
};

/** The delay, and the new end of what has been promised. */
export type RetryDelay = {readonly retryAfterMs: number; readonly promisedUntil: number};

/** By then, slots may have become free. */
const minDelayMs = 150;

/** Callers honour no delay longer than this share of the time they have left. */
const honouredShare = 1 / 3;

/** The share of the finished calls' room that is promised to returning callers; the rest is for new ones. */
const promisedRoom = 0.5;

/** See the module's head. Callers to whom no room can be promised come back as late as they honour, spread over the second half of that time: the overload is then most likely over, and their target counts anew. */
export const retryDelay = ({now, excessMs, isDemandHigh, gapMs, leftMs, promisedUntil, draw}: RetryView): RetryDelay => {
	const longestMs = Math.max(0, leftMs * honouredShare);
	const roomAt = Math.max(now + Math.max(minDelayMs, excessMs), promisedUntil + (gapMs / promisedRoom));
	const delayMs = roomAt - now + (draw * gapMs / promisedRoom);
	return delayMs <= longestMs && !isDemandHigh
		? {retryAfterMs: delayMs, promisedUntil: roomAt}
		: {retryAfterMs: longestMs * (1 + draw) / 2, promisedUntil};
};
