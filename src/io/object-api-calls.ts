/**
Makes single calls to an object API over HTTP, independently of its paths and fields, and classifies failed calls. A failed read is `unavailable`. A change without a response is `unknown`, since it may have taken effect, unless the request was never sent.
*/
import {Left, type Either} from 'purify-ts/Either';
import type {ApiError} from '../common/types.js';
import type {HttpClient, HttpFailure} from './http-client.js';

/** Address and time limit of the object API. */
export type ObjectApiOptions = {
	/** `ip:port`. */
	readonly address: string;
	/** Time limit in milliseconds for the head of a response; the wait time of a watch is added. */
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

/** Makes calls over pooled keep-alive connections. */
export class ObjectApiCalls {
	readonly #client: HttpClient;
	readonly #options: ObjectApiOptions;

	constructor(client: HttpClient, options: ObjectApiOptions) {
		this.#client = client;
		this.#options = options;
	}

	/**
	@param interpret - Converts a response to a result; it may throw if the response is malformed.
	@returns The result of `interpret`, or the failure. Never rejects.
	*/
	async call<T>(call: ObjectApiCall, interpret: (answer: ObjectApiAnswer) => Either<ApiError, T>): Promise<Either<ApiError, T>> {
		const {address, timeoutMs} = this.#options;
		const headLimitMs = timeoutMs + (call.waitMs ?? 0);
		const sent = await this.#client.send({
			address,
			method: call.method,
			path: call.path,
			headers: {'content-type': 'application/json', ...call.headers},
			body: call.body,
			fresh: call.isFresh,
			timeoutMs: headLimitMs,
			responseTimeoutMs: headLimitMs + timeoutMs,
		});
		if (sent.isLeft()) {
			// An unresponsive connection is not reused, so that the next call can succeed.
			this.#client.discardPool(address);
			return Left(failureOf(call, sent.extract()));
		}

		const res = sent.unsafeCoerce();
		try {
			return interpret({status: res.status, text: await res.body.text()});
		} catch (err) {
			return Left(failureOf(call, {kind: 'lost', reason: String(err)}));
		}
	}
}
