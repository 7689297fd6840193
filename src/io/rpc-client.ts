/**
JSON-RPC 2.0 calls between citronyard's own processes, over HTTP POST to `/rpc`.
*/
import {
	JSONRPCClient, type JSONRPCParams, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
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

/** One call under way. The library turns a failed sending into an error of its own, so the failure is kept here. */
type Call = {readonly target: RpcTarget; failure?: HttpFailure};

/** Calls methods of other processes. */
export class RpcClient {
	readonly #http: HttpClient;
	readonly #client: JSONRPCClient<Call>;

	constructor(http: HttpClient) {
		this.#http = http;
		this.#client = new JSONRPCClient<Call>(async (payload, call) => {
			const answer = await this.#post(payload as JSONRPCRequest, call.target);
			answer
				.ifRight(received => {
					this.#client.receive(received);
				})
				.ifLeft(failure => {
					call.failure = failure;
					throw new Error(failure.reason);
				});
		});
	}

	/**
	Calls a method.

	@returns Its result, or why there is none. Never rejects.
	*/
	async call<T>(target: RpcTarget, method: string, params: JSONRPCParams): Promise<Either<RpcFailure, T>> {
		const call: Call = {target};
		try {
			return Right(await this.#client.request(method, params, call) as T);
		} catch (err) {
			return Left(call.failure ?? {kind: 'rejected', reason: (err as Error).message});
		}
	}

	async #post(payload: JSONRPCRequest, target: RpcTarget): Promise<Either<HttpFailure, JSONRPCResponse>> {
		const sent = await this.#http.send({
			...target, method: 'POST', path: '/rpc', headers: {'content-type': 'application/json'}, body: JSON.stringify(payload), wholeMs: 2 * target.timeoutMs,
		});
		if (sent.isLeft()) {
			const failure = sent.extract();
			if (failure.kind === 'silent') {
				// The connection may be silent for good; later calls need another.
				this.#http.renew(target.address);
			}

			return Left(failure);
		}

		return this.#read(sent.extract() as HttpResponse, payload);
	}

	// After a VM was replaced, its address may answer with anything, JSON included. An answer without the call's id would leave the call open for ever, and whoever waits for it with it.
	async #read(res: HttpResponse, {id}: JSONRPCRequest): Promise<Either<HttpFailure, JSONRPCResponse>> {
		const answer = await this.#parse(res);
		return res.status === 200 && answer && answer.id === id
			? Right(answer)
			: Left({kind: 'lost', reason: `status ${res.status} without an answer to the call`});
	}

	async #parse(res: HttpResponse): Promise<JSONRPCResponse | undefined> {
		try {
			return await res.body.json() as JSONRPCResponse | undefined;
		} catch {
			return undefined;
		}
	}
}
