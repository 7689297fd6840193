/**
A client of the callers' API that tells a whole answer from a part of one, and keeps apart the ways in which an answer can be missing. It never repeats a request: the load and the checkers must see what a caller sees.
*/
import type {EventSourceMessage} from 'eventsource-parser';
import {parseObject} from '../common/parse-object.js';
import type {Disposable} from '../common/services.js';
import {HttpClient, type HttpFailure, type HttpResponse} from '../io/http-client.js';
import {followEvents} from '../io/sse-reader.js';

/** A generation, as a caller asks for it. */
export type GenerationCall = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
};

/** A call of a plain service. */
export type ServiceCall = {
	readonly service: string;
	readonly method: string;
	/** Path and query below the service. */
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

/**
What a caller got. `whole`: status 200 and the end of the answer. `error`: a status of its own. `cut`: status 200, then no end. `lost`: no response; `wasSent` is false when no byte of the request can have arrived.
*/
export type CallerAnswer
	= | {readonly kind: 'whole'; readonly text: string; readonly id: string}
		| {readonly kind: 'error'; readonly status: number; readonly run: string; readonly text: string; readonly id: string}
		| {readonly kind: 'cut'; readonly reason: string; readonly text: string; readonly id: string}
		| {readonly kind: 'lost'; readonly reason: string; readonly wasSent: boolean};

/** How to send. */
export type CallerOptions = {
	/** `ip:port` of an entry. */
	readonly address: string;
	readonly apiKey: string;
	/** Milliseconds after which the caller gives up. Default 60000. */
	readonly timeoutMs?: number;
	/** Called with each token of a stream as it arrives. */
	readonly onToken?: (text: string) => void;
};

type Chunk = {
	readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}; readonly finish_reason?: string | null}>;
	readonly error?: {readonly message: string};
};

type WholeAnswer = {readonly choices?: ReadonlyArray<{readonly message?: {readonly content?: string}}>};

const defaultTimeoutMs = 60_000;
const doneMarker = '[DONE]';

const headerOf = (res: HttpResponse, name: string) => res.headers[name]?.toString() ?? '';
const idOf = (res: HttpResponse) => headerOf(res, 'x-request-id');

/** Sends requests to entries over kept connections. */
export class Caller implements Disposable {
	readonly #http = new HttpClient();

	/** Asks for a generation. Never rejects. */
	async generate(call: GenerationCall, options: CallerOptions): Promise<CallerAnswer> {
		const body = JSON.stringify({
			model: call.model, messages: [{role: 'user', content: call.prompt}], max_tokens: call.maxTokens, stream: call.stream,
		});
		const sent = await this.#send(options, {method: 'POST', path: '/v1/chat/completions', body});
		return this.#read(sent, async res => call.stream ? this.#followStream(res, options) : this.#readWhole(res));
	}

	/** Calls a plain service. Never rejects. */
	async call(call: ServiceCall, options: CallerOptions): Promise<CallerAnswer> {
		const sent = await this.#send(options, {
			method: call.method, path: `/services/${call.service}${call.path}`, headers: call.headers, body: call.body,
		});
		return this.#read(sent, async res => ({kind: 'whole', text: await res.body.text(), id: idOf(res)}));
	}

	/** Sends any request of the callers' API and reads its JSON. */
	async request(method: string, path: string, options: CallerOptions, body?: unknown): Promise<CallerAnswer> {
		const sent = await this.#send(options, {method, path, body: body === undefined ? undefined : JSON.stringify(body)});
		return this.#read(sent, async res => ({kind: 'whole', text: await res.body.text(), id: idOf(res)}));
	}

	/** Uploads the lines of a batch job's input. */
	async upload(lines: readonly string[], options: CallerOptions): Promise<CallerAnswer> {
		const form = new FormData();
		form.set('purpose', 'batch');
		form.set('file', new Blob([lines.join('\n')]), 'items.jsonl');
		// The platform's own encoder of forms, so that none is written here.
		const encoded = new Response(form);
		const sent = await this.#send(options, {
			method: 'POST',
			path: '/v1/files',
			headers: {'content-type': encoded.headers.get('content-type') ?? ''},
			body: new Uint8Array(await encoded.arrayBuffer()),
		});
		return this.#read(sent, async res => ({kind: 'whole', text: await res.body.text(), id: idOf(res)}));
	}

	dispose(): void {
		this.#http.dispose();
	}

	async #send({address, apiKey, timeoutMs = defaultTimeoutMs}: CallerOptions, request: {method: string; path: string; headers?: Record<string, string>; body?: string | Uint8Array}) {
		return this.#http.send({
			...request,
			address,
			headers: {authorization: `Bearer ${apiKey}`, 'content-type': 'application/json', ...request.headers},
			timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
		});
	}

	async #read(sent: Awaited<ReturnType<HttpClient['send']>>, whole: (res: HttpResponse) => Promise<CallerAnswer>): Promise<CallerAnswer> {
		if (sent.isLeft()) {
			const {kind, reason}: HttpFailure = sent.extract();
			return {kind: 'lost', reason, wasSent: kind !== 'notSent'};
		}

		const res = sent.extract() as HttpResponse;
		try {
			return res.status < 300
				? await whole(res)
				: {
					kind: 'error', status: res.status, run: headerOf(res, 'x-citronyard-run'), text: await res.body.text(), id: idOf(res),
				};
		} catch (err) {
			return {
				kind: 'cut', reason: String(err), text: '', id: idOf(res),
			};
		}
	}

	async #readWhole(res: HttpResponse): Promise<CallerAnswer> {
		const answer = await res.body.json() as WholeAnswer;
		return {kind: 'whole', text: answer.choices?.[0]?.message?.content ?? '', id: idOf(res)};
	}

	async #followStream(res: HttpResponse, {onToken}: CallerOptions): Promise<CallerAnswer> {
		let text = '';
		let isDone = false;
		let hasFinish = false;
		let reason = '';
		const take = (chunk: Chunk) => {
			const token = chunk.choices?.[0]?.delta?.content ?? '';
			hasFinish ||= Boolean(chunk.choices?.[0]?.finish_reason);
			reason = chunk.error?.message ?? reason;
			text += token;
			if (token !== '') {
				onToken?.(token);
			}
		};

		const end = await followEvents(res.body, 0, ({data}: EventSourceMessage) => {
			if (data === doneMarker) {
				isDone = true;
				return true;
			}

			return parseObject<Chunk>(data).ifRight(take).isRight();
		});
		return isDone && hasFinish
			? {kind: 'whole', text, id: idOf(res)}
			: {
				kind: 'cut', reason: reason || `stream ${end}`, text, id: idOf(res),
			};
	}
}
