/**
Chance that can be repeated: two sources with the same seed give the same numbers, so a logged seed is enough to replay a run's decisions.
*/
import {xoroshiro128plus} from 'pure-rand';
import {type RandomSource} from '../common/services.js';

/** Distinct results of one draw, which is a signed 32-bit number. */
const draws = 2 ** 32;

/** A {@link RandomSource} from a 32-bit seed. */
export class SeededRandom implements RandomSource {
	readonly #generator;

	/** @param seed - A whole number; only its low 32 bits count. */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return (this.#generator.unsafeNext() / draws) + 0.5;
	}
}
