/**
What is known of whether a request was run, over all its attempts. Some of it is learnt only after the request has gone on elsewhere.
*/

/** `unknown`: at least one attempt may have been run, and none certainly was. */
export type RunState = 'notRun' | 'unknown' | 'run';

/** The record of one request. */
export class RunRecord {
	readonly #unknown = new Set<number>();
	#hasRun = false;

	get state(): RunState {
		if (this.#hasRun) {
			return 'run';
		}

		return this.#unknown.size > 0 ? 'unknown' : 'notRun';
	}

	/** Some attempt was run, at least in part. */
	noteRun(): void {
		this.#hasRun = true;
	}

	/** Nobody can say, for now, whether an attempt was run. */
	noteUnknown(attempt: number): void {
		this.#unknown.add(attempt);
	}

	/** An attempt of which nobody could say has not been run and never will be. */
	noteNotRun(attempt: number): void {
		this.#unknown.delete(attempt);
	}
}
