/**
Detects whether an engine has completed an answer. The end marker alone is not sufficient: a run that generated nothing, or failed inside the engine, can be closed regularly as well. An answer is complete when each requested choice has a finish reason.
*/
import type {AnswerChunk} from './answer-assembler.js';
import type {JsonObject} from './protocol.js';

/** The number of choices that a request asks for; 1 when it does not say. */
export const requestedChoices = ({n}: JsonObject): number => Number.isInteger(n) ? Math.max(1, n as number) : 1;

/** Tracks the choices for which an engine has sent a finish reason. */
export class FinishedChoices {
	readonly #requested: number;
	readonly #finished = new Set<number>();

	/** @param requested - See {@link requestedChoices}. */
	constructor(requested: number) {
		this.#requested = requested;
	}

	/** True once every requested choice has a finish reason. */
	get isComplete(): boolean {
		return this.#finished.size >= this.#requested;
	}

	add(chunk: AnswerChunk): void {
		chunk.choices?.filter(choice => choice.finish_reason).forEach(({index}) => {
			this.#finished.add(index);
		});
	}
}
