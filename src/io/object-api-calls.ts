/**
Single calls of an object API over HTTP, whatever its paths and fields: one place that decides what a missing answer means. A read that failed is `unavailable`; a change whose answer did not come may have taken effect, and only a connection that was never made excludes it.
*/
import {Left, type Either} from 'purify-ts/Either';
import type {ApiError} from '../common/types.js';
import type {HttpClient, HttpFailure} from './http-client.js';

/** Where the object API is and how long to wait for it. */
export type ObjectApiOptions = {
	/** `ip:port`. */
	readonly address: string;
	/** Milliseconds for one call; a watch may take its own waiting time on top. */
	readonly timeoutMs: number;
};

/** One call. */
export type ObjectApiCall = {
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
	/** Milliseconds that the other end may hold the call on purpose. */
	readonly waitMs?: number;
	/** Whether it may change anything. */
	readonly isChange: boolean;
	/** True takes a connection of its own. */
	readonly isFresh?: boolean;
};

/** A whole answer, or none that could be read. */
export type ObjectApiAnswer = {readonly status: number; readonly text: string};

/**
Whether an error of the call's kind may stand for a change that took effect.

@returns The error that says so, or that the read failed.
*/
export const failureOf = ({isChange}: Pick<ObjectApiCall, 'isChange'>, failure: HttpFailure): ApiError => isChange && failure.kind !== 'notSent'
	? {kind: 'unknown', reason: failure.reason}
	: {kind: 'unavailable', reason: failure.reason};

/** Makes calls over kept connections. */
export class ObjectApiCalls {
	readonly #client: HttpClient;
	readonly #options: ObjectApiOptions;

	constructor(client: HttpClient, options: ObjectApiOptions) {
		this.#client = client;
		this.#options = options;
	}

	/**
	@param interpret - Reads an answer; it may throw where the text is not what it should be.
	@returns What it made of the answer, or why there is none. Never rejects.
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
			wholeMs: headLimitMs + timeoutMs,
		});
		if (sent.isLeft()) {
			// A silent connection is not used again: the next call must be able to succeed.
			this.#client.renew(address);
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
