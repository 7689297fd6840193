/**
Bounds the number of asynchronous calls that run at once. Without a bound, calls to a slow object API would accumulate; strictly one after the other, a slow call would delay all that follow.
*/

/** Runs at most `max` tasks at once, in order of arrival. */
export class ConcurrencyLimit {
	readonly #max: number;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(max: number) {
		this.#max = max;
	}

	/** Runs a task as soon as a slot is free. Rejects when the task rejects. */
	async run<T>(task: () => Promise<T>): Promise<T> {
		if (this.#running >= this.#max) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		} else {
			this.#running += 1;
		}

		try {
			return await task();
		} finally {
			this.#releaseSlot();
		}
	}

	// The slot of a finished task passes directly to the next one, without becoming free in between.
	#releaseSlot() {
		const next = this.#waiting.shift();
		if (next) {
			next();
			return;
		}

		this.#running -= 1;
	}
}
