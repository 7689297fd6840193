/**
Writes an answer in the callers' API's shapes: chat or text, as a stream of events or as one object.
*/
import type {EngineRequest} from './engine-request.js';
import type {Exchange} from './exchange.js';
import type {EndReason, SequenceOutput} from './sequence.js';

/** Which of the two completion APIs is spoken. */
export type AnswerKind = 'chat' | 'text';

type Shape = {
	readonly idPrefix: string;
	readonly chunkObject: string;
	readonly wholeObject: string;
	/** What a stream's first chunk holds, if it has one of its own. */
	readonly first?: object;
	readonly last: object;
	readonly part: (text: string) => object;
	readonly whole: (text: string) => object;
};

const shapes: Readonly<Record<AnswerKind, Shape>> = {
	chat: {
		idPrefix: 'chatcmpl-',
		chunkObject: 'chat.completion.chunk',
		wholeObject: 'chat.completion',
		first: {delta: {role: 'assistant', content: ''}},
		last: {delta: {}},
		part: text => ({delta: {content: text}}),
		whole: text => ({message: {role: 'assistant', content: text, refusal: null}}),
	},
	text: {
		idPrefix: 'cmpl-',
		chunkObject: 'text_completion',
		wholeObject: 'text_completion',
		last: {text: ''},
		part: text => ({text}),
		whole: text => ({text}),
	},
};

/** The answer to one request. */
export class AnswerWriter implements SequenceOutput {
	readonly #exchange: Exchange;
	readonly #request: EngineRequest;
	readonly #shape: Shape;
	readonly #created = Math.floor(Date.now() / 1000);
	#isStarted = false;
	#isEnded = false;
	#chunks = '';
	#text = '';

	constructor(exchange: Exchange, request: EngineRequest, kind: AnswerKind) {
		this.#exchange = exchange;
		this.#request = request;
		this.#shape = shapes[kind];
	}

	token(text: string): void {
		if (this.#request.stream) {
			this.#start();
			this.#chunk([this.#choice(this.#shape.part(text), null)]);
		} else {
			this.#text += text;
		}
	}

	end(reason: EndReason, tokens: number, cachedTokens: number): void {
		const usage = this.#usage(tokens, cachedTokens);
		if (this.#request.stream) {
			this.#endStream(reason, usage);
		} else {
			this.#exchange.send(200, {...this.#head(this.#shape.wholeObject), choices: [this.#choice(this.#shape.whole(this.#text), reason)], usage});
		}
	}

	flush(): void {
		if (this.#chunks !== '') {
			this.#exchange.write(this.#chunks);
			this.#chunks = '';
		}

		if (this.#isEnded) {
			this.#isEnded = false;
			this.#exchange.end();
		}
	}

	#start(): void {
		if (this.#isStarted) {
			return;
		}

		this.#isStarted = true;
		this.#exchange.startStream('text/event-stream');
		if (this.#shape.first) {
			this.#chunk([this.#choice(this.#shape.first, null)]);
		}
	}

	#endStream(reason: EndReason, usage: object): void {
		this.#start();
		this.#chunk([this.#choice(this.#shape.last, reason)]);
		if (this.#request.includeUsage) {
			this.#chunk([], usage);
		}

		this.#chunks += 'data: [DONE]\n\n';
		this.#isEnded = true;
	}

	#chunk(choices: readonly object[], usage?: object): void {
		this.#chunks += `data: ${JSON.stringify({...this.#head(this.#shape.chunkObject), choices, usage})}\n\n`;
	}

	#head(object: string): object {
		return {
			id: `${this.#shape.idPrefix}${this.#request.requestId}`, object, created: this.#created, model: this.#request.model,
		};
	}

	#choice(content: object, reason: EndReason | null): object {
		return {
			index: 0, ...content, logprobs: null, finish_reason: reason,
		};
	}

	#usage(tokens: number, cachedTokens: number): object {
		return {
			prompt_tokens: this.#request.promptTokens,
			completion_tokens: tokens,
			total_tokens: this.#request.promptTokens + tokens,
			prompt_tokens_details: {cached_tokens: Math.min(cachedTokens, this.#request.promptTokens)},
		};
	}
}
