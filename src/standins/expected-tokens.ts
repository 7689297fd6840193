/**
The answer that the engine stand-in gives to a prompt. It depends on nothing but the prompt, so a checker can compute it, and an answer that was resumed elsewhere must equal one that was not interrupted.
*/
import {h32, h64ToString} from '../common/xxhash.js';

/** Why an answer ends: at a stop, or because it has as many tokens as were asked for. */
export type FinishReason = 'stop' | 'length';

/** How long an answer gets and why it ends there. */
export type OutputLength = {readonly tokens: number; readonly finishReason: FinishReason};

const onsets = ['b', 'c', 'd', 'f', 'g', 'j', 'l', 'm', 'n', 'p', 'r', 's', 't', 'v', 'x', 'z'] as const;
const vowels = ['a', 'e', 'i', 'o', 'u', 'ai', 'au', 'ea', 'ei', 'ia', 'ie', 'io', 'oa', 'oi', 'ua', 'ue'] as const;
const endings = ['', 'l', 'm', 'n', 'r', 's', 'ta', 'la', 'na', 'ra', 'so', 'do', 'mo', 'ne', 'te', 're'] as const;

const wordOf = (hash: number): string => [onsets[hash % 16], vowels[Math.floor(hash / 16) % 16], endings[Math.floor(hash / 256) % 16]].join('');

/** Generates the tokens of one prompt's answer, in any order. */
export class TokenSource {
	readonly #promptHash: string;

	/** @param promptText - The canonical prompt text. */
	constructor(promptText: string) {
		this.#promptHash = h64ToString(promptText);
	}

	/** Token `i`, counted from 0: a word and a space. */
	token(i: number): string {
		return `${wordOf(h32(`${this.#promptHash}:${i}`))} `;
	}

	/** Tokens `from` up to but without `to`. */
	tokens(from: number, to: number): string[] {
		return Array.from({length: Math.max(0, to - from)}, (_, i) => this.token(from + i));
	}
}

const stopPattern = /\[\[stop:(\d{1,9})\]\]/v;

/** How long the answer to a prompt gets: as long as asked, unless the prompt holds `[[stop:N]]` with a smaller N. */
export const outputLength = (promptText: string, maxTokens: number): OutputLength => {
	const stop = stopPattern.exec(promptText)?.[1];
	return stop !== undefined && Number(stop) <= maxTokens
		? {tokens: Number(stop), finishReason: 'stop'}
		: {tokens: maxTokens, finishReason: 'length'};
};

/**
All tokens of the answer to a prompt.

@param maxTokens - The request's `max_tokens`.
*/
export const expectedTokens = (promptText: string, maxTokens: number): string[] => new TokenSource(promptText).tokens(0, outputLength(promptText, maxTokens).tokens);
