/**
Whether the wait for a slot has been growing or shrinking lately. Rates of arrivals are known only after about a second; the queues show a jump of the load before that.
*/

/** The time over which earlier waits lose their weight, in milliseconds: a few times the age of announced loads. */
const memoryMs = 300;

/** A wait below this share of the recent mean is shrinking. */
const shrinkingShare = 0.95;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class WaitTrend {
	#meanMs = 0;
	#notedAt = -Infinity;
	#pressedAt = -Infinity;

	/** When a call last found no free slot. */
	get pressedAt(): number {
		return this.#pressedAt;
	}

	/** @returns Whether the wait is shrinking. */
	note(waitMs: number, now: number): boolean {
		const isShrinking = waitMs < this.#meanMs * shrinkingShare;
		this.#meanMs += (waitMs - this.#meanMs) * (1 - Math.exp((this.#notedAt - now) / memoryMs));
		this.#notedAt = now;
		if (waitMs > 0) {
			this.#pressedAt = now;
		}

		return isShrinking;
	}
}
