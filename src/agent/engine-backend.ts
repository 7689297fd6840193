/**
The model engine beside this agent, over its OpenAI-compatible API. Answers are always streamed, so that they can be cancelled and taken up elsewhere.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {EventSourceMessage} from 'eventsource-parser';
import {parseObject} from '../common/parse-object.js';
import type {GenerateWork} from '../common/protocol.js';
import type {HttpClient, HttpFailure, HttpResponse} from '../platform/http-client.js';
import {followEvents} from '../platform/sse-reader.js';
import type {Backend, BackendFailure, BackendRequest} from './backend.js';
import {EngineModels} from './engine-models.js';
import type {ModelControl} from './model-control.js';
import {failureBeforeResponse, failureInResponse} from './backend-failures.js';

const headTimeoutMs = 600_000;
const probeTimeoutMs = 1000;
const doneMarker = '[DONE]';
const lineBreak = /[\r\n]/v;

// An answer with a chunk that can not be read has a gap; passed on, it would be taken for whole. An engine tells of an error after the head of the stream in an event of its own.
const chunkOf = (data: string): Either<string, string> => parseObject<{readonly error?: unknown}>(data)
	.chain(chunk => chunk.error ? Left('error event') : Right(lineBreak.test(data) ? JSON.stringify(chunk) : data));

/** Generates answers on the engine at one address. */
export class EngineBackend implements Backend {
	readonly models: ModelControl;
	readonly #http: HttpClient;
	readonly #address: string;

	/** @param address - The engine's `ip:port`. */
	constructor(http: HttpClient, address: string) {
		this.#http = http;
		this.#address = address;
		this.models = new EngineModels(http, address);
	}

	async run(req: BackendRequest): Promise<Either<BackendFailure, void>> {
		const work = req.work as GenerateWork;
		const body = {
			...work.body, stream: true, stream_options: {include_usage: true}, request_id: req.key, resume: work.resume,
		};
		const sent = await this.#http.send({
			address: this.#address,
			method: 'POST',
			path: work.path,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			timeoutMs: headTimeoutMs,
			signal: req.signal,
		});
		return sent.isLeft()
			? Left(failureBeforeResponse(sent.extract(), req))
			: this.#follow(sent.extract() as HttpResponse, req);
	}

	async serves(): Promise<readonly string[]> {
		const sent = await this.#http.send({
			address: this.#address, method: 'GET', path: '/v1/models', timeoutMs: probeTimeoutMs, signal: AbortSignal.timeout(2 * probeTimeoutMs),
		});
		if (sent.isLeft()) {
			return [];
		}

		try {
			const list = await (sent.extract() as HttpResponse).body.json() as {data?: Array<{id: string}>};
			return list.data?.map(model => `model:${model.id}`) ?? [];
		} catch {
			return [];
		}
	}

	async #follow(res: HttpResponse, req: BackendRequest): Promise<Either<BackendFailure, void>> {
		if (res.status !== 200) {
			const text = await res.body.text().catch(() => '');
			return Left(res.status >= 500
				? {kind: 'lost', reason: `status ${res.status}`}
				: {kind: 'rejected', status: res.status, body: text});
		}

		let done = false;
		const end = await followEvents(res.body, 0, (event: EventSourceMessage) => {
			done ||= event.data === doneMarker;
			return done || chunkOf(event.data).ifRight(req.onChunk).isRight();
		});
		return done ? Right(undefined) : Left(failureInResponse(`stream ${end} before its end marker`, req));
	}
}
