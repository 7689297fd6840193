/**
JSON-RPC 2.0 notifications between own processes, one a datagram. A datagram needs no connection, so none can go silent, and one that is lost is made good by the next: fit for state that is sent again and again, and for nothing else.
*/
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {createJSONRPCNotification, isJSONRPCRequest} from 'json-rpc-2.0';
import {Left, Right, type Either} from 'purify-ts/Either';
import {messageValidators} from '../common/message-validators.js';
import type {Disposable} from '../common/services.js';
import {formatAddress, parseAddress} from './address.js';
import {exitCodes} from './exit-codes.js';
import type {StartError} from './program.js';

/** Takes one notification's parameters, after their test. */
export type NotificationHandler = (params: never) => void;

/** A larger datagram would be cut by the network layer, and one lost piece loses all of it; the largest that UDP carries. */
const maxDatagramBytes = 65_000;

const parsed = (bytes: Buffer): unknown => {
	try {
		return JSON.parse(bytes.toString('utf8'));
	} catch {
		return undefined;
	}
};

/** Sends and receives notifications. */
export class DatagramChannel implements Disposable {
	readonly #socket: Socket = createSocket('udp4');
	readonly #handlers: Readonly<Record<string, NotificationHandler>>;
	#address = '';
	#refused = 0;

	/** @param handlers - By method. */
	constructor(handlers: Readonly<Record<string, NotificationHandler>>) {
		this.#handlers = handlers;
		this.#socket.on('message', bytes => {
			this.#receive(bytes);
		});
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		return this.#address;
	}

	/** Datagrams that were no notification of a known method. */
	get refused(): number {
		return this.#refused;
	}

	/** @param address - `ip:port`; port 0 takes any free port. */
	async listen(address: string): Promise<Either<StartError, string>> {
		const {host, port} = parseAddress(address) ?? {host: '', port: 0};
		return new Promise(resolve => {
			this.#socket.once('error', err => {
				resolve(Left({exitCode: exitCodes.unavailable, message: `can not listen on ${address}: ${err.message}`}));
			});
			this.#socket.bind({address: host, port}, () => {
				// From here on an error concerns one datagram: its receiver is gone, which the silence tells.
				this.#socket.removeAllListeners('error');
				this.#socket.on('error', () => undefined);
				this.#address = formatAddress({host, port: this.#socket.address().port});
				resolve(Right(this.#address));
			});
		});
	}

	/** Sends to each address; whether it arrives is not known. */
	send(addresses: readonly string[], method: string, params: Readonly<Record<string, unknown>>): void {
		if (addresses.length === 0) {
			return;
		}

		const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
		if (bytes.length > maxDatagramBytes) {
			this.#refused += 1;
			return;
		}

		addresses.forEach(address => {
			const to = parseAddress(address);
			if (to) {
				this.#socket.send(bytes, to.port, to.host, () => undefined);
			}
		});
	}

	dispose(): void {
		this.#socket.close();
	}

	#receive(bytes: Buffer) {
		const message = parsed(bytes);
		const method = isJSONRPCRequest(message) ? message.method : '';
		const params: unknown = isJSONRPCRequest(message) ? message.params : undefined;
		if (!this.#handlers[method] || messageValidators[method]?.(params) !== true) {
			this.#refused += 1;
			return;
		}

		this.#handlers[method](params as never);
	}
}
