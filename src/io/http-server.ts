/**
An HTTP server based on `node:http` with a routing table. Its shutdown lets responses in progress finish.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Either} from 'purify-ts/Either';
import type {Disposable} from '../common/services.js';
import {parseAddress} from './address.js';
import type {AddressAwaited} from './bind-address.js';
import {listen} from './listen.js';
import type {StartError} from './program.js';
import {boundedServerOptions, ServerConnections, type ServerBounds} from './server-connections.js';

/** Result of matching a request against a route. */
export type RouteMatch = {
	readonly url: URL;
	/** Named groups of the pattern of the route. */
	readonly params: Readonly<Record<string, string>>;
};

/** An entry of the routing table. The first matching entry handles a request. */
export type Route = {
	/** An HTTP method, or `*` for all. */
	readonly method: string;
	readonly pattern: RegExp;
	/** Whether `handle` reads the body as a stream; otherwise the server receives it, and `readBody` returns it. */
	readonly isStreamed?: boolean;
	readonly handle: (req: IncomingMessage, res: ServerResponse, match: RouteMatch) => Promise<void> | void;
};

/** Handlers for requests without a matching route, and for errors thrown by a route handler. */
export type Fallbacks = {
	readonly notFound: (req: IncomingMessage, res: ServerResponse) => void;
	readonly wrongMethod: (req: IncomingMessage, res: ServerResponse, allowed: readonly string[]) => void;
	readonly broken: (err: unknown) => void;
};

/** Why a server could not start. */
export type ListenFailure = StartError & {readonly kind: 'listenFailed'};

// Longer than the keep-alive timeout of the clients of the fleet, so that the client closes an idle connection first and no request is sent on a connection that is being closed.
const keepAliveTimeoutMs = 60_000;

// Time limit for receiving a request with its body; without it, requests that are never completed would be held forever.
const requestTimeoutMs = 600_000;

/** Bodies up to this size, in bytes, are received in any case: calls of peers are not bounded by settings. */
const leastBodyBytes = 8_388_608;

/** Serves a routing table. */
export class HttpServer implements Disposable {
	readonly #server: Server;
	readonly #connections: ServerConnections;
	readonly #routes: readonly Route[];
	readonly #fallbacks: Fallbacks;
	#host = '';

	constructor(routes: readonly Route[], fallbacks: Fallbacks, bounds: ServerBounds = {}) {
		this.#routes = routes;
		this.#fallbacks = fallbacks;
		this.#server = createServer(boundedServerOptions);
		this.#connections = new ServerConnections(this.#server, (req, res) => {
			void this.#dispatch(req, res);
		}, {...bounds, maxBodyBytes: () => Math.max(leastBodyBytes, bounds.maxBodyBytes?.() ?? 0), isStreamed: req => this.#isStreamed(req)});
		this.#server.keepAliveTimeout = keepAliveTimeoutMs;
		this.#server.requestTimeout = requestTimeoutMs;
	}

	/** The bound port; 0 before `listen`. */
	get port(): number {
		return (this.#server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	/** The bound address as `ip:port`. */
	get address(): string {
		return `${this.#host}:${this.port}`;
	}

	/**
	Waits for an address that is not available yet.

	@param address - `ip:port`; port 0 selects any free port.
	*/
	async listen(address: string, onAwaited?: AddressAwaited): Promise<Either<ListenFailure, number>> {
		const {host} = parseAddress(address) ?? {host: ''};
		this.#host = host.includes(':') ? `[${host}]` : host;
		const listening = await listen(this.#server, address, onAwaited);
		return listening.bimap(err => ({kind: 'listenFailed', ...err}), () => this.port);
	}

	/** Adds `connection: close` to all further responses, so that load balancers move to other servers without an interrupted request. */
	announceClose(): void {
		this.#connections.announceClose();
	}

	/** Stops accepting connections, closes each one once it is idle, and resolves when the last one is closed. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	dispose(): void {
		this.#connections.dispose();
	}

	#isStreamed(req: IncomingMessage): boolean {
		const pathname = this.#parseUrl(req)?.pathname ?? '';
		return this.#routes.some(({isStreamed, method, pattern}) => isStreamed && method === req.method && pattern.test(pathname));
	}

	async #dispatch(req: IncomingMessage, res: ServerResponse) {
		const url = this.#parseUrl(req);
		const matchingRoutes = url ? this.#routes.filter(route => route.pattern.test(url.pathname)) : [];
		const route = matchingRoutes.find(candidate => candidate.method === '*' || candidate.method === req.method);
		if (!url || matchingRoutes.length === 0) {
			this.#fallbacks.notFound(req, res);
			return;
		}

		if (!route) {
			this.#fallbacks.wrongMethod(req, res, matchingRoutes.map(candidate => candidate.method));
			return;
		}

		try {
			await route.handle(req, res, {url, params: route.pattern.exec(url.pathname)?.groups ?? {}});
		} catch (err) {
			this.#fallbacks.broken(err);
			res.destroy();
		}
	}

	#parseUrl(req: IncomingMessage): URL | undefined {
		return URL.canParse(req.url ?? '', 'http://local') ? new URL(req.url ?? '', 'http://local') : undefined;
	}
}
