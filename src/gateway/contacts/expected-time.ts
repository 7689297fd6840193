/**
Estimates how long something takes from observed durations, by a moving mean and a moving mean deviation, as TCP does for its retransmission timeout. A limit derived from them adapts to the network and the load of the process, where a fixed value would suit one deployment only.
*/

/** Weights of a new observation in the moving mean and the moving deviation, as in RFC 6298. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** The limit is the mean plus this many deviations, as in RFC 6298. */
const deviationFactor = 4;

/** With fewer observations the limit is the ceiling. The deviation starts at half of the first duration, so that the limit starts at three times the observed one and takes effect early: replicas may also become unreachable in the first seconds of a process. */
const minObservations = 3;

/** Bounds of a limit, in milliseconds. */
export type LimitBounds = {
	readonly floorMs: number;
	readonly ceilingMs: number;
};

/** See the module's head. */
export class ExpectedTime {
	#mean = 0;
	#deviation = 0;
	#observations = 0;

	get meanMs(): number {
		return this.#mean;
	}

	get observations(): number {
		return this.#observations;
	}

	/** @param ms - The observed duration. */
	observe(ms: number): void {
		this.#observations += 1;
		if (this.#observations === 1) {
			this.#mean = ms;
			this.#deviation = ms / 2;
			return;
		}

		this.#deviation += deviationWeight * (Math.abs(ms - this.#mean) - this.#deviation);
		this.#mean += meanWeight * (ms - this.#mean);
	}

	/** @returns The upper limit, in milliseconds, that a duration exceeds only in case of a fault. */
	limitMs({floorMs, ceilingMs}: LimitBounds): number {
		const expected = this.#mean + (deviationFactor * this.#deviation);
		return this.#observations < minObservations ? ceilingMs : Math.min(ceilingMs, Math.max(floorMs, expected));
	}
}
