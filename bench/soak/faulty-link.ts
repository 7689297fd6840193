/**
A relay of TCP connections between entries and an agent, with the faults of a network: connections that are cut, and connections that go silent for good while new ones work.
*/
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {Disposable} from '../../src/common/services.js';

type Pair = {readonly near: Socket; readonly far: Socket};

/** Relays to one agent. */
export class FaultyLink implements Disposable {
	/** Starts to listen on a free port of loopback. */
	static async start(): Promise<FaultyLink> {
		const link = new FaultyLink();
		await new Promise<void>(resolve => {
			link.#server.listen(0, '127.0.0.1', resolve);
		});
		return link;
	}

	/** `ip:port` of the agent; changes when the agent is started again. */
	target = '';
	readonly #pairs = new Set<Pair>();
	readonly #server: Server = createServer(near => {
		this.#join(near);
	});

	private constructor() {
		// Made by `start`.
	}

	/** `ip:port` to connect to. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Cuts all connections. */
	cut(): void {
		this.#pairs.forEach(({near, far}) => {
			near.destroy();
			far.destroy();
		});
	}

	/** Nothing passes any more on the connections that are open now; neither end is told. */
	silence(): void {
		this.#pairs.forEach(({near, far}) => {
			near.unpipe(far).resume();
			far.unpipe(near).resume();
			near.removeAllListeners('close');
			far.removeAllListeners('close');
		});
	}

	dispose(): void {
		this.cut();
		this.#server.close();
	}

	#join(near: Socket) {
		const [host, port] = this.target.split(':');
		const far = connect({host, port: Number(port)});
		const pair = {near, far};
		this.#pairs.add(pair);
		[near, far].forEach((socket, side) => {
			socket.setNoDelay(true);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				(side === 0 ? far : near).destroy();
				this.#pairs.delete(pair);
			});
		});
		near.pipe(far);
		far.pipe(near);
	}
}
