/**
A reproducible random source: two sources with the same seed produce the same numbers, so a logged seed is sufficient to replay the decisions of a run.
*/
import {xoroshiro128plus} from 'pure-rand';
import {type RandomSource} from '../common/services.js';

/** Number of distinct values of the generator, whose output is a signed 32-bit integer. */
const distinctValues = 2 ** 32;

/** A {@link RandomSource} with a 32-bit seed. */
export class SeededRandom implements RandomSource {
	readonly #generator;

	/** @param seed - An integer, of which only the low 32 bits are used. */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return (this.#generator.unsafeNext() / distinctValues) + 0.5;
	}
}
