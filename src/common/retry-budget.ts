/**
Bounds retries to a share of the requests that succeed, so that retries can not multiply an overload: when all requests fail, the budget runs out.
*/

/** Limits of the budget. */
export type RetryBudgetLimits = {
	/** Retries earned by each success, for instance 0.1. */
	readonly perSuccess: number;
	/** Maximum number of retries saved up; enough for the streams of one lost replica. */
	readonly max: number;
};

/** Counts retries against successes. */
export class RetryBudget {
	readonly #limits: RetryBudgetLimits;
	#balance: number;

	constructor(limits: RetryBudgetLimits) {
		this.#limits = limits;
		this.#balance = limits.max;
	}

	succeeded(): void {
		this.#balance = Math.min(this.#limits.max, this.#balance + this.#limits.perSuccess);
	}

	/** Spends one retry; false when none is left. */
	spend(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance -= 1;
		return true;
	}
}

/**
Full jitter: a delay drawn evenly between zero and an exponentially growing bound, which spreads retries that started together.

@param attempt - 0 for the first retry.
@param draw - A number in [0, 1).
@returns Milliseconds.
*/
export const fullJitterMs = (attempt: number, baseMs: number, maxMs: number, draw: number) => draw * Math.min(maxMs, baseMs * (2 ** attempt));
