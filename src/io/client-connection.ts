/**
One connection of a client to an HTTP server: the requests that it has sent ahead, and what they hold.

Requests are handled one after the other, however many the client sends ahead, so that a connection costs no more than one request in progress. The HTTP library has parsed the others already; they wait, up to a limit. Beyond it the connection is closed, and nothing that waited on it is run.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientLoad, LimitReason, LoadHolder} from './client-load.js';
import {
	hasBody, receivedBody, receiveBody, type RequestBody,
} from './request-body.js';

/** A socket of an HTTP server. The library's parser is not documented, and may be missing. */
type HttpSocket = Socket & {readonly parser?: {onIncoming: () => number} | null};

/** What the parser's listener returns for a request after which it parses no more, as for an upgrade. */
const endParsing = 2;

/** Handles a request. @param waitedMs - For how long it has waited for those before it, in milliseconds. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => void;

/** What a server sets for its connections. */
export type ConnectionPolicy = {
	readonly load: ClientLoad;
	/** Name of the server in metrics and the log. */
	readonly server: string;
	/** Requests of one connection that may be unanswered. */
	readonly maxUnanswered: number;
	/** Maximum size of a body, in bytes. */
	readonly maxBodyBytes: () => number;
	/** Whether the handler reads the body of a request itself, as a stream. */
	readonly isStreamed: (req: IncomingMessage) => boolean;
	/** Called when a request was accepted, before it is handled. */
	readonly onTaken: (res: ServerResponse) => void;
	/** Called when a response was sent, or its connection closed. */
	readonly onAnswered: (res: ServerResponse) => void;
};

type TakenRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly body: RequestBody | undefined;
	readonly handle: RequestHandler;
	/** In milliseconds of `performance.now()`. */
	readonly takenAt: number;
	heldBytes: number;
};

/** Memory of a request in progress beside its head and body, in bytes. */
const requestBytes = 16_384;

/** A body may be slow for this long before its rate counts, in milliseconds. */
const bodyGraceMs = 10_000;

/** Least rate at which a body must arrive, in bytes per second. */
const leastBodyRate = 1000;

/** An answer of which the client takes nothing for this long is given up, in milliseconds. */
const longestUnreadMs = 30_000;

/** `retry-after` of a request that is refused for lack of memory, in seconds. Requests in progress are answered within a second or two. */
const retryAfterS = '1';

const headBytesOf = ({rawHeaders, url = ''}: IncomingMessage): number => rawHeaders.reduce((sum, text) => sum + text.length, url.length);

/** Answers a request without a body, unless it has been answered. */
export const sendWithoutBody = (res: ServerResponse, status: number, headers: Readonly<Record<string, string>> = {}) => {
	if (!res.headersSent && !res.destroyed) {
		res.writeHead(status, {'content-length': '0', ...headers});
		res.end();
	}
};

/** See the module's head. */
export class ClientConnection implements LoadHolder {
	readonly socket: HttpSocket;
	readonly #policy: ConnectionPolicy;
	readonly #taken: TakenRequest[] = [];
	#heldBytes = 0;
	/** No further request is taken or handled. */
	#isClosed = false;
	#idleSince = performance.now();
	#bytesWhenIdle = 0;
	/** Bytes of answers that the client had taken at the last check, and when that changed. */
	#bytesWritten = 0;
	#progressAt = 0;

	constructor(socket: HttpSocket, policy: ConnectionPolicy) {
		this.socket = socket;
		connections.set(socket, this);
		this.#policy = policy;
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	get canGiveWay(): boolean {
		return this.#receiving !== undefined || this.#taken.length > 1;
	}

	get unreadBytes(): number {
		return this.#current?.res.writableLength ?? 0;
	}

	/** Number of requests without a complete answer. */
	get unanswered(): number {
		return this.#taken.length;
	}

	/** When the last response ended, in milliseconds of `performance.now()`. */
	get idleSince(): number {
		return this.#idleSince;
	}

	/** Whether bytes were received after the last response: the beginning of the next request. */
	get hasReceivedSince(): boolean {
		return this.socket.bytesRead > this.#bytesWhenIdle;
	}

	/** Notes that what has been received is not the beginning of a request that is still awaited. */
	restartIdle(): void {
		this.#idleSince = performance.now();
		this.#bytesWhenIdle = this.socket.bytesRead;
	}

	/** Accepts a request, refuses it, or closes the connection. */
	take(req: IncomingMessage, res: ServerResponse, handle: RequestHandler): void {
		this.#policy.load.noteReceived(requestBytes);
		if (this.#isClosed) {
			return;
		}

		if (this.#taken.length >= this.#policy.maxUnanswered) {
			this.close('requests');
			return;
		}

		const taken = this.#enqueue(req, res, handle);
		if (this.#taken.length === 1) {
			this.#handle(taken);
		}
	}

	/** See {@link holdMemory}. */
	hold(res: ServerResponse, bytes: number): boolean {
		const taken = this.#taken.find(request => request.res === res);
		if (!taken || !this.#policy.load.admits(bytes, this)) {
			return false;
		}

		this.#grow(taken, bytes);
		return true;
	}

	/** Refuses the request whose body is being received; it has not been handled. A connection on which others wait, or whose answer is not read, is closed. */
	giveWay(): void {
		const receiving = this.#receiving;
		if (!receiving || this.#taken.length > 1) {
			this.close('memory');
			return;
		}

		this.#noteLimit('memory');
		receiving.body!.discard();
		sendWithoutBody(receiving.res, 503, {'retry-after': retryAfterS});
	}

	/** Ends what makes no progress: a body that arrives too slowly, an answer that is not read. */
	endStalled(now: number): void {
		this.#endSlowBody(now);
		this.#endUnreadAnswer(now);
	}

	/** Closes the connection because a limit was met. Requests that wait on it are not run. */
	close(reason: LimitReason): void {
		this.#noteLimit(reason);
		this.socket.destroy();
		this.noteClosed();
		this.#stopParser();
	}

	/** Gives back what its requests hold. To be called when the connection has been closed. */
	noteClosed(): void {
		this.#isClosed = true;
		this.#taken.splice(0).forEach(taken => {
			this.#release(taken);
			this.#policy.onAnswered(taken.res);
		});
	}

	get #current(): TakenRequest | undefined {
		return this.#taken[0];
	}

	/** The request whose body is being received: the last one, if any. */
	get #receiving(): TakenRequest | undefined {
		const last = this.#taken.at(-1);
		return last?.body?.isReceiving && !last.res.headersSent ? last : undefined;
	}

	/** Requests that were received together with the last one would be parsed otherwise, only to be dropped. A pause of the parser has no effect within a read. */
	#stopParser() {
		const {parser} = this.socket;
		if (parser) {
			parser.onIncoming = () => endParsing;
		}
	}

	#endSlowBody(now: number) {
		const receiving = this.#receiving;
		if (!receiving) {
			return;
		}

		const {res, body, takenAt} = receiving;
		const countedMs = now - takenAt - bodyGraceMs;
		if (body!.size < leastBodyRate * countedMs / 1000) {
			this.#noteLimit('slowBody');
			body!.discard();
			res.shouldKeepAlive = false;
			sendWithoutBody(res, 408);
		}
	}

	#endUnreadAnswer(now: number) {
		const {bytesWritten} = this.socket;
		if (bytesWritten !== this.#bytesWritten || this.unreadBytes === 0) {
			this.#bytesWritten = bytesWritten;
			this.#progressAt = now;
		} else if (now - this.#progressAt > longestUnreadMs) {
			this.close('unreadAnswer');
		}
	}

	#enqueue(req: IncomingMessage, res: ServerResponse, handle: RequestHandler): TakenRequest {
		const {load, onTaken} = this.#policy;
		const bytes = requestBytes + headBytesOf(req);
		const isReceivedHere = hasBody(req) && !this.#policy.isStreamed(req);
		const isAdmitted = load.admits(bytes + (isReceivedHere ? this.#declaredBytes(req) : 0), this);
		const taken: TakenRequest = {
			req, res, body: isReceivedHere ? this.#receiveBody(req, () => taken) : undefined, handle: isAdmitted ? handle : refuseForMemory, takenAt: performance.now(), heldBytes: 0,
		};
		if (!isAdmitted) {
			this.#noteLimit('memory');
			taken.body?.discard();
		}

		this.#taken.push(taken);
		onTaken(res);
		res.once('close', () => {
			this.#noteAnswered(taken);
		});
		// This connection may give way itself.
		this.#grow(taken, bytes);
		return taken;
	}

	/** Bytes that a body will hold, as far as its length is known. */
	#declaredBytes(req: IncomingMessage): number {
		return Math.min(Number(req.headers['content-length'] ?? 0), this.#policy.maxBodyBytes());
	}

	#receiveBody(req: IncomingMessage, taken: () => TakenRequest): RequestBody {
		return receiveBody(req, this.#policy.maxBodyBytes(), {
			onReceived: bytes => {
				this.#policy.load.noteReceived(bytes);
			},
			onGrowth: bytes => {
				this.#grow(taken(), bytes);
			},
		});
	}

	#handle(taken: TakenRequest) {
		const {req, res, handle, takenAt} = taken;
		this.#progressAt = performance.now();
		if (!res.headersSent) {
			handle(req, res, this.#progressAt - takenAt);
		}
	}

	#noteAnswered(taken: TakenRequest) {
		if (this.#isClosed) {
			return;
		}

		this.#taken.splice(this.#taken.indexOf(taken), 1);
		this.#release(taken);
		if (this.#taken.length === 0) {
			this.restartIdle();
		}

		this.#policy.onAnswered(taken.res);
		// After an answer that closes the connection, none could be sent to the requests behind it.
		if (this.#current && !this.socket.writableEnded) {
			this.#handle(this.#current);
		}
	}

	#grow(taken: TakenRequest, bytes: number) {
		taken.heldBytes += bytes;
		this.#heldBytes += bytes;
		this.#policy.load.note(bytes);
	}

	/** A body that is still being received is read and dropped from now on. */
	#release(taken: TakenRequest) {
		taken.body?.discard();
		this.#grow(taken, -taken.heldBytes);
	}

	#noteLimit(reason: LimitReason) {
		const {remoteAddress = '', remotePort = 0} = this.socket;
		this.#policy.load.noteLimit(reason, this.#policy.server, `${remoteAddress}:${remotePort}`);
	}
}

const connections = new WeakMap<Socket, ClientConnection>();

/**
Notes that a request holds more memory until it has been answered and its answer was read, for instance for that answer.

@returns Whether there is room for it.
*/
export const holdMemory = (res: ServerResponse, bytes: number): boolean => connections.get(res.req.socket)?.hold(res, bytes) ?? !res.destroyed;

/** Refuses a request that has been taken while there was no memory for it. Its body is dropped. */
const refuseForMemory: RequestHandler = (req, res) => {
	(receivedBody(req) ?? receiveBody(req, 0)).discard();
	sendWithoutBody(res, 503, {'retry-after': retryAfterS});
};
