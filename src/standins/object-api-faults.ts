/**
Faults of the object API: those of its connections, and answers that are lost after the change took effect.
*/
import {z} from 'zod';
import type {RandomSource} from '../common/services.js';
import {connectionFaultsSchema} from './connection-faults.js';

/** The body of `POST /control/faults`. */
export const objectApiFaultsSchema = connectionFaultsSchema.extend({
	/** The next so many changes take effect, then the connection is cut instead of an answer. */
	loseAnswers: z.number().int().min(0).optional(),
	/** The share of changes, 0 to 1, that is treated so, drawn from the stand-in's seed. */
	loseAnswerShare: z.number().min(0).max(1).optional(),
});

/** See {@link objectApiFaultsSchema}. */
export type ObjectApiFaults = z.infer<typeof objectApiFaultsSchema>;

/** Decides which answers to changes are lost. */
export class AnswerLoss {
	readonly #random: RandomSource;
	#next = 0;
	#share = 0;

	constructor(random: RandomSource) {
		this.#random = random;
	}

	get faults(): {loseAnswers: number; loseAnswerShare: number} {
		return {loseAnswers: this.#next, loseAnswerShare: this.#share};
	}

	set(changes: Pick<ObjectApiFaults, 'loseAnswers' | 'loseAnswerShare'>): void {
		this.#next = changes.loseAnswers ?? this.#next;
		this.#share = changes.loseAnswerShare ?? this.#share;
	}

	/** Whether the answer to the change just made is lost. */
	takes(): boolean {
		if (this.#next > 0) {
			this.#next--;
			return true;
		}

		return this.#share > 0 && this.#random.next() < this.#share;
	}
}
