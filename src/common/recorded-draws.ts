/**
Records the random numbers that a decision draws, so that the decision can be replayed from its record.
*/
import type {RandomSource} from './services.js';

/** Forwards draws from another source and records them. */
export class RecordedDraws implements RandomSource {
	/** The numbers drawn, in order. */
	readonly draws: number[] = [];
	readonly #source: RandomSource;

	constructor(source: RandomSource) {
		this.#source = source;
	}

	next(): number {
		const draw = this.#source.next();
		this.draws.push(draw);
		return draw;
	}
}
