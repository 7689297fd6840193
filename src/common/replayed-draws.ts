/**
Gives a decision the draws that its record holds.
*/
import type {RandomSource} from './services.js';

/** Draws from a list. Drawing more than it holds throws: the policy has changed since the record was made. */
export class ReplayedDraws implements RandomSource {
	readonly #left: number[];

	constructor(draws: readonly number[]) {
		this.#left = [...draws];
	}

	/** Draws that were not asked for. */
	get left(): number {
		return this.#left.length;
	}

	next(): number {
		const draw = this.#left.shift();
		if (draw === undefined) {
			throw new Error('the record holds fewer draws than the policy asks for');
		}

		return draw;
	}
}
