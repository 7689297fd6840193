/**
JSON-RPC 2.0 calls between citronyard's own processes, over HTTP POST to `/rpc`.
*/
import {JSONRPCClient, type JSONRPCParams, type JSONRPCResponse} from 'json-rpc-2.0';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {HttpClient, HttpFailure, HttpResponse} from './http-client.js';

/** Where a call goes and how long it may take. */
export type RpcTarget = {
	/** `ip:port`. */
	readonly address: string;
	readonly timeoutMs: number;
	/** See {@link HttpRequest.fresh}. */
	readonly fresh?: boolean;
};

/** Why a call has no result. `rejected` is the other end's own answer. */
export type RpcFailure = HttpFailure | {readonly kind: 'rejected'; readonly reason: string};

class HttpFailureError extends Error {
	readonly failure: HttpFailure;

	constructor(failure: HttpFailure) {
		super(failure.reason);
		this.failure = failure;
	}
}

/** Calls methods of other processes. */
export class RpcClient {
	readonly #http: HttpClient;
	readonly #client: JSONRPCClient<RpcTarget>;

	constructor(http: HttpClient) {
		this.#http = http;
		this.#client = new JSONRPCClient<RpcTarget>(async (payload, target) => {
			this.#client.receive(await this.#post(JSON.stringify(payload), target));
		});
	}

	/**
	Calls a method.

	@returns Its result, or why there is none. Never rejects.
	*/
	async call<T>(target: RpcTarget, method: string, params: JSONRPCParams): Promise<Either<RpcFailure, T>> {
		try {
			return Right(await this.#client.request(method, params, target) as T);
		} catch (err) {
			return Left(err instanceof HttpFailureError ? err.failure : {kind: 'rejected', reason: (err as Error).message});
		}
	}

	async #post(body: string, target: RpcTarget): Promise<JSONRPCResponse> {
		const sent = await this.#http.send({
			...target, method: 'POST', path: '/rpc', headers: {'content-type': 'application/json'}, body, signal: AbortSignal.timeout(2 * target.timeoutMs),
		});
		if (sent.isLeft()) {
			const failure = sent.extract();
			if (failure.kind === 'silent') {
				// The connection may be silent for good; later calls need another.
				this.#http.renew(target.address);
			}

			throw new HttpFailureError(failure);
		}

		try {
			return await (sent.extract() as HttpResponse).body.json() as JSONRPCResponse;
		} catch (err) {
			throw new HttpFailureError({kind: 'lost', reason: String(err)});
		}
	}
}
