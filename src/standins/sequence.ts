/**
One request inside the engine: how much of its prompt is still to be computed, and how far its answer has come.
*/
import {blockCharacters, blockHashes} from '../common/prefix-blocks.js';
import type {BlockHash} from '../common/ids.js';
import type {EngineRequest} from './engine-request.js';
import {TokenSource} from './expected-tokens.js';
import {charactersPerToken} from './prompt-text.js';

/** Why a sequence ended; `abort` when it was cancelled. */
export type EndReason = EngineRequest['finishReason'] | 'abort';

/** Receives a sequence's answer. */
export type SequenceOutput = {
	token(text: string): void;
	/** @param cachedTokens - Prompt tokens that were not computed, since they were cached. */
	end(reason: EndReason, tokens: number, cachedTokens: number): void;
	/** Sends what has come in since the last call. */
	flush(): void;
};

const tokensPerBlock = blockCharacters / charactersPerToken;

/** A sequence, waiting or running. */
export class Sequence {
	readonly request: EngineRequest;
	readonly output: SequenceOutput;
	readonly blocks: readonly BlockHash[];
	/** Prompt tokens still to be computed. */
	prefillLeft = 0;
	/** Tokens of the answer so far, with those that were generated elsewhere. */
	tokens: number;
	cachedTokens = 0;
	isEnded = false;
	readonly #source: TokenSource;

	constructor(request: EngineRequest, output: SequenceOutput) {
		this.request = request;
		this.output = output;
		this.blocks = blockHashes(request.promptText);
		this.tokens = request.resumedTokens;
		this.prefillLeft = request.promptTokens + request.resumedTokens;
		this.#source = new TokenSource(request.promptText);
	}

	/** The room that it takes: its prompt and the longest answer it may give, since the engine can't know where the answer stops. */
	get kvTokens(): number {
		return this.request.promptTokens + this.request.maxTokens;
	}

	get isComplete(): boolean {
		return this.tokens >= this.request.length;
	}

	/** Skips the prompt's cached blocks. At least one token is computed, for the first token of the answer comes out of it. */
	skip(cachedBlocks: number): void {
		const all = this.request.promptTokens + this.request.resumedTokens;
		this.cachedTokens = Math.max(0, Math.min(cachedBlocks * tokensPerBlock, all - 1));
		this.prefillLeft = all - this.cachedTokens;
	}

	/** Generates the next token, unless the answer is complete. */
	generate(): boolean {
		if (this.isComplete) {
			return false;
		}

		this.output.token(this.#source.token(this.tokens));
		this.tokens++;
		return true;
	}

	end(reason: EndReason): void {
		this.isEnded = true;
		this.output.end(reason, this.tokens, this.cachedTokens);
	}
}
