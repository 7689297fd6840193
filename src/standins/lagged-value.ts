/**
A value that is read as it was some time ago, as reports of load and lists of VMs are.
*/

type Sample<T> = {readonly time: number; readonly value: T};

/** Remembers the states of a value for `keepMs`. */
export class LaggedValue<T> {
	readonly #keepMs: number;
	#samples: Array<Sample<T>>;

	/** @param keepMs - The longest lag at which it will be read. */
	constructor(initial: T, keepMs: number) {
		this.#keepMs = keepMs;
		this.#samples = [{time: Number.NEGATIVE_INFINITY, value: initial}];
	}

	/** Sets the value from `now` on. Times must not go back. */
	set(now: number, value: T): void {
		this.#samples.push({time: now, value});
		const firstKept = this.#samples.findLastIndex(sample => sample.time <= now - this.#keepMs);
		// Trimming in runs keeps the cost of one change constant.
		if (firstKept > this.#samples.length / 2) {
			this.#samples = this.#samples.slice(firstKept);
		}
	}

	/** The value as it was at `time`; the first one known when `time` is before all. */
	at(time: number): T {
		const sample = this.#samples.findLast(candidate => candidate.time <= time) ?? this.#samples[0];
		return sample!.value;
	}

	/** The value as it is. */
	get latest(): T {
		return this.#samples.at(-1)!.value;
	}
}
