/**
Runs one batch item on the backend server until it has a result: over preemptions, which keep what was generated, and over crashes, which put the item under suspicion.
*/
import type {Ticket} from '../common/admission-types.js';
import {AnswerAssembler, type AnswerChunk} from '../common/answer-assembler.js';
import type {BatchItem, ItemResult} from '../common/batch-types.js';
import type {Clock} from '../common/services.js';
import type {Backend, BackendFailure} from './backend.js';
import type {WorkRunner} from './work-runner.js';

/** How one run of an item ended. */
export type ItemOutcome
	= | {readonly kind: 'result'; readonly result: ItemResult; readonly failed: boolean}
	/** The backend server went away while the item was in it. */
		| {readonly kind: 'crashed'; readonly reason: string}
	/** It was not run: the backend server could not be reached. */
		| {readonly kind: 'unreachable'}
		| {readonly kind: 'cancelled'};

/** What the run of an item needs. */
export type ItemSurroundings = {
	readonly clock: Clock;
	readonly runner: WorkRunner;
	readonly backend: Backend;
};

/** One item of a chunk. */
export class ItemRun {
	/** Times the backend server went away while this item ran alone. */
	soloCrashes = 0;
	readonly item: BatchItem;
	readonly key: string;
	readonly #around: ItemSurroundings;
	readonly #ticket: Ticket;
	readonly #assembler: AnswerAssembler;

	constructor(item: BatchItem, ticket: Ticket, around: ItemSurroundings) {
		this.item = item;
		this.key = ticket.key;
		this.#ticket = ticket;
		this.#around = around;
		this.#assembler = new AnswerAssembler(item.body);
	}

	/** Submits the item; resolves when it has left the agent's queue and the backend server. */
	async run(): Promise<ItemOutcome> {
		return new Promise(resolve => {
			this.#around.runner.submit({
				ticket: this.#ticket,
				run: async signal => this.#runOnce(signal, resolve),
				refuse() {
					resolve({kind: 'cancelled'});
				},
			});
		});
	}

	/** The result of an item that can not be completed. */
	failure(code: string, message: string): ItemResult {
		return {
			id: this.key, custom_id: this.item.custom_id, response: null, error: {code, message},
		};
	}

	async #runOnce(signal: AbortSignal, resolve: (outcome: ItemOutcome) => void): Promise<'done' | 'cut'> {
		const ended = await this.#around.backend.run({
			key: this.key,
			work: {
				kind: 'generate',
				target: String(this.item.body.model),
				path: this.item.url,
				body: this.item.body,
				resume: this.#resumePoint(),
			},
			signal,
			onChunk: data => {
				this.#assembler.add(JSON.parse(data) as AnswerChunk);
				this.#around.runner.progressed(this.key, 1);
			},
		});
		// Where the end alone is missing there is nothing to go on from: an engine that is given a text at its end may add to it.
		if (ended.isRight() || this.#assembler.isFinished) {
			resolve(this.#completed());
			return 'done';
		}

		const failure = ended.extract() as BackendFailure;
		if (failure.kind === 'cancelled') {
			// A preempted item comes back to the queue and runs on; whoever cancels an item for good resolves it itself.
			return 'cut';
		}

		resolve(this.#failedBy(failure));
		return 'done';
	}

	// What has been generated is kept; an answer that can not be taken up starts again from nothing.
	#resumePoint() {
		const point = this.#assembler.resumePoint;
		if (!point) {
			this.#assembler.clear();
		}

		return point && point.tokens > 0 ? point : undefined;
	}

	#completed(): ItemOutcome {
		return {
			kind: 'result',
			failed: false,
			result: {
				id: this.key,
				custom_id: this.item.custom_id,
				response: {status_code: 200, request_id: this.key, body: this.#assembler.result(this.key)},
				error: null,
			},
		};
	}

	#failedBy(failure: BackendFailure): ItemOutcome {
		const handlers: Record<BackendFailure['kind'], () => ItemOutcome> = {
			rejected: () => ({kind: 'result', failed: true, result: this.#rejected(failure)}),
			// An engine that is full has not judged the item.
			full: () => ({kind: 'unreachable'}),
			unreachable: () => ({kind: 'unreachable'}),
			lost: () => ({kind: 'crashed', reason: failure.kind === 'lost' ? failure.reason : ''}),
			cancelled: () => ({kind: 'cancelled'}),
		};
		return handlers[failure.kind]();
	}

	#rejected(failure: BackendFailure): ItemResult {
		const {status, body} = failure as Extract<BackendFailure, {kind: 'rejected'}>;
		return {
			id: this.key,
			custom_id: this.item.custom_id,
			response: {status_code: status, request_id: this.key, body: this.#parsed(body)},
			error: null,
		};
	}

	#parsed(text: string): unknown {
		try {
			return JSON.parse(text);
		} catch {
			return {error: {message: text}};
		}
	}
}
