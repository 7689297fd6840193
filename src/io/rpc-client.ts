/**
JSON-RPC 2.0 client for calls between processes of the fleet, over HTTP POST to `/rpc`.
*/
import {Buffer} from 'node:buffer';
import {
	JSONRPCClient, type JSONRPCParams, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {HttpClient, HttpFailure, HttpResponse} from './http-client.js';

/** Destination and time limit of a call. */
export type RpcTarget = {
	/** `ip:port`. */
	readonly address: string;
	readonly timeoutMs: number;
	/** See {@link HttpRequest.fresh}. */
	readonly fresh?: boolean;
};

/** Why a call has no result. `rejected`: the callee returned an error. */
export type RpcFailure = HttpFailure | {readonly kind: 'rejected'; readonly reason: string};

/** Called with the method, the address and the size of each request and of each answer whose size is stated. */
export type TransferListener = (method: string, address: string, bytes: number) => void;

/** A call in progress. The library replaces a send failure by its own error, so the original failure is stored here. */
type Call = {readonly target: RpcTarget; failure?: HttpFailure};

/** Calls methods of other processes over JSON-RPC. */
export class RpcClient {
	readonly #http: HttpClient;
	readonly #onTransfer: TransferListener;
	readonly #client: JSONRPCClient<Call>;

	constructor(http: HttpClient, onTransfer: TransferListener = () => undefined) {
		this.#http = http;
		this.#onTransfer = onTransfer;
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

	@returns The result, or the failure. Never rejects.
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
		const body = JSON.stringify(payload);
		this.#onTransfer(payload.method, target.address, Buffer.byteLength(body));
		const sent = await this.#http.send({
			...target, method: 'POST', path: '/rpc', headers: {'content-type': 'application/json'}, body, responseTimeoutMs: 2 * target.timeoutMs,
		});
		if (sent.isLeft()) {
			const failure = sent.extract();
			if (failure.kind === 'silent') {
				// The connection may be permanently unresponsive, so later calls must use another one.
				this.#http.discardPool(target.address);
			}

			return Left(failure);
		}

		const res = sent.extract() as HttpResponse;
		this.#onTransfer(payload.method, target.address, Number(res.headers['content-length'] ?? 0));
		return this.#read(res, payload);
	}

	// After a VM was replaced, an unrelated server may respond at its address, even with JSON. Passing on a response without the id of the call would leave the call and its caller pending forever.
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
