/**
HTTP client for requests to other processes, based on undici. Failures are classified by their effect: `notSent` is returned only when no byte of the request can have reached the server, so that the caller may report "not run". After every other failure, such as `lost` or `silent`, the request may have been processed.

A pause of this process does not count as an unresponsive server: see {@link TimeLimit}.
*/
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import Agent from 'undici/lib/dispatcher/agent.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import request from 'undici/lib/api/api-request.js';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Disposable} from '../common/services.js';
import {TimeLimit} from './time-limit.js';
import {connectTimeoutCode} from './pausable-socket.js';
import {WatchedClient, type WatchedClientOptions} from './watched-client.js';

/** Why there is no response. */
export type HttpFailure = {
	/** `notSent`: no byte of the request was sent. `silent`: no response within the time limit. `lost`: the connection was closed. `aborted`: aborted by the caller. */
	readonly kind: 'notSent' | 'silent' | 'lost' | 'aborted';
	readonly reason: string;
};

/** A request to one address. */
export type HttpRequest = {
	/** `ip:port`. */
	readonly address: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers?: Record<string, string | string[]>;
	readonly body?: string | Uint8Array | Readable;
	/** Time limit in milliseconds for the head of the response. */
	readonly timeoutMs: number;
	/** Time limit in milliseconds for the complete response; when absent, the body is not limited. */
	readonly responseTimeoutMs?: number;
	/** Aborts the request and its response: immediately, or, for `AbortSignal.timeout`, after the data received until then has been read. */
	readonly signal?: AbortSignal;
	/** Opens a new connection for this request only, for a retry after a connection became unresponsive. */
	readonly fresh?: boolean;
};

/** A response whose body has not been read yet. */
export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Dispatcher.ResponseData['body'];
	/** Aborts the response immediately and closes its connection. */
	abort(): void;
};

const connectTimeoutMs = 1000;
const keepAliveMs = 15_000;

// Undici rejected the request itself, for instance because of an unsupported header.
const invalidRequestCodes = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

const notSentCodes = new Set([connectTimeoutCode, ...invalidRequestCodes]);

// Errors of the operating system count only for these system calls: a "host unreachable" from a router can also close a connection on which the request was sent, and the request would then be reported as not run.
const connectSyscalls = new Set(['connect', 'bind']);

/** Whether the request can be sent to no server, so the error tells nothing of this one. */
export const isInvalidRequest = (err: unknown): boolean => invalidRequestCodes.has((err as {code?: string}).code ?? '');

/** Whether an error proves that no byte of the request was sent. */
export const isBeforeSending = (err: unknown): boolean => {
	const {code, syscall} = err as {code?: string; syscall?: string};
	return notSentCodes.has(code ?? '') || connectSyscalls.has(syscall ?? '');
};

const dispatcherOptions = {
	connectTimeoutMs,
	keepAliveTimeout: keepAliveMs,
	// Both limits are enforced by own timers: those of undici have a resolution of one second, and a stream may pause for longer than any body timeout.
	headersTimeout: 0,
	bodyTimeout: 0,
	pipelining: 1,
};

/** Whether the signal is an `AbortSignal.timeout` that has expired. */
const isTimeLimit = (signal: AbortSignal | undefined): boolean => (signal?.reason as Error | undefined)?.name === 'TimeoutError';

const poolOptions = {
	...dispatcherOptions,
	factory: (origin: string | URL, options: object) => new Pool(origin, {...options, factory: (url, clientOptions) => new WatchedClient(url, clientOptions as WatchedClientOptions)}),
};

const codeOf = (err: unknown) => (err as {code?: string}).code ?? '';

/** Limits of a client. */
export type HttpClientOptions = {
	/** The maximum size of a response's body, in bytes; a longer one fails and its connection is closed. Unlimited by default. */
	readonly maxResponseBytes?: number;
};

/** Sends requests over pooled keep-alive connections. */
export class HttpClient implements Disposable {
	readonly #pools = new Map<string, Agent>();
	readonly #limits: {readonly maxResponseSize?: number};
	#disposed = false;

	constructor({maxResponseBytes}: HttpClientOptions = {}) {
		this.#limits = maxResponseBytes === undefined ? {} : {maxResponseSize: maxResponseBytes};
	}

	/**
	Sends a request and waits for the head of the response.

	@returns The response, or the failure. Never rejects.
	*/
	async send(req: HttpRequest): Promise<Either<HttpFailure, HttpResponse>> {
		if (this.#disposed) {
			return Left({kind: 'notSent', reason: 'the client is disposed'});
		}

		if (req.signal?.aborted) {
			return Left({kind: 'aborted', reason: 'aborted before it was sent'});
		}

		const controller = new AbortController();
		const abort = () => {
			controller.abort();
		};

		let isTimedOut = false;
		const onTimeout = () => {
			isTimedOut = true;
			abort();
		};

		const headLimit = new TimeLimit(req.timeoutMs, onTimeout);
		const responseLimit = req.responseTimeoutMs === undefined ? undefined : new TimeLimit(req.responseTimeoutMs, onTimeout);
		const forwardAbort = () => {
			if (isTimeLimit(req.signal)) {
				setImmediate(abort);
			} else {
				abort();
			}
		};

		req.signal?.addEventListener('abort', forwardAbort, {once: true});
		const dispatcher = req.fresh ? new WatchedClient(`http://${req.address}`, {...dispatcherOptions, ...this.#limits}) : this.#poolFor(req.address);
		try {
			const res = await request.call(dispatcher, {
				origin: `http://${req.address}`,
				path: req.path,
				method: req.method,
				headers: req.headers,
				body: req.body,
				signal: controller.signal,
			});
			this.#watchBody(res.body, () => {
				responseLimit?.dispose();
				req.signal?.removeEventListener('abort', forwardAbort);
				this.#closeFresh(req, dispatcher);
			});
			return Right({
				status: res.statusCode, headers: res.headers, body: res.body, abort,
			});
		} catch (err) {
			responseLimit?.dispose();
			req.signal?.removeEventListener('abort', forwardAbort);
			this.#closeFresh(req, dispatcher);
			return Left(this.#failure(err, isTimedOut, req));
		} finally {
			headLimit.dispose();
		}
	}

	/**
	Discards the connection pool of an address, so that new requests use new connections. Requests in progress on the old ones continue.

	A connection whose state a network device has lost stays unresponsive permanently, and other connections of the pool are probably affected too; new requests must not wait on them.
	*/
	discardPool(address: string): void {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		void pool?.close().catch(() => undefined);
	}

	/** Closes all connections. Later requests fail as `notSent`, since their address may belong to another process by then. */
	dispose(): void {
		this.#disposed = true;
		for (const pool of this.#pools.values()) {
			void pool.destroy().catch(() => undefined);
		}

		this.#pools.clear();
	}

	#poolFor(address: string): Agent {
		const existing = this.#pools.get(address);
		if (existing) {
			return existing;
		}

		const pool = new Agent({...poolOptions, ...this.#limits});
		this.#pools.set(address, pool);
		return pool;
	}

	#watchBody(body: Readable, onClose: () => void) {
		// Without a listener, an aborted body would raise an unhandled error and stop the process.
		body.on('error', () => undefined);
		body.once('close', onClose);
	}

	#closeFresh(req: HttpRequest, dispatcher: Dispatcher) {
		if (req.fresh) {
			void dispatcher.destroy().catch(() => undefined);
		}
	}

	#failure(err: unknown, isTimedOut: boolean, req: HttpRequest): HttpFailure {
		const code = codeOf(err);
		if (isBeforeSending(err)) {
			return {kind: 'notSent', reason: code};
		}

		if (isTimedOut) {
			return {kind: 'silent', reason: `no answer within ${req.timeoutMs} ms`};
		}

		return {kind: req.signal?.aborted ? 'aborted' : 'lost', reason: code || String(err)};
	}
}
