/**
The HTTP server below every stand-in: it listens on a free port, keeps track of its connections, and applies the faults that all stand-ins share before a request reaches its handler. Requests below `/control/` are never subject to faults, and their connections close after the answer so that no client reuses them for its traffic.
*/
import {setMaxListeners} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Disposable} from '../common/services.js';
import type {ConnectionFaults} from './connection-faults.js';
import {Exchange} from './exchange.js';
import {RouteTable, type Handler, type Routes} from './route-table.js';

/** Where a stand-in listens. */
export type ListenSettings = {
	/** Default 127.0.0.1. */
	readonly host?: string;
	/** Default 0: any free port. */
	readonly port?: number;
};

/** What a stand-in adds to the server. */
export type ServerOptions = {
	readonly routes: Routes;
	/** Answers what no route fits; 404 by default. */
	readonly fallback?: Handler;
	/** Sees every request outside `/control/`, before any fault. */
	readonly onRequest?: (exchange: Exchange) => void;
	/** What hangs under the fault `hang`: every new request, or everything on new connections. */
	readonly hangs: 'requests' | 'connections';
};

const keepAliveMs = 60_000;
const relistenMs = 20;

/** An HTTP server under faults. */
export class StandinServer implements Disposable {
	/** Starts a server. Rejects when the port is taken. */
	static async start(listen: ListenSettings, options: ServerOptions): Promise<StandinServer> {
		const server = new StandinServer(options);
		await server.#listen(listen.port ?? 0, listen.host ?? '127.0.0.1');
		return server;
	}

	readonly #server = createServer((req, res) => {
		void this.#handle(req, res);
	});

	readonly #sockets = new Set<Socket>();
	readonly #silent = new WeakSet<Socket>();
	readonly #stop = new AbortController();
	readonly #routes: RouteTable;
	readonly #options: ServerOptions;
	#faults: ConnectionFaults = {};
	#address = '';
	#disposed = false;

	private constructor(options: ServerOptions) {
		this.#options = options;
		this.#routes = new RouteTable(options.routes);
		// Every request that waits listens to the stop; their number is no leak.
		setMaxListeners(0, this.#stop.signal);
		this.#server.keepAliveTimeout = keepAliveMs;
		this.#server.requestTimeout = 0;
		this.#server.on('connection', socket => {
			this.#track(socket);
		});
	}

	/** Where it listens, as `ip:port`. */
	get address(): string {
		return this.#address;
	}

	get isDisposed(): boolean {
		return this.#disposed;
	}

	get faults(): ConnectionFaults {
		return this.#faults;
	}

	/** Changes the faults that are given, and leaves the others as they are. */
	setFaults(changes: ConnectionFaults): void {
		const {cut, silence, ...lasting} = changes;
		this.#faults = {...this.#faults, ...lasting};
		if (silence) {
			this.#sockets.forEach(socket => {
				this.#silent.add(socket);
			});
		}

		if (cut) {
			this.cutConnections();
		}
	}

	/** Waits `ms`, or less when the server is disposed of or `signal` aborts. */
	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		const ends = signal ? AbortSignal.any([signal, this.#stop.signal]) : this.#stop.signal;
		await delay(ms, undefined, {signal: ends}).catch(() => undefined);
	}

	/** Destroys all open connections. */
	cutConnections(): void {
		this.#sockets.forEach(socket => {
			socket.destroy();
		});
	}

	/** Stops listening, cuts all connections, and listens at the same address again after `ms`. Callers are refused meanwhile. */
	async restart(ms: number): Promise<void> {
		this.#server.close();
		this.cutConnections();
		await this.sleep(ms);
		const [host = '', port = ''] = this.#address.split(':');
		while (!this.#disposed) {
			// Another process may hold the port for a moment as an outgoing one: try until it is free.
			const listening = await this.#listen(Number(port), host).then(() => true, () => false);
			if (listening) {
				return;
			}

			await this.sleep(relistenMs);
		}
	}

	dispose(): void {
		this.#disposed = true;
		this.#stop.abort();
		this.#server.close();
		this.cutConnections();
	}

	async #listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
		const address = this.#server.address() as AddressInfo;
		this.#address = `${address.address}:${address.port}`;
		if (this.#disposed) {
			this.#server.close();
		}
	}

	#track(socket: Socket): void {
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.#faults.hang && this.#options.hangs === 'connections') {
			this.#silent.add(socket);
		}
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const isControl = req.url?.startsWith('/control/') ?? false;
		const exchange = new Exchange(req, res, () => !isControl && this.#silent.has(req.socket));
		if (isControl) {
			res.setHeader('Connection', 'close');
		} else if (!await this.#passesFaults(exchange, req.socket)) {
			return;
		}

		const handler = this.#routes.find(exchange) ?? this.#options.fallback ?? notFound;
		await handler(exchange);
	}

	async #passesFaults(exchange: Exchange, socket: Socket): Promise<boolean> {
		this.#options.onRequest?.(exchange);
		if (this.#silent.has(socket) || (this.#faults.hang && this.#options.hangs === 'requests')) {
			return false;
		}

		if (this.#faults.latencyMs) {
			await this.sleep(this.#faults.latencyMs);
		}

		if (this.#refuses()) {
			exchange.send(503, {error: 'unavailable'});
			return false;
		}

		return true;
	}

	#refuses(): boolean {
		const left = this.#faults.refuseNext ?? 0;
		if (left > 0) {
			this.#faults = {...this.#faults, refuseNext: left - 1};
		}

		return left > 0 || this.#faults.down === true;
	}
}

const notFound: Handler = exchange => {
	exchange.send(404, {error: 'not found'});
};
