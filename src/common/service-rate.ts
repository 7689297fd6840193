/**
Measures how long the backend server takes for a token of estimated cost, from finished work, so that estimates of the wait follow the actual speed of the backend server instead of its settings. Recent work counts more: the rate adapts within a few dozen requests to a backend server that has become slow.
*/

/** The rate that is assumed before any work has finished. */
export type RatePrior = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** Tokens it computes in a second when full. */
	readonly tokensPerSecond: number;
};

const msPerSecond = 1000;
// The prior counts as much as this many tokens of measured work.
const priorTokens = 100;
// Factor by which each finished request reduces the weight of those before it.
const decayFactor = 0.95;

/** A weighted mean of milliseconds a token. */
export class ServiceRate {
	#ms: number;
	#tokens = priorTokens;

	constructor({maxRunning, tokensPerSecond}: RatePrior) {
		this.#ms = priorTokens * maxRunning * msPerSecond / tokensPerSecond;
	}

	/** Milliseconds that one request takes for each token of its cost. */
	get msPerToken(): number {
		return this.#ms / this.#tokens;
	}

	/**
	Counts finished work.

	@param costTokens - Its estimated cost; the estimates' error is part of the rate.
	@param ms - Milliseconds that it ran.
	*/
	finished(costTokens: number, ms: number): void {
		this.#ms = (this.#ms * decayFactor) + ms;
		this.#tokens = (this.#tokens * decayFactor) + costTokens;
	}
}
