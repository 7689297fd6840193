/**
The models of the engine beside this agent: what is loaded, and orders to load and unload.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ModelOrder, PlacedModel} from '../common/placement.js';
import type {HttpClient, HttpResponse} from '../io/http-client.js';
import type {ModelControl, OrderFailure} from './model-control.js';

type ListedModel = {readonly id: string; readonly version?: string; readonly adapter?: string};

const listTimeoutMs = 1000;
/** Large weights take minutes. */
const orderTimeoutMs = 1_800_000;
const msPerSecond = 1000;

/** Speaks to the engine at one address. */
export class EngineModels implements ModelControl {
	readonly #http: HttpClient;
	readonly #address: string;

	/** @param address - The engine's `ip:port`. */
	constructor(http: HttpClient, address: string) {
		this.#http = http;
		this.#address = address;
	}

	async loaded(): Promise<readonly PlacedModel[] | undefined> {
		const sent = await this.#http.send({
			address: this.#address, method: 'GET', path: '/v1/models', timeoutMs: listTimeoutMs, responseTimeoutMs: 2 * listTimeoutMs,
		});
		if (sent.isLeft()) {
			return undefined;
		}

		try {
			const {data} = await (sent.extract() as HttpResponse).body.json() as {data?: readonly ListedModel[]};
			return data?.map(({id, version = '', adapter}) => ({model: id, version, ...(adapter !== undefined && {adapter})}));
		} catch {
			return undefined;
		}
	}

	async order(order: ModelOrder, fence: number, signal: AbortSignal): Promise<Either<OrderFailure, void>> {
		const sent = await this.#http.send({
			address: this.#address,
			method: 'POST',
			path: '/v1/orders',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({...order, fence}),
			timeoutMs: orderTimeoutMs,
			signal,
		});
		return sent.isLeft() ? Left({reason: sent.extract().reason}) : this.#outcome(sent.extract() as HttpResponse);
	}

	async #outcome(res: HttpResponse): Promise<Either<OrderFailure, void>> {
		const text = await res.body.text().catch(() => '');
		if (res.status < 300) {
			return Right(undefined);
		}

		const seconds = Number(res.headers['retry-after']);
		return Left({reason: `status ${res.status} ${text.slice(0, 200)}`, ...(seconds > 0 && {retryAfterMs: seconds * msPerSecond})});
	}
}
