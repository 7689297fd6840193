/**
Makes single calls to an object API over HTTP, independently of its paths and fields, and classifies failed calls. A failed read is `unavailable`. A change without a response is `unknown`, since it may have taken effect, unless the request was never sent.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ApiError} from '../common/types.js';
import {AnswerTimeLimit} from './answer-time-limit.js';
import type {HttpClient, HttpFailure, HttpResponse} from './http-client.js';
import {withinLimit} from './time-limit.js';

/** Address and time limit of the object API. */
export type ObjectApiOptions = {
	/** `ip:port`. */
	readonly address: string;
	/** Time limit in milliseconds for the head of a response while none comes late; the wait time of a watch is added. */
	readonly timeoutMs: number;
};

/** A call of the object API. */
export type ObjectApiCall = {
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
	/** Milliseconds for which the server may hold a long poll. */
	readonly waitMs?: number;
	/** Whether the call may modify an object. */
	readonly isChange: boolean;
	/** Opens a new connection for this call only. */
	readonly isFresh?: boolean;
};

/** A complete response. */
export type ObjectApiAnswer = {readonly status: number; readonly text: string};

/**
Maps a failure of the HTTP client to an API error.

@returns `unknown` for a change that may have taken effect, otherwise `unavailable`.
*/
export const failureOf = ({isChange}: Pick<ObjectApiCall, 'isChange'>, failure: HttpFailure): ApiError => isChange && failure.kind !== 'notSent'
	? {kind: 'unknown', reason: failure.reason}
	: {kind: 'unavailable', reason: failure.reason};

/** The longest time limit of a call, in milliseconds, that late answers can bring about. */
const longestLimitMs = 5000;

const readText = async (res: HttpResponse): Promise<Either<HttpFailure, string>> => {
	try {
		return Right(await res.body.text());
	} catch (err) {
		return Left({kind: 'lost', reason: String(err)});
	}
};

const isCompleted = async (sent: Promise<Either<HttpFailure, HttpResponse>>): Promise<boolean> => {
	const head = await sent;
	if (head.isLeft()) {
		return false;
	}

	const text = await readText(head.unsafeCoerce());
	return text.isRight();
};

/** Makes calls over pooled keep-alive connections. Their time limit follows the answers; see {@link AnswerTimeLimit}. */
export class ObjectApiCalls {
	readonly #client: HttpClient;
	readonly #options: ObjectApiOptions;
	readonly #limit: AnswerTimeLimit;
	/** Whether a call that has missed its limit is still waited for. One is enough to learn from, and more would be served in vain. */
	#awaitsLateAnswer = false;

	constructor(client: HttpClient, options: ObjectApiOptions) {
		this.#client = client;
		this.#options = options;
		this.#limit = new AnswerTimeLimit({usualMs: options.timeoutMs, longestMs: longestLimitMs});
	}

	/**
	@param interpret - Converts a response to a result; it may throw if the response is malformed.
	@returns The result of `interpret`, or the failure. Never rejects.
	*/
	async call<T>(call: ObjectApiCall, interpret: (answer: ObjectApiAnswer) => Either<ApiError, T>): Promise<Either<ApiError, T>> {
		const answered = await this.#exchange(call);
		if (answered.isLeft()) {
			// An unresponsive connection is not reused, so that the next call can succeed.
			this.#client.discardPool(this.#options.address);
			return Left(failureOf(call, answered.extract()));
		}

		try {
			return interpret(answered.unsafeCoerce());
		} catch (err) {
			return Left(failureOf(call, {kind: 'lost', reason: String(err)}));
		}
	}

	/** The head must come within the limit, and the rest of the answer within the limit once more. */
	async #exchange(call: ObjectApiCall): Promise<Either<HttpFailure, ObjectApiAnswer>> {
		const {waitMs = 0} = call;
		const limitMs = this.#limit.ms;
		const startedAt = performance.now();
		const controller = new AbortController();
		const head = this.#send(call, controller.signal);
		const sent = await withinLimit(waitMs + limitMs, head);
		if (!sent) {
			void this.#learnFromLate(isCompleted(head), limitMs, controller);
			return Left({kind: 'silent', reason: `no answer within ${waitMs + limitMs} ms`});
		}

		if (sent.isLeft()) {
			return Left(sent.extract());
		}

		const res = sent.unsafeCoerce();
		const body = readText(res);
		const text = await withinLimit(limitMs, body);
		if (!text) {
			void this.#learnFromLate(body.then(late => late.isRight()), limitMs, controller);
			return Left({kind: 'silent', reason: `the answer is incomplete after ${limitMs} ms`});
		}

		this.#limit.noteInTime(Math.max(0, performance.now() - startedAt - waitMs));
		return text.map(complete => ({status: res.status, text: complete}));
	}

	async #send(call: ObjectApiCall, signal: AbortSignal): Promise<Either<HttpFailure, HttpResponse>> {
		const {waitMs = 0} = call;
		return this.#client.send({
			address: this.#options.address,
			method: call.method,
			path: call.path,
			headers: {'content-type': 'application/json', ...call.headers},
			body: call.body,
			fresh: call.isFresh,
			signal,
			timeoutMs: waitMs + longestLimitMs,
			responseTimeoutMs: waitMs + (2 * longestLimitMs),
		});
	}

	/** @param hasAnswered - Resolves with whether a complete answer has come in the end. */
	async #learnFromLate(hasAnswered: Promise<boolean>, limitMs: number, controller: AbortController) {
		if (this.#awaitsLateAnswer) {
			controller.abort();
			return;
		}

		this.#awaitsLateAnswer = true;
		if (await hasAnswered) {
			this.#limit.noteLate(limitMs);
		}

		this.#awaitsLateAnswer = false;
	}
}
