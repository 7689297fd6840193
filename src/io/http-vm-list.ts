/**
Reads the VM list of the platform over HTTP.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {
	isNonEmptyString, listOf, objectOf, oneOf,
} from '../common/field-validators.js';
import type {VmList} from '../common/services.js';
import type {ApiError, VmEntry} from '../common/types.js';
import type {HttpClient, HttpFailure, HttpResponse} from './http-client.js';

const areVms = listOf(objectOf({
	name: isNonEmptyString, role: oneOf('entry', 'backend'), address: isNonEmptyString, failureDomain: isNonEmptyString, state: oneOf('live', 'leaving'),
}));

/** See {@link VmList}. */
export class HttpVmList implements VmList {
	readonly #client: HttpClient;
	readonly #address: string;
	readonly #timeoutMs: number;

	/**
	@param address - `ip:port` of the VM list.
	@param timeoutMs - Time limit in milliseconds for the head of one response; the complete response may take twice as long.
	*/
	constructor(client: HttpClient, address: string, timeoutMs: number) {
		this.#client = client;
		this.#address = address;
		this.#timeoutMs = timeoutMs;
	}

	async read(): Promise<Either<ApiError, readonly VmEntry[]>> {
		const sent = await this.#client.send({
			address: this.#address, method: 'GET', path: '/v1/vms', timeoutMs: this.#timeoutMs, responseTimeoutMs: 2 * this.#timeoutMs,
		});
		if (sent.isLeft()) {
			this.#client.discardPool(this.#address);
			return Left({kind: 'unavailable', reason: (sent.extract()).reason});
		}

		return this.#parse(sent.extract() as HttpResponse);
	}

	async #parse(res: HttpResponse): Promise<Either<ApiError, readonly VmEntry[]>> {
		try {
			const body = await res.body.json() as {vms?: VmEntry[]} | undefined;
			// A list with a malformed row is rejected completely, and the previous list remains in use: if only the row were dropped, its VM would count as leaving and lose its work.
			return res.status === 200 && areVms(body?.vms)
				? Right(body!.vms!)
				: Left({kind: 'unavailable', reason: `status ${res.status}, or a malformed list`});
		} catch (err) {
			return Left({kind: 'unavailable', reason: String(err)});
		}
	}
}
