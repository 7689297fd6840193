/**
Measures the recent rate of an event by a count that decays exponentially.
*/

/** The time over which the count decays to about a third, in milliseconds. */
const decayMs = 1000;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class RateMeter {
	#count = 0;
	#countedAt = 0;

	note(count: number, now: number): void {
		this.#count = (this.#count * this.#decayFactor(now)) + count;
		this.#countedAt = now;
	}

	/** Per second. */
	perSecond(now: number): number {
		return this.#count * this.#decayFactor(now) * (1000 / decayMs);
	}

	#decayFactor(now: number): number {
		return Math.exp((this.#countedAt - now) / decayMs);
	}
}
