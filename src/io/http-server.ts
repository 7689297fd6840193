/**
An HTTP server on `node:http` with a table of routes and a stop that lets responses under way finish.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Disposable} from '../common/services.js';
import {parseAddress} from './address.js';
import {exitCodes} from './exit-codes.js';
import type {StartError} from './program.js';

/** What a handler receives besides the request. */
export type RouteMatch = {
	readonly url: URL;
	/** The groups of the route's pattern. */
	readonly params: Readonly<Record<string, string>>;
};

/** A row of the table of routes. The first row that fits is used. */
export type Route = {
	/** An HTTP method, or `*` for all. */
	readonly method: string;
	readonly pattern: RegExp;
	readonly handle: (req: IncomingMessage, res: ServerResponse, match: RouteMatch) => Promise<void> | void;
};

/** What answers when no route fits, and when a handler breaks an invariant. */
export type Fallbacks = {
	readonly notFound: (req: IncomingMessage, res: ServerResponse) => void;
	readonly wrongMethod: (req: IncomingMessage, res: ServerResponse, allowed: readonly string[]) => void;
	readonly broken: (err: unknown) => void;
};

/** Why a server could not start. */
export type ListenFailure = StartError & {readonly kind: 'listenFailed'};

// Longer than any client of ours keeps an idle connection, so that the client closes first and no request meets a closing connection.
const keepAliveTimeoutMs = 60_000;

// The longest that a request with its body may take to arrive; without a bound, callers that never finish would be kept for ever.
const requestTimeoutMs = 600_000;

/** Serves a table of routes. */
export class HttpServer implements Disposable {
	readonly #server: Server;
	readonly #routes: readonly Route[];
	readonly #fallbacks: Fallbacks;
	#draining = false;
	#host = '';

	constructor(routes: readonly Route[], fallbacks: Fallbacks) {
		this.#routes = routes;
		this.#fallbacks = fallbacks;
		this.#server = createServer((req, res) => {
			void this.#dispatch(req, res);
		});
		this.#server.keepAliveTimeout = keepAliveTimeoutMs;
		this.#server.requestTimeout = requestTimeoutMs;
	}

	/** The port that was bound; 0 before `listen`. */
	get port(): number {
		return (this.#server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		return `${this.#host}:${this.port}`;
	}

	/** @param address - `ip:port`; port 0 takes any free port. */
	async listen(address: string): Promise<Either<ListenFailure, number>> {
		const {host, port} = parseAddress(address) ?? {host: '', port: 0};
		this.#host = host.includes(':') ? `[${host}]` : host;
		return new Promise(resolve => {
			this.#server.once('error', err => {
				resolve(Left({kind: 'listenFailed', exitCode: exitCodes.unavailable, message: `can not listen on ${address}: ${err.message}`}));
			});
			this.#server.listen({host, port, backlog: 1024}, () => {
				resolve(Right(this.port));
			});
		});
	}

	/** From now on each response asks its client to close the connection, so that a balancer moves on without a request being cut. */
	announceClose(): void {
		this.#draining = true;
	}

	/** Stops accepting connections; resolves when the last response has ended. */
	async close(): Promise<void> {
		this.announceClose();
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeIdleConnections();
		await closed;
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #dispatch(req: IncomingMessage, res: ServerResponse) {
		if (this.#draining) {
			res.setHeader('connection', 'close');
		}

		const url = this.#parseUrl(req);
		const fitting = url ? this.#routes.filter(route => route.pattern.test(url.pathname)) : [];
		const route = fitting.find(candidate => candidate.method === '*' || candidate.method === req.method);
		if (!url || fitting.length === 0) {
			this.#fallbacks.notFound(req, res);
			return;
		}

		if (!route) {
			this.#fallbacks.wrongMethod(req, res, fitting.map(candidate => candidate.method));
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
