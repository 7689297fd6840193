/**
The connections of an HTTP server, from their start to an orderly end. Node.js closes connections that are idle when the server is closed, and leaves open those that become idle later. It destroys them, too: a request that arrives in that moment is answered with a reset, which may overtake the end of the previous response.

Here, a connection is ended only after it has been idle for a while, so that a request that follows a response at once still gets its own. Then only the sending side is closed: what the client sends meanwhile is read and discarded, until the client closes its side too. A request that is read then is passed on to nobody, since no response can be sent.
*/
import type {
	IncomingMessage, RequestListener, Server, ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {Disposable} from '../common/services.js';

/** A connection is ended after this idle time, in milliseconds: longer than a client that sends one request after another takes for the next one. */
const lingerMs = 500;

/** Time for a client to close its side of an ended connection, in milliseconds. */
const closeTimeoutMs = 1000;

type Connection = {
	openResponses: number;
	/** When the last response ended, in milliseconds of `performance.now()`. */
	idleSince: number;
	/** Bytes that had been received then; more are the beginning of the next request. */
	bytesWhenIdle: number;
	timer?: NodeJS.Timeout;
};

/** See the module's head. */
export class ServerConnections implements Disposable {
	readonly #server: Server;
	readonly #connections = new Map<Socket, Connection>();
	readonly #responses = new Set<ServerResponse>();
	#isCloseAnnounced = false;
	#isEnding = false;

	/**
	@param server - A server that does not listen yet, and has no listener of requests.
	@param onRequest - Called with each request that can be answered.
	*/
	constructor(server: Server, onRequest: RequestListener) {
		this.#server = server;
		server.on('connection', socket => {
			this.#track(socket);
		});
		server.on('request', (req, res) => {
			if (req.socket.writableEnded) {
				req.socket.destroy();
				return;
			}

			this.#trackResponse(req, res);
			onRequest(req, res);
		});
	}

	/** Number of open connections. */
	get size(): number {
		return this.#connections.size;
	}

	/** Responses that have not ended. */
	get openResponses(): readonly ServerResponse[] {
		return [...this.#responses];
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
		this.#connections.forEach((connection, socket) => {
			this.#endWhenIdle(socket, connection);
		});
		await closed;
	}

	/** Destroys all connections. */
	dispose(): void {
		this.#connections.forEach(({timer}) => {
			clearTimeout(timer);
		});
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#track(socket: Socket) {
		const connection: Connection = {openResponses: 0, idleSince: performance.now(), bytesWhenIdle: 0};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			clearTimeout(connection.timer);
			this.#connections.delete(socket);
		});
		if (this.#isEnding) {
			this.#endWhenIdle(socket, connection);
		}
	}

	#trackResponse({socket}: IncomingMessage, res: ServerResponse) {
		const connection = this.#connections.get(socket);
		if (!connection) {
			return;
		}

		connection.openResponses += 1;
		this.#responses.add(res);
		if (this.#isCloseAnnounced) {
			res.shouldKeepAlive = false;
		}

		res.once('close', () => {
			this.#responses.delete(res);
			connection.openResponses -= 1;
			connection.idleSince = performance.now();
			connection.bytesWhenIdle = socket.bytesRead;
			if (this.#isEnding) {
				this.#endWhenIdle(socket, connection);
			}
		});
	}

	#endWhenIdle(socket: Socket, connection: Connection) {
		clearTimeout(connection.timer);
		if (connection.openResponses > 0 || socket.destroyed) {
			return;
		}

		connection.timer = setTimeout(() => {
			// After a pause of this process, a request may have arrived that has not been read: the event loop runs timers before sockets.
			setImmediate(() => {
				this.#endIfIdle(socket, connection);
			});
		}, Math.max(0, connection.idleSince + lingerMs - performance.now()));
	}

	#endIfIdle(socket: Socket, connection: Connection) {
		if (connection.openResponses > 0 || socket.destroyed) {
			return;
		}

		if (socket.bytesRead > connection.bytesWhenIdle) {
			connection.bytesWhenIdle = socket.bytesRead;
			connection.idleSince = performance.now();
			this.#endWhenIdle(socket, connection);
			return;
		}

		socket.end();
		connection.timer = setTimeout(() => {
			socket.destroy();
		}, closeTimeoutMs);
	}
}
