/**
How often a replica has failed of late, as a count that fades.

The pattern: a replica answers errors, drops connections or turns requests away with places to spare, for a part of its requests and with connections in good order. It is done with each at once, so it looks emptiest of all and draws the calls of a whole service. Whoever judges by single failures would set good replicas aside with it; whoever sets replicas aside at all may empty a service.

So nobody is set aside: failures count like calls in flight, and fade. What all replicas of a service do alike, such as errors that the calls themselves cause, weighs on all alike and decides nothing.
*/

/** A failure counts for half of what it did after this long, in milliseconds: a few real calls reach the replica within some seconds and show whether it has recovered. */
const halfLifeMs = 3000;

/** Below this, a score is forgotten. */
const least = 0.05;

/** See the module's head. */
export class FailureScore {
	#score = 0;
	#at = 0;

	/**
	@param now - Milliseconds on the monotonic clock.
	@param count - Failures.
	*/
	note(now: number, count = 1): void {
		this.#score = this.value(now) + count;
		this.#at = now;
	}

	/** @returns Failures of late, older ones counted for less. */
	value(now: number): number {
		if (this.#score === 0) {
			return 0;
		}

		const score = this.#score * (0.5 ** ((now - this.#at) / halfLifeMs));
		return score < least ? 0 : score;
	}
}
