/**
Whether an engine has come to the end of an answer. The end marker alone does not tell: a run that brought nothing, or broke off inside the engine, can be closed in order as well. What tells is a reason to finish for each choice that was asked for.
*/
import type {AnswerChunk} from './answer-assembler.js';
import type {JsonObject} from './protocol.js';

/** The number of choices that a request asks for. */
export const requestedChoices = ({n}: JsonObject): number => Number.isInteger(n) ? Math.max(1, n as number) : 1;

/** Counts the choices that an engine gave a reason to finish for. */
export class FinishedChoices {
	readonly #wanted: number;
	readonly #finished = new Set<number>();

	/** @param wanted - See {@link requestedChoices}. */
	constructor(wanted: number) {
		this.#wanted = wanted;
	}

	/** True once every choice that was asked for has its reason to finish. */
	get isComplete(): boolean {
		return this.#finished.size >= this.#wanted;
	}

	add(chunk: AnswerChunk): void {
		chunk.choices?.filter(choice => choice.finish_reason).forEach(({index}) => {
			this.#finished.add(index);
		});
	}
}
