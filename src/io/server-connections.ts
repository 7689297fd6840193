/**
The connections of an HTTP server, from their start to an orderly end, with what clients may hold meanwhile; see `client-connection.ts` for one connection and `client-load.ts` for all of a process.

If there are too many connections, one gives way to a new one: the oldest of those that have never sent a request, else the one that has been idle for the longest time. If all have requests in progress, the new one is closed.

Node.js closes connections that are idle when the server is closed, and leaves open those that become idle later. It destroys them, too: a request that arrives in that moment is answered with a reset, which may overtake the end of the previous response. Here, a connection is ended only after it has been idle for a while, so that a request that follows a response at once still gets its own. Then only the sending side is closed: what the client sends meanwhile is read and discarded, until the client closes its side too. A request that is read then is passed on to nobody, since no response can be sent.
*/
import type {
	IncomingMessage, Server, ServerOptions, ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {Disposable} from '../common/services.js';
import {ClientConnection, sendWithoutBody, type RequestHandler} from './client-connection.js';
import {clientLimitsOf, type ServerRole} from './client-limits.js';
import {ClientLoad, type LoadedServer, type LoadHolder} from './client-load.js';
import {NoMetrics} from './no-metrics.js';
import {machineLimitsSettings} from './settings-schemas.js';

/** How the clients of one server are bounded. */
export type ServerBounds = {
	/** What all servers of the process hold; one of its own with the default limits if missing. */
	readonly load?: ClientLoad;
	readonly role?: ServerRole;
	/** Maximum size of a body, in bytes. A handler may accept less. */
	readonly maxBodyBytes?: () => number;
	/** Whether the handler reads the body of a request itself, as a stream. */
	readonly isStreamed?: (req: IncomingMessage) => boolean;
};

/** Options of an HTTP server whose connections are bounded. The check for a host is made where requests are counted. */
export const boundedServerOptions = {requireHostHeader: false, connectionsCheckingInterval: 5000} as const satisfies ServerOptions;

/** Requests of one connection that may be unanswered. Clients without pipelining have one. */
const maxUnanswered = 64;

const defaultBodyBytes = 4_194_304;

/** The least bound on a request's head that is set, in bytes: the library's own default. */
const leastHeadBytes = 16_384;

/** The largest request head that is read, in bytes. */
export const largestHeadBytes = 65_536;

/** A connection is ended after this idle time, in milliseconds: longer than a client that sends one request after another takes for the next one. */
const lingerMs = 500;

/** Time for a client to close its side of an ended connection, in milliseconds. */
const closeTimeoutMs = 1000;

const defaultLoad = () => new ClientLoad({limits: clientLimitsOf(machineLimitsSettings.parse({})), log: {emit: () => undefined}, metrics: new NoMetrics()});

/** `server.maxHeaderSize` is read for each new connection, but is declared as an option of the constructor only. */
type ServerWithHeadLimit = Server & {maxHeaderSize?: number};

const rejectWithoutHost: RequestHandler = (_req, res) => {
	res.shouldKeepAlive = false;
	sendWithoutBody(res, 400);
};

const rejectExpectation: RequestHandler = (_req, res) => {
	sendWithoutBody(res, 417);
};

/** See the module's head. */
export class ServerConnections implements Disposable, LoadedServer {
	readonly #server: ServerWithHeadLimit;
	readonly #load: ClientLoad;
	readonly #bounds: Required<Omit<ServerBounds, 'load'>>;
	readonly #connections = new Map<Socket, ClientConnection>();
	/** Connections that have not sent a request yet, those that wait for the next one, and those with unanswered ones; the longest-standing first. */
	readonly #silent = new Set<ClientConnection>();
	readonly #idle = new Set<ClientConnection>();
	readonly #busy = new Set<ClientConnection>();
	readonly #responses = new Set<ServerResponse>();
	readonly #endTimers = new Map<ClientConnection, NodeJS.Timeout>();
	#isCloseAnnounced = false;
	#isEnding = false;

	/**
	@param server - A server that does not listen yet, and has no listener of requests.
	@param onRequest - Called with each request that can be answered, one at a time for each connection.
	*/
	constructor(server: Server, onRequest: RequestHandler, {
		load = defaultLoad(), role = 'callers', maxBodyBytes = () => defaultBodyBytes, isStreamed = () => false,
	}: ServerBounds = {}) {
		this.#server = server;
		this.#load = load;
		this.#bounds = {role, maxBodyBytes, isStreamed};
		load.add(this);
		server.on('connection', socket => {
			this.#track(socket);
		});
		server.on('request', (req, res) => {
			this.#take(req, res, req.httpVersion === '1.1' && req.headers.host === undefined ? rejectWithoutHost : onRequest);
		});
		server.on('checkContinue', (req, res) => {
			this.#take(req, res, (...request) => {
				res.writeContinue();
				onRequest(...request);
			});
		});
		server.on('checkExpectation', (req, res) => {
			this.#take(req, res, rejectExpectation);
		});
	}

	get name(): string {
		return this.#bounds.role;
	}

	/** Number of open connections. */
	get size(): number {
		return this.#connections.size;
	}

	/** Responses that have not ended. */
	get openResponses(): readonly ServerResponse[] {
		return [...this.#responses];
	}

	get holders(): Iterable<LoadHolder> {
		return this.#busy;
	}

	/** Sets the bound on request heads for new connections. It is never below the library's own default. */
	limitHeads(bytes: number): void {
		this.#server.maxHeaderSize = Math.max(leastHeadBytes, Math.min(largestHeadBytes, bytes));
	}

	endStalled(now: number): void {
		this.#busy.forEach(connection => {
			connection.endStalled(now);
		});
	}

	/** Asks each client to close its connection after its next response, or after the one in progress if its head is still to be written. */
	announceClose(): void {
		this.#isCloseAnnounced = true;
		this.#responses.forEach(res => {
			res.shouldKeepAlive = false;
		});
	}

	/** Accepts no more connections, ends each one once it is idle, and resolves when all are closed. */
	async close(): Promise<void> {
		this.announceClose();
		const closed = new Promise<void>(resolve => {
			// The method of `http.Server` would destroy idle connections.
			NetServer.prototype.close.call(this.#server, () => {
				resolve();
			});
		});
		this.#isEnding = true;
		this.#connections.forEach(connection => {
			this.#endWhenIdle(connection);
		});
		await closed;
	}

	/** Destroys all connections. */
	dispose(): void {
		this.#load.remove(this);
		this.#endTimers.forEach(timer => {
			clearTimeout(timer);
		});
		this.#server.close();
		this.#server.closeAllConnections();
	}

	get #maxConnections(): number {
		const {connections, headBytes} = this.#load.limits;
		return Math.min(connections[this.#bounds.role], Math.floor(headBytes[this.#bounds.role] / (this.#server.maxHeaderSize ?? leastHeadBytes)));
	}

	#track(socket: Socket) {
		if (this.#connections.size >= this.#maxConnections && !this.#closeLeastUsed()) {
			this.#load.noteLimit('connections', this.#bounds.role, `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`);
			socket.destroy();
			return;
		}

		const connection = new ClientConnection(socket, {
			...this.#bounds,
			load: this.#load,
			server: this.#bounds.role,
			maxUnanswered,
			onTaken: res => {
				this.#noteTaken(connection, res);
			},
			onAnswered: res => {
				this.#noteAnswered(connection, res);
			},
		});
		this.#connections.set(socket, connection);
		this.#silent.add(connection);
		socket.once('close', () => {
			this.#forget(connection);
		});
		if (this.#isEnding) {
			this.#endWhenIdle(connection);
		}
	}

	/** @returns Whether there was one that could be closed. */
	#closeLeastUsed(): boolean {
		const [victim] = this.#silent.size > 0 ? this.#silent : this.#idle;
		if (!victim) {
			return false;
		}

		this.#forget(victim);
		victim.close('connections');
		return true;
	}

	#forget(connection: ClientConnection) {
		clearTimeout(this.#endTimers.get(connection));
		this.#endTimers.delete(connection);
		this.#connections.delete(connection.socket);
		this.#silent.delete(connection);
		this.#idle.delete(connection);
		connection.noteClosed();
		this.#busy.delete(connection);
	}

	#take(req: IncomingMessage, res: ServerResponse, handle: RequestHandler) {
		const {socket} = req;
		if (socket.writableEnded) {
			socket.destroy();
			return;
		}

		this.#connections.get(socket)?.take(req, res, handle);
	}

	#noteTaken(connection: ClientConnection, res: ServerResponse) {
		this.#silent.delete(connection);
		this.#idle.delete(connection);
		this.#busy.add(connection);
		this.#responses.add(res);
		if (this.#isCloseAnnounced) {
			res.shouldKeepAlive = false;
		}
	}

	#noteAnswered(connection: ClientConnection, res: ServerResponse) {
		this.#responses.delete(res);
		if (connection.unanswered > 0 || connection.socket.destroyed) {
			return;
		}

		this.#busy.delete(connection);
		this.#idle.add(connection);
		if (this.#isEnding) {
			this.#endWhenIdle(connection);
		}
	}

	#endWhenIdle(connection: ClientConnection) {
		clearTimeout(this.#endTimers.get(connection));
		if (connection.unanswered > 0 || connection.socket.destroyed) {
			return;
		}

		this.#endTimers.set(connection, setTimeout(() => {
			// After a pause of this process, a request may have arrived that has not been read: the event loop runs timers before sockets.
			setImmediate(() => {
				this.#endIfIdle(connection);
			});
		}, Math.max(0, connection.idleSince + lingerMs - performance.now())));
	}

	#endIfIdle(connection: ClientConnection) {
		const {socket} = connection;
		if (connection.unanswered > 0 || socket.destroyed) {
			return;
		}

		if (connection.hasReceivedSince) {
			connection.restartIdle();
			this.#endWhenIdle(connection);
			return;
		}

		socket.end();
		this.#endTimers.set(connection, setTimeout(() => {
			socket.destroy();
		}, closeTimeoutMs));
	}
}
