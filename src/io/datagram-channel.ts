/**
Exchanges JSON-RPC 2.0 notifications between processes of the fleet over UDP, one per datagram. There is no connection that could become unresponsive, and a lost datagram is superseded by the next one. It is therefore suitable only for state that is sent repeatedly.
*/
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {createJSONRPCNotification, isJSONRPCRequest} from 'json-rpc-2.0';
import type {Either} from 'purify-ts/Either';
import {messageValidators} from '../common/message-validators.js';
import {parseObject} from '../common/parse-object.js';
import type {Disposable} from '../common/services.js';
import {formatAddress, parseAddress, type Address} from './address.js';
import {bindAddress, type AddressAwaited} from './bind-address.js';
import type {StartError} from './program.js';

/** Called with the method, the address and the size of each datagram that is sent. */
export type SentListener = (method: string, address: string, bytes: number) => void;

/** Handles the parameters of a notification after their validation. */
export type NotificationHandler = (params: never) => void;

/** Close to the largest payload that UDP carries. The network layer fragments large datagrams, and one lost fragment loses the complete datagram. */
const maxDatagramBytes = 65_000;

/** Sends and receives notifications. */
export class DatagramChannel implements Disposable {
	readonly #socket: Socket = createSocket('udp4');
	readonly #handlers: Readonly<Record<string, NotificationHandler>>;
	readonly #onSent: SentListener;
	#address = '';
	#rejectedCount = 0;

	/** @param handlers - Handlers by method name. */
	constructor(handlers: Readonly<Record<string, NotificationHandler>>, onSent: SentListener = () => undefined) {
		this.#handlers = handlers;
		this.#onSent = onSent;
		this.#socket.on('message', bytes => {
			this.#receive(bytes);
		});
	}

	/** The bound address as `ip:port`; empty before `listen`. */
	get address(): string {
		return this.#address;
	}

	/** Number of datagrams rejected: received ones that are not a valid notification of a known method, and outgoing ones above the size limit. */
	get refused(): number {
		return this.#rejectedCount;
	}

	/**
	Waits for an address that is not available yet.

	@param address - `ip:port`; port 0 selects any free port.
	*/
	async listen(address: string, onAwaited?: AddressAwaited): Promise<Either<StartError, string>> {
		return bindAddress(address, async target => this.#bind(target), onAwaited);
	}

	/** Sends a notification to each address, without confirmation of delivery. */
	send(addresses: readonly string[], method: string, params: Readonly<Record<string, unknown>>): void {
		if (addresses.length === 0) {
			return;
		}

		const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
		if (bytes.length > maxDatagramBytes) {
			this.#rejectedCount += 1;
			return;
		}

		addresses.forEach(address => {
			const target = parseAddress(address);
			// Sending to port 0 throws.
			if (target && target.port > 0) {
				this.#socket.send(bytes, target.port, target.host, () => undefined);
				this.#onSent(method, address, bytes.length);
			}
		});
	}

	dispose(): void {
		this.#socket.close();
	}

	async #bind({host, port}: Address): Promise<string> {
		return new Promise((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind({address: host, port}, () => {
				// Once bound, an error concerns a single datagram whose receiver is unreachable; the receiver is detected by its missing notifications.
				this.#socket.removeAllListeners('error');
				this.#socket.on('error', () => undefined);
				this.#address = formatAddress({host, port: this.#socket.address().port});
				resolve(this.#address);
			});
		});
	}

	#receive(bytes: Buffer) {
		// The library's check throws for what is no object.
		const message = parseObject<object>(bytes.toString('utf8')).toMaybe().extract();
		const method = message && isJSONRPCRequest(message) ? message.method : '';
		const params: unknown = message && isJSONRPCRequest(message) ? message.params : undefined;
		const handler = Object.hasOwn(this.#handlers, method) ? this.#handlers[method] : undefined;
		if (!handler || messageValidators[method]?.(params) !== true) {
			this.#rejectedCount += 1;
			return;
		}

		handler(params as never);
	}
}
