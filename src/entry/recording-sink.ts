/**
Keeps a copy of a small answer on its way to the caller, for the claim of its idempotency key.
*/
import {maxClaimedCharacters} from '../common/claim.js';
import type {BackendWork} from '../common/protocol.js';
import type {AnswerSink} from './answer-sink.js';

/** Passes everything on to another sink. */
export class RecordingSink implements AnswerSink {
	readonly #sink: AnswerSink;
	#chunks: string[] = [];
	#characters = 0;

	constructor(sink: AnswerSink) {
		this.#sink = sink;
	}

	/** The chunks so far; undefined when they are larger than is kept. */
	get chunks(): readonly string[] | undefined {
		return this.#characters > maxClaimedCharacters ? undefined : this.#chunks;
	}

	get hasBegun(): boolean {
		return this.#sink.hasBegun;
	}

	get isComplete(): boolean {
		return this.#sink.isComplete;
	}

	get canContinue(): boolean {
		return this.#sink.canContinue;
	}

	continued(work: BackendWork): BackendWork {
		this.#forget();
		return this.#sink.continued(work);
	}

	clear(): void {
		this.#forget();
		this.#sink.clear();
	}

	chunk(data: string): boolean {
		this.#characters += data.length;
		if (this.#characters <= maxClaimedCharacters) {
			this.#chunks.push(data);
		}

		return this.#sink.chunk(data);
	}

	#forget() {
		this.#chunks = [];
		this.#characters = 0;
	}
}
