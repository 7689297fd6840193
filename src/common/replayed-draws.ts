/**
Supplies a replayed decision with the recorded random numbers.
*/
import type {RandomSource} from './services.js';

/** Draws from a list. Drawing more than it holds throws: the policy has changed since the record was made. */
export class ReplayedDraws implements RandomSource {
	readonly #remaining: number[];

	constructor(draws: readonly number[]) {
		this.#remaining = [...draws];
	}

	/** Number of draws that were not used. */
	get unusedDraws(): number {
		return this.#remaining.length;
	}

	next(): number {
		const draw = this.#remaining.shift();
		if (draw === undefined) {
			throw new Error('the record holds fewer draws than the policy requests');
		}

		return draw;
	}
}
