/**
Assembles the chunks of a streamed answer: into the complete response for a caller who did not request a stream, and into the resume point for an engine that continues where another stopped.
*/
import {requestedChoices, FinishedChoices} from './finished-choices.js';
import type {JsonObject, ResumePoint} from './protocol.js';

type Delta = {role?: string; content?: string | null; refusal?: string | null; tool_calls?: ToolCallDelta[]};
type ToolCallDelta = {index: number; id?: string; type?: string; function?: {name?: string; arguments?: string}};
type ChunkChoice = {
	index: number;
	delta?: Delta;
	text?: string;
	finish_reason?: string | null;
	/** Lists of log probabilities; the two completion APIs name them differently. */
	logprobs?: JsonObject | null;
};

/** The fields of an engine's chunk that are read here. */
export type AnswerChunk = {
	id?: string;
	object?: string;
	created?: number;
	model?: string;
	choices?: ChunkChoice[];
	usage?: JsonObject | null;
	system_fingerprint?: string;
};

type ToolCall = {id?: string; type: string; function: {name: string; arguments: string}};

const knownFields = new Set(['role', 'content', 'refusal', 'tool_calls']);

/** Non-empty fields of a delta that are not part of the original API, for instance `reasoning_content`. */
const otherFields = (delta: Delta): Array<[string, unknown]> => Object.entries(delta)
	.filter(([name, value]) => !knownFields.has(name) && value !== null && value !== '');

class ChoiceParts {
	role = 'assistant';
	text = '';
	refusal: string | undefined;
	finishReason: string | null = null;
	readonly toolCalls: ToolCall[] = [];
	readonly logprobs = new Map<string, unknown>();
	readonly others = new Map<string, unknown>();

	/** True when it holds nothing but text. A resume point carries text only, so an engine that resumes from it would send anything else, for instance reasoning or a refusal, a second time. */
	get isPlain(): boolean {
		return this.toolCalls.length === 0 && this.others.size === 0 && this.logprobs.size === 0 && this.refusal === undefined;
	}

	/** The log probabilities in the form of a complete answer; null when there are none. */
	get completeLogprobs(): JsonObject | null {
		return this.logprobs.size > 0 ? Object.fromEntries(this.logprobs) : null;
	}

	add(choice: ChunkChoice) {
		this.role = choice.delta?.role ?? this.role;
		this.text += choice.delta?.content ?? choice.text ?? '';
		this.finishReason = choice.finish_reason ?? this.finishReason;
		this.refusal = choice.delta?.refusal ? (this.refusal ?? '') + choice.delta.refusal : this.refusal;
		this.#addLogprobs(choice);
		otherFields(choice.delta ?? {}).forEach(([name, value]) => {
			this.#addOther(name, value);
		});
		choice.delta?.tool_calls?.forEach(delta => {
			this.#addToolCall(delta);
		});
	}

	#addLogprobs(choice: ChunkChoice) {
		Object.entries(choice.logprobs ?? {}).filter(([, value]) => value !== null).forEach(([name, value]) => {
			const previous = this.logprobs.get(name);
			if (Array.isArray(previous) && Array.isArray(value)) {
				previous.push(...value as unknown[]);
			} else {
				this.logprobs.set(name, Array.isArray(value) ? [...value as unknown[]] : previous ?? value);
			}
		});
	}

	// Strings arrive in pieces and are joined; of any other type the last value counts.
	#addOther(name: string, value: unknown) {
		const previous = this.others.get(name);
		this.others.set(name, typeof previous === 'string' && typeof value === 'string' ? previous + value : value);
	}

	#addToolCall(delta: ToolCallDelta) {
		const call = this.toolCalls[delta.index] ?? {id: delta.id, type: delta.type ?? 'function', function: {name: '', arguments: ''}};
		this.toolCalls[delta.index] = call;
		call.id ??= delta.id;
		call.function.name += delta.function?.name ?? '';
		call.function.arguments += delta.function?.arguments ?? '';
	}
}

/** Collects one answer, over all attempts that contributed to it. */
export class AnswerAssembler {
	readonly #choicesRequested: number;
	readonly #choices = new Map<number, ChoiceParts>();
	#finished: FinishedChoices;
	#firstChunk: AnswerChunk = {};
	#usage: JsonObject | undefined;
	#tokens = 0;

	/** @param request - The request as sent to the engine. */
	constructor(request: JsonObject) {
		this.#choicesRequested = requestedChoices(request);
		this.#finished = new FinishedChoices(this.#choicesRequested);
	}

	/** True once the engine has sent a finish reason for every requested choice. */
	get isFinished(): boolean {
		return this.#finished.isComplete;
	}

	/** The usage that the engine reported last; undefined before the first report. */
	get usage(): JsonObject | undefined {
		return this.#usage;
	}

	/** Chunks with content so far; engines send one chunk per token. */
	get tokens(): number {
		return this.#tokens;
	}

	/** True when nothing was generated yet. */
	get isEmpty(): boolean {
		return this.#tokens === 0;
	}

	/** The point from which another engine can resume; undefined when the answer holds, or will hold, more than the text of one choice. */
	get resumePoint(): ResumePoint | undefined {
		const first = this.#choices.get(0);
		return (first?.isPlain ?? true) && this.#choicesRequested === 1 && this.#choices.size <= 1 ? {text: first?.text ?? '', tokens: this.#tokens} : undefined;
	}

	/** Adds one chunk. */
	add(chunk: AnswerChunk): void {
		if (this.#firstChunk.id === undefined) {
			this.#firstChunk = chunk;
		}

		this.#finished.add(chunk);
		this.#usage = chunk.usage ?? this.#usage;
		chunk.choices?.forEach(choice => {
			this.#addChoice(choice);
		});
	}

	/** Discards what was collected, for an answer that is restarted. */
	clear(): void {
		this.#choices.clear();
		this.#finished = new FinishedChoices(this.#choicesRequested);
		this.#firstChunk = {};
		this.#usage = undefined;
		this.#tokens = 0;
	}

	/**
	Returns the complete answer, in the form in which the engine would have sent it without a stream.

	@param id - The id shown to the caller.
	*/
	result(id: string): JsonObject {
		const isChat = (this.#firstChunk.object ?? 'chat.completion.chunk').startsWith('chat');
		return {
			id,
			object: isChat ? 'chat.completion' : 'text_completion',
			created: this.#firstChunk.created,
			model: this.#firstChunk.model,
			choices: [...this.#choices].toSorted(([a], [b]) => a - b).map(([index, parts]) => isChat ? this.#chatChoice(index, parts) : this.#textChoice(index, parts)),
			usage: this.#usage,
		};
	}

	#addChoice(choice: ChunkChoice) {
		const parts = this.#choices.get(choice.index) ?? new ChoiceParts();
		this.#choices.set(choice.index, parts);
		parts.add(choice);
		const text = choice.delta?.content ?? choice.text ?? '';
		const hasOtherContent = Boolean(choice.delta?.tool_calls) || otherFields(choice.delta ?? {}).length > 0;
		if (text !== '' || hasOtherContent) {
			this.#tokens += 1;
		}
	}

	#chatChoice(index: number, parts: ChoiceParts): JsonObject {
		return {
			index,
			message: {
				role: parts.role,
				content: parts.text === '' && parts.toolCalls.length > 0 ? null : parts.text,
				refusal: parts.refusal ?? null,
				...Object.fromEntries(parts.others),
				...(parts.toolCalls.length > 0 && {tool_calls: parts.toolCalls}),
			},
			logprobs: parts.completeLogprobs,
			finish_reason: parts.finishReason,
		};
	}

	#textChoice(index: number, parts: ChoiceParts): JsonObject {
		return {
			index, text: parts.text, logprobs: parts.completeLogprobs, finish_reason: parts.finishReason,
		};
	}
}
