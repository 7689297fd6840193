/**
Tells callers that come back after a refusal from those that call for the first time, at whichever process they were before: a caller states how long it still waits, and one that has waited already has less time left than the others of its route.
*/

/** A refused caller comes back no sooner than this after its first call, in milliseconds; differences below it are due to the way. */
const leastDelayMs = 100;

/** The longest time that a route's callers have stated is forgotten after this long, in milliseconds, since operators may shorten it. */
const rememberedMs = 30_000;

type Longest = {readonly ms: number; readonly at: number};

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class ReturnedCallers {
	readonly #longest = new Map<string, Longest>();

	/** @param timeLimitMs - For how long the caller waits, counted from its call's arrival. */
	isReturned(route: string, timeLimitMs: number, now: number): boolean {
		const longest = this.#longest.get(route);
		if (!longest || timeLimitMs >= longest.ms || now - longest.at > rememberedMs) {
			this.#longest.set(route, {ms: timeLimitMs, at: now});
			return false;
		}

		return timeLimitMs < longest.ms - leastDelayMs;
	}
}
