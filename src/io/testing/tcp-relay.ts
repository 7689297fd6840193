/**
A TCP relay between two processes under test that injects network faults: connections that become permanently unresponsive while new ones work, connections that are closed, and an unreachable peer.
*/
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

type ConnectionPair = {readonly client: Socket; readonly upstream: Socket; isBlocked: boolean; pendingDeliveries: Array<() => void>};

/** Treatment of new connections. `open`: data is relayed. `silent`: data is held back in both directions. */
export type RelayMode = 'open' | 'silent';

/** A fault for the next request that starts with `prefix`. `held`: the connection becomes unresponsive before the request is relayed. `answerLost`: the request is relayed, and the connection is closed at the first bytes of the response. */
export type RequestFault = {
	readonly prefix: string;
	readonly kind: 'held' | 'answerLost';
	/** Called when the fault is applied to a request. */
	readonly onMet?: () => void;
};

/** Relays TCP connections to one address. */
export class TcpRelay {
	/** @param target - `ip:port` of the peer. */
	static async start(target: string): Promise<TcpRelay> {
		const relay = new TcpRelay(target);
		await new Promise<void>(resolve => {
			relay.#server.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	/** Treatment of new connections. */
	mode: RelayMode = 'open';

	/** Address of the peer; a test may replace it by that of its successor. */
	target: string;

	/** Applied to the next matching request only. */
	fault: RequestFault | undefined;

	readonly #server: Server;
	readonly #pairs = new Set<ConnectionPair>();

	private constructor(target: string) {
		this.target = target;
		this.#server = createServer({noDelay: true}, client => {
			this.#relay(client);
		});
	}

	/** Address of the relay as `ip:port`. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Number of open connections. */
	get open(): number {
		return this.#pairs.size;
	}

	/** Delivers the data that was held back on unresponsive connections, and relays data on them again. */
	release(): void {
		this.#pairs.forEach(pair => {
			pair.isBlocked = false;
			pair.pendingDeliveries.splice(0).forEach(deliver => {
				deliver();
			});
		});
	}

	/** Makes all open connections unresponsive in both directions without notifying either end. Data that is sent on them is held back, as in network buffers. */
	silence(): void {
		this.#pairs.forEach(pair => {
			pair.isBlocked = true;
		});
	}

	/** Closes all open connections. */
	cut(): void {
		this.#pairs.forEach(({client, upstream}) => {
			client.destroy();
			upstream.destroy();
		});
	}

	dispose(): void {
		this.cut();
		this.#server.close();
	}

	#relay(client: Socket) {
		const {mode} = this;
		const [host, port] = this.target.split(':');
		const upstream = connect({host, port: Number(port), noDelay: true});
		const pair: ConnectionPair = {
			client, upstream, isBlocked: mode === 'silent', pendingDeliveries: [],
		};
		this.#pairs.add(pair);
		this.#forward(client, upstream, pair);
		this.#forward(upstream, client, pair);
	}

	#applyFault(bytes: Uint8Array, pair: ConnectionPair) {
		const {fault} = this;
		if (!fault || !new TextDecoder().decode(bytes.subarray(0, fault.prefix.length)).startsWith(fault.prefix)) {
			return;
		}

		this.fault = undefined;
		fault.onMet?.();
		if (fault.kind === 'held') {
			pair.isBlocked = true;
			return;
		}

		pair.upstream.once('data', () => {
			pair.isBlocked = true;
			pair.client.destroy();
		});
	}

	#forward(from: Socket, to: Socket, pair: ConnectionPair) {
		const deliver = (action: () => void) => {
			if (pair.isBlocked) {
				pair.pendingDeliveries.push(action);
				return;
			}

			action();
		};

		from.on('data', bytes => {
			if (from === pair.client) {
				this.#applyFault(bytes, pair);
			}

			deliver(() => {
				to.write(bytes);
			});
		});
		from.on('error', () => undefined);
		from.once('close', () => {
			deliver(() => {
				this.#pairs.delete(pair);
				to.destroySoon();
			});
		});
	}
}
