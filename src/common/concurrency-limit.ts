/**
Bounds how many asynchronous calls run at once. A slow object API would otherwise collect calls without end, or hold all others up when they wait for each other.
*/

/** Runs tasks, at most so many at once, in the order they came. */
export class ConcurrencyLimit {
	readonly #max: number;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(max: number) {
		this.#max = max;
	}

	/** Runs a task when there is room. Rejects as the task does. */
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
			this.#leave();
		}
	}

	// The place of a task that ended passes to the next one without becoming free in between.
	#leave() {
		const next = this.#waiting.shift();
		if (next) {
			next();
			return;
		}

		this.#running -= 1;
	}
}
