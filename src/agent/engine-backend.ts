/**
The model engine beside this agent, over its OpenAI-compatible API. Answers are always streamed, so that they can be cancelled and taken up elsewhere.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {EventSourceMessage} from 'eventsource-parser';
import type {AnswerChunk} from '../common/answer-assembler.js';
import {requestedChoices, FinishedChoices} from '../common/finished-choices.js';
import {parseObject} from '../common/parse-object.js';
import type {GenerateWork} from '../common/protocol.js';
import type {HttpClient, HttpFailure, HttpResponse} from '../io/http-client.js';
import {followEvents} from '../io/sse-reader.js';
import type {
	Backend, BackendFailure, BackendRequest, ServesFailure,
} from './backend.js';
import {EngineModels} from './engine-models.js';
import type {ModelControl} from './model-control.js';
import {failureBeforeResponse, failureInResponse} from './backend-failures.js';
import {SilenceWatch, type EngineState} from './silence-watch.js';

const headTimeoutMs = 600_000;
const probeTimeoutMs = 1000;
const defaultSilenceMs = 5000;
const tooManyRequests = 429;
const isRequestsFault = (status: number) => status >= 400 && status < 500;
/** When to come back to a full engine that does not say. */
const fullRetryAfterMs = 1000;
const servesFailures: Readonly<Record<HttpFailure['kind'], ServesFailure['kind']>> = {
	notSent: 'unreachable', lost: 'lost', silent: 'silent', aborted: 'silent',
};
const doneMarker = '[DONE]';
const lineBreak = /[\r\n]/v;

/** A chunk, and its text on one line. */
type EngineChunk = {readonly chunk: AnswerChunk; readonly data: string};

const isObject = (value: unknown) => typeof value === 'object' && value !== null;
const areChoices = (choices: unknown) => Array.isArray(choices ?? []) && ((choices ?? []) as unknown[]).every(choice => isObject(choice));

// An answer with a chunk that can not be read has a gap; passed on, it would be taken for whole. An engine tells of an error after the head of the stream in an event of its own.
const chunkOf = (data: string): Either<string, EngineChunk> => parseObject<AnswerChunk & {readonly error?: unknown}>(data)
	.chain(chunk => areChoices(chunk.choices) ? Right(chunk) : Left('choices of another kind'))
	.chain(chunk => chunk.error ? Left('error event') : Right({chunk, data: lineBreak.test(data) ? JSON.stringify(chunk) : data}));

/** Generates answers on the engine at one address. */
export class EngineBackend implements Backend {
	readonly models: ModelControl;
	readonly #http: HttpClient;
	readonly #address: string;
	readonly #watch: SilenceWatch;

	/**
	@param address - The engine's `ip:port`.
	@param silenceMs - The shortest quiet of a run, in milliseconds, after which its connection is looked into; see {@link SilenceWatch}.
	*/
	constructor(http: HttpClient, address: string, silenceMs = defaultSilenceMs) {
		this.#http = http;
		this.#address = address;
		this.models = new EngineModels(http, address);
		this.#watch = new SilenceWatch({silenceMs, probe: async () => this.#probe()});
	}

	async run(req: BackendRequest): Promise<Either<BackendFailure, void>> {
		return this.#watch.during(async (run, silent) => {
			const onChunk = (data: string) => {
				run.heard();
				req.onChunk(data);
			};

			const ended = await this.#run({...req, onChunk}, AbortSignal.any([req.signal, silent]));
			if (silent.aborted) {
				this.#abandon(req);
			}

			return ended;
		});
	}

	// An engine may close a kept connection just as the question goes out. Without a second question, on a connection of its own, all callers would be refused until the next poll.
	async serves(): Promise<Either<ServesFailure, readonly string[]>> {
		const first = await this.#askServes({isFresh: false});
		return first.isLeft() && first.extract().kind === 'lost' ? this.#askServes({isFresh: true}) : first;
	}

	async #run(req: BackendRequest, signal: AbortSignal): Promise<Either<BackendFailure, void>> {
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
			signal,
		});
		return sent.isLeft()
			? Left(failureBeforeResponse(sent.extract(), req))
			: this.#follow(sent.extract() as HttpResponse, req);
	}

	// An engine that is full has not judged the request, and has not run it. Only an error that names the request as its cause is the engine's last word on it: any other status without an answer, a success included, says nothing that a caller could be given.
	#failureOf({status, headers}: HttpResponse, body: string): BackendFailure {
		if (status === tooManyRequests) {
			const retryAfterMs = Number(headers['retry-after']) * 1000;
			return {kind: 'full', retryAfterMs: retryAfterMs > 0 ? retryAfterMs : fullRetryAfterMs};
		}

		return isRequestsFault(status) ? {kind: 'rejected', status, body} : {kind: 'lost', reason: `status ${status}`};
	}

	// The pool's other connections are likely to be silent, too, and the engine may still generate what nobody can read.
	#abandon({key}: BackendRequest) {
		this.#http.discardPool(this.#address);
		void this.#http.send({
			address: this.#address,
			method: 'POST',
			path: '/v1/cancel',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({request_id: key}),
			timeoutMs: probeTimeoutMs,
			fresh: true,
		}).then(sent => sent.map(async res => res.body.dump().catch(() => undefined)));
	}

	async #askServes({isFresh}: {isFresh: boolean}): Promise<Either<ServesFailure, readonly string[]>> {
		const sent = await this.#http.send({
			address: this.#address, method: 'GET', path: '/v1/models', timeoutMs: probeTimeoutMs, responseTimeoutMs: 2 * probeTimeoutMs, fresh: isFresh,
		});
		if (sent.isLeft()) {
			const {kind, reason} = sent.extract();
			return Left({kind: servesFailures[kind], reason});
		}

		try {
			const list = await (sent.extract() as HttpResponse).body.json() as {data?: Array<{id: string}>};
			return Right(list.data?.map(model => `model:${model.id}`) ?? []);
		} catch (err) {
			return Left({kind: 'lost', reason: String(err)});
		}
	}

	async #probe(): Promise<EngineState | undefined> {
		const sent = await this.#http.send({
			address: this.#address, method: 'GET', path: '/v1/load', timeoutMs: probeTimeoutMs, responseTimeoutMs: 2 * probeTimeoutMs, fresh: true,
		});
		if (sent.isLeft()) {
			return undefined;
		}

		const text = await (sent.extract() as HttpResponse).body.text().catch(() => '');
		const state = parseObject<EngineState>(text).toMaybe().extract();
		return Number.isFinite(state?.running) && Number.isFinite(state?.waiting) ? state : undefined;
	}

	async #follow(res: HttpResponse, req: BackendRequest): Promise<Either<BackendFailure, void>> {
		if (res.status !== 200) {
			const body = await res.body.text().catch(() => '');
			return Left(this.#failureOf(res, body));
		}

		let done = false;
		const finished = new FinishedChoices(requestedChoices((req.work as GenerateWork).body));
		const take = ({chunk, data}: EngineChunk) => {
			finished.add(chunk);
			req.onChunk(data);
		};

		const end = await followEvents(res.body, 0, (event: EventSourceMessage) => {
			done ||= event.data === doneMarker;
			return done || chunkOf(event.data).ifRight(take).isRight();
		});
		const missing = done ? 'a choice has no reason to finish' : `stream ${end} before its end marker`;
		return done && finished.isComplete ? Right(undefined) : Left(failureInResponse(missing, req));
	}
}
