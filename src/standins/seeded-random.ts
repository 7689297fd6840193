/**
Chance that repeats: the same seed gives the same faults, so a failing run can be run again.
*/
import {xoroshiro128plus, unsafeUniformIntDistribution, type RandomGenerator} from 'pure-rand';
import type {RandomSource} from '../common/services.js';

const range = 0x1_00_00_00_00;

/** A {@link RandomSource} from a seed. */
export class SeededRandom implements RandomSource {
	readonly #generator: RandomGenerator;

	/** @param seed - Any integer. */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return unsafeUniformIntDistribution(0, range - 1, this.#generator) / range;
	}
}
