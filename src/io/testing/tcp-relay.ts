/**
A TCP relay between two processes under test, with the faults of a network: connections that go silent for good while new ones work, connections that are cut, and a peer that can not be reached.
*/
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

type Pair = {readonly near: Socket; readonly far: Socket; isSilent: boolean; held: Array<() => void>};

/** What the relay does with a new connection. `silent`: nothing passes. */
export type RelayMode = 'open' | 'silent';

/** What befalls the next request that begins with a text. `held`: its connection goes silent before it passes. `answerLost`: it passes, and the first bytes back cut the connection. */
export type RequestFault = {
	readonly prefix: string;
	readonly kind: 'held' | 'answerLost';
	/** Called when a request met the fault. */
	readonly onMet?: () => void;
};

/** Relays connections to one address. */
export class TcpRelay {
	/** @param target - `ip:port` of the peer. */
	static async start(target: string): Promise<TcpRelay> {
		const relay = new TcpRelay(target);
		await new Promise<void>(resolve => {
			relay.#server.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	/** How new connections are treated. */
	mode: RelayMode = 'open';

	/** The peer, which a test may replace by its successor. */
	target: string;

	/** Befalls one request. */
	fault: RequestFault | undefined;

	readonly #server: Server;
	readonly #pairs = new Set<Pair>();

	private constructor(target: string) {
		this.target = target;
		this.#server = createServer({noDelay: true}, near => {
			this.#relay(near);
		});
	}

	/** `ip:port` to connect to. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Connections open now. */
	get open(): number {
		return this.#pairs.size;
	}

	/** Delivers what was sent on connections while they were silent, and lets them pass again. */
	release(): void {
		this.#pairs.forEach(pair => {
			pair.isSilent = false;
			pair.held.splice(0).forEach(deliver => {
				deliver();
			});
		});
	}

	/** From now on nothing passes on the connections that are open, in either direction, and neither end is told. What is sent is held back, as in the buffers of a network. */
	silence(): void {
		this.#pairs.forEach(pair => {
			pair.isSilent = true;
		});
	}

	/** Cuts the connections that are open. */
	cut(): void {
		this.#pairs.forEach(({near, far}) => {
			near.destroy();
			far.destroy();
		});
	}

	dispose(): void {
		this.cut();
		this.#server.close();
	}

	#relay(near: Socket) {
		const {mode} = this;
		const [host, port] = this.target.split(':');
		const far = connect({host, port: Number(port), noDelay: true});
		const pair: Pair = {
			near, far, isSilent: mode === 'silent', held: [],
		};
		this.#pairs.add(pair);
		this.#pass(near, far, pair);
		this.#pass(far, near, pair);
	}

	#meetFault(bytes: Uint8Array, pair: Pair) {
		const {fault} = this;
		if (!fault || !new TextDecoder().decode(bytes.subarray(0, fault.prefix.length)).startsWith(fault.prefix)) {
			return;
		}

		this.fault = undefined;
		fault.onMet?.();
		if (fault.kind === 'held') {
			pair.isSilent = true;
			return;
		}

		pair.far.once('data', () => {
			pair.isSilent = true;
			pair.near.destroy();
		});
	}

	#pass(from: Socket, to: Socket, pair: Pair) {
		const deliver = (action: () => void) => {
			if (pair.isSilent) {
				pair.held.push(action);
				return;
			}

			action();
		};

		from.on('data', bytes => {
			if (from === pair.near) {
				this.#meetFault(bytes, pair);
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
