/**
The engine stand-in's batching in virtual time, without HTTP.
*/
import type {BlockHash} from '../../src/common/ids.js';
import {EngineBatch} from '../../src/standins/engine-batch.js';
import type {EngineRequest} from '../../src/standins/engine-request.js';
import {engineSettingsSchema, type EngineSettings} from '../../src/standins/engine-settings.js';
import {PrefixCache} from '../../src/standins/prefix-cache.js';
import type {Sequence, SequenceOutput} from '../../src/standins/sequence.js';
import type {VirtualTime} from './virtual-time.js';

/** What the engine computes for a request. */
export type Generation = {
	readonly key: string;
	readonly promptText: string;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Tokens of the answer that were generated before. */
	readonly resumedTokens: number;
};

const requestOf = (generation: Generation): EngineRequest => ({
	requestId: generation.key,
	model: 'model',
	promptText: generation.promptText,
	promptTokens: generation.promptTokens,
	maxTokens: generation.answerTokens,
	length: generation.answerTokens,
	finishReason: 'length',
	resumedTokens: generation.resumedTokens,
	stream: true,
	includeUsage: false,
});

/** One engine. */
export class EngineModel {
	/** Prompt tokens computed, and those found in the cache. */
	readonly prompts = {computed: 0, cached: 0};
	readonly #time: VirtualTime;
	readonly #batch: EngineBatch;
	readonly #cached = new Set<BlockHash>();
	#isStepping = false;
	#isFrozen = false;

	constructor(time: VirtualTime, settings: EngineSettings) {
		const full = engineSettingsSchema.parse(settings);
		this.#time = time;
		this.#batch = new EngineBatch(full, new PrefixCache(full.cacheBlocks), ({stored, removed}) => {
			stored.forEach(block => {
				this.#cached.add(block);
			});
			removed.forEach(block => {
				this.#cached.delete(block);
			});
		});
	}

	get generated(): number {
		return this.#batch.generated;
	}

	/** The blocks of a list that are in the cache, from its start to the first that is not. */
	held(blocks: readonly BlockHash[]): readonly BlockHash[] {
		const missing = blocks.findIndex(block => !this.#cached.has(block));
		return missing === -1 ? blocks : blocks.slice(0, missing);
	}

	submit(generation: Generation, onToken: () => void, onEnd: () => void): Sequence {
		const output: SequenceOutput = {
			token: onToken,
			end: (reason, _tokens, cachedTokens) => {
				if (reason !== 'abort') {
					this.prompts.cached += cachedTokens;
					this.prompts.computed += generation.promptTokens - cachedTokens;
					onEnd();
				}
			},
			flush() {
				// Nothing is buffered.
			},
		};
		const sequence = this.#batch.submit(requestOf(generation), output);
		this.#wake();
		return sequence;
	}

	cancel(sequence: Sequence): void {
		this.#batch.cancel(sequence);
	}

	freeze(isFrozen: boolean): void {
		this.#isFrozen = isFrozen;
		this.#wake();
	}

	#wake() {
		if (this.#isStepping || this.#isFrozen) {
			return;
		}

		const step = this.#batch.beginStep();
		if (!step) {
			return;
		}

		this.#isStepping = true;
		this.#time.after(step.costMs, () => {
			this.#isStepping = false;
			this.#batch.completeStep(step);
			this.#batch.flush();
			this.#wake();
		});
	}
}
