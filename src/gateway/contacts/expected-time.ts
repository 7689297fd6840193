/**
How long something usually takes, learnt from what was observed: the mean and the mean deviation, each moving, as TCP keeps them for its retransmission timeout. A limit taken from them follows the network and the load that a process meets, where a fixed figure would suit one deployment.
*/

/** What a new observation counts for; RFC 6298 takes the same. */
const meanShare = 1 / 8;
const deviationShare = 1 / 4;

/** The limit is the mean and so many deviations; RFC 6298 takes the same. */
const deviations = 4;

/** Fewer observations say too little; until then the limit is the ceiling. The deviation begins at half of the first one, so that the limit is thrice what was seen, and a process is careful with replicas that go dark in its first seconds too. */
const leastObservations = 3;

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

	/** @param ms - How long it took this time. */
	observe(ms: number): void {
		this.#observations += 1;
		if (this.#observations === 1) {
			this.#mean = ms;
			this.#deviation = ms / 2;
			return;
		}

		this.#deviation += deviationShare * (Math.abs(ms - this.#mean) - this.#deviation);
		this.#mean += meanShare * (ms - this.#mean);
	}

	/** @returns Milliseconds that it takes at most, unless something is wrong. */
	limitMs({floorMs, ceilingMs}: LimitBounds): number {
		const expected = this.#mean + (deviations * this.#deviation);
		return this.#observations < leastObservations ? ceilingMs : Math.min(ceilingMs, Math.max(floorMs, expected));
	}
}
