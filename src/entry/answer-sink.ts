/**
Where the chunks of an answer go, and how an answer that stopped is continued at another replica.
*/
import {Buffer} from 'node:buffer';
import {AnswerAssembler, type AnswerChunk} from '../common/answer-assembler.js';
import {parseObject} from '../common/parse-object.js';
import type {BackendWork, CallHead, JsonObject} from '../common/protocol.js';

/** Receives an answer. */
export type AnswerSink = {
	/** True once the caller has been sent a part of the answer. */
	readonly hasBegun: boolean;
	/** True when everything has come but for the mark that ends it. */
	readonly isComplete: boolean;
	/** Whether another replica can complete the answer. */
	readonly canContinue: boolean;
	/** The work as another replica must get it to complete the answer; forgets what can not be continued. */
	continued(work: BackendWork): BackendWork;
	/** Forgets what has come, for the answer of another run. A caller that has been sent a part keeps it. */
	clear(): void;
	/** Takes one chunk, in order, each once. False when it can not be used: it is not what a backend server may send. */
	chunk(data: string): boolean;
};

const saysNothing = (delta: object) => Object.entries(delta).every(([name, value]) => name === 'role' || value === null || value === '');

const isOnlyRole = (chunk: AnswerChunk) => !chunk.usage && (chunk.choices ?? []).every(choice => (choice.text ?? '') === '' && !choice.finish_reason && saysNothing(choice.delta ?? {}));

/** Collects a generation and hands each chunk on. */
export class GenerationSink implements AnswerSink {
	readonly #assembler: AnswerAssembler;
	readonly #onChunk: ((chunk: AnswerChunk) => void) | undefined;
	#hasBegun = false;
	#isContinued = false;

	/**
	@param request - What the engine is sent.
	@param onChunk - Sends a chunk to the caller; left out when the caller wants the whole answer at once.
	*/
	constructor(request: JsonObject, onChunk?: (chunk: AnswerChunk) => void) {
		this.#assembler = new AnswerAssembler(request);
		this.#onChunk = onChunk;
	}

	get hasBegun(): boolean {
		return this.#hasBegun;
	}

	get isComplete(): boolean {
		return this.#assembler.isFinished;
	}

	get canContinue(): boolean {
		return !this.#hasBegun || this.#assembler.resumePoint !== undefined;
	}

	/** Tokens received. */
	get tokens(): number {
		return this.#assembler.tokens;
	}

	continued(work: BackendWork): BackendWork {
		const resume = this.#assembler.resumePoint;
		if (work.kind !== 'generate' || !resume || resume.tokens === 0) {
			this.clear();
			this.#isContinued = this.#hasBegun;
			return work;
		}

		this.#isContinued = true;
		return {...work, resume};
	}

	clear(): void {
		this.#assembler.clear();
	}

	chunk(data: string): boolean {
		return parseObject<AnswerChunk>(data)
			.ifRight(chunk => {
				this.#take(chunk);
			})
			.isRight();
	}

	/** The whole answer under the id the caller sees. */
	result(id: string): JsonObject {
		return this.#assembler.result(id);
	}

	#take(chunk: AnswerChunk) {
		// A replica that continues begins with the role again, which the caller has.
		if (this.#isContinued && isOnlyRole(chunk)) {
			return;
		}

		this.#assembler.add(chunk);
		if (this.#onChunk) {
			this.#hasBegun = true;
			this.#onChunk(chunk);
		}
	}
}

/** Keeps a plain service's response until it is whole, so that a broken one is never passed on in part. */
export class CallSink implements AnswerSink {
	#head: CallHead | undefined;
	#pieces: Buffer[] = [];

	get hasBegun(): boolean {
		return false;
	}

	// Only the end of the attempt tells that the body is whole.
	get isComplete(): boolean {
		return false;
	}

	get canContinue(): boolean {
		return true;
	}

	/** The response's head, once it has come. */
	get head(): CallHead | undefined {
		return this.#head;
	}

	get body(): Buffer {
		return Buffer.concat(this.#pieces);
	}

	continued(work: BackendWork): BackendWork {
		this.clear();
		return work;
	}

	clear(): void {
		this.#head = undefined;
		this.#pieces = [];
	}

	chunk(data: string): boolean {
		if (this.#head) {
			this.#pieces.push(Buffer.from(data, 'base64'));
			return true;
		}

		return parseObject<CallHead>(data)
			.ifRight(head => {
				this.#head = head;
			})
			.isRight();
	}
}
