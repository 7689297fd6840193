/**
Remembers what a decision drew by chance, so that the decision can be made again from its record.
*/
import type {RandomSource} from './services.js';

/** Passes draws on from another source and keeps them. */
export class RecordedDraws implements RandomSource {
	/** What was drawn, in order. */
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
