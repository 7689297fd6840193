/**
HTTP towards other processes, on undici. What distinguishes it is how it names failures: `notSent` is said only when no byte of the request can have reached the other end, so that the caller may claim "not run"; everything else is `lost` or `silent`, after which only the other end knows.

A pause of this process is not the other end's silence: see {@link TimeLimit}.
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
import {WatchedClient} from './watched-client.js';

/** Why no response came. */
export type HttpFailure = {
	/** `notSent`: no connection was made. `silent`: nothing came within the time. `lost`: the connection ended. `aborted`: the caller's signal. */
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
	/** Milliseconds until the response's head must have come. */
	readonly timeoutMs: number;
	/** Milliseconds until the whole response must have come; without it, its body may take any time. */
	readonly wholeMs?: number;
	/** Ends the request and its answer: at once, or, where it is a time limit, when what has come until then is read. */
	readonly signal?: AbortSignal;
	/** True opens a connection of its own, used once: for asking again after a connection went silent. */
	readonly fresh?: boolean;
};

/** A response whose body is still to be read. */
export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Dispatcher.ResponseData['body'];
	/** Ends the response at once and closes its connection. */
	abort(): void;
};

const connectTimeoutMs = 1000;
const keepAliveMs = 15_000;

// Undici made no connection, or refused the request itself, for instance for a header that it does not take.
const notSentCodes = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

// The operating system's errors count only when it was connecting: a router's "host unreachable" can also end a connection that has carried the request, which would then pass for not run.
const connectCalls = new Set(['connect', 'bind']);

/** Whether an error excludes that any byte of the request was sent. */
export const isBeforeSending = (err: unknown): boolean => {
	const {code, syscall} = err as {code?: string; syscall?: string};
	return notSentCodes.has(code ?? '') || connectCalls.has(syscall ?? '');
};

const dispatcherOptions = {
	connect: {timeout: connectTimeoutMs, allowHalfOpen: true},
	keepAliveTimeout: keepAliveMs,
	// Both are watched by our own timers: undici's tick once a second, and a stream may pause for longer than any body timeout.
	headersTimeout: 0,
	bodyTimeout: 0,
	pipelining: 1,
};

/** Whether the signal is `AbortSignal.timeout`, and its time is over. */
const isTimeLimit = (signal: AbortSignal | undefined): boolean => (signal?.reason as Error | undefined)?.name === 'TimeoutError';

const poolOptions = {
	...dispatcherOptions,
	factory: (origin: string | URL, options: object) => new Pool(origin, {...options, factory: (url, clientOptions) => new WatchedClient(url, clientOptions)}),
};

const codeOf = (err: unknown) => (err as {code?: string}).code ?? '';

/** Sends requests over kept connections. */
export class HttpClient implements Disposable {
	readonly #pools = new Map<string, Agent>();
	#disposed = false;

	/**
	Sends a request and waits for the head of the response.

	@returns The response, or why there is none. Never rejects.
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

		let silent = false;
		const giveUp = () => {
			silent = true;
			abort();
		};

		const headLimit = new TimeLimit(req.timeoutMs, giveUp);
		const wholeLimit = req.wholeMs === undefined ? undefined : new TimeLimit(req.wholeMs, giveUp);
		const forward = () => {
			if (isTimeLimit(req.signal)) {
				setImmediate(abort);
			} else {
				abort();
			}
		};

		req.signal?.addEventListener('abort', forward, {once: true});
		const dispatcher = req.fresh ? new WatchedClient(`http://${req.address}`, dispatcherOptions) : this.#poolFor(req.address);
		try {
			const res = await request.call(dispatcher, {
				origin: `http://${req.address}`,
				path: req.path,
				method: req.method,
				headers: req.headers,
				body: req.body,
				signal: controller.signal,
			});
			this.#followBody(res.body, () => {
				wholeLimit?.dispose();
				req.signal?.removeEventListener('abort', forward);
				this.#closeFresh(req, dispatcher);
			});
			return Right({
				status: res.statusCode, headers: res.headers, body: res.body, abort,
			});
		} catch (err) {
			wholeLimit?.dispose();
			req.signal?.removeEventListener('abort', forward);
			this.#closeFresh(req, dispatcher);
			return Left(this.#failure(err, silent, req));
		} finally {
			headLimit.dispose();
		}
	}

	/**
	Forgets the kept connections to an address. Requests under way on them go on.

	A connection that something between the ends has lost track of stays silent for good, and its neighbours in the pool are likely to be silent too; new requests must not wait on them.
	*/
	renew(address: string): void {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		void pool?.close().catch(() => undefined);
	}

	/** Ends all connections. Whoever still sends afterwards reaches nobody: the address may belong to something else by then. */
	dispose(): void {
		this.#disposed = true;
		for (const pool of this.#pools.values()) {
			void pool.destroy().catch(() => undefined);
		}

		this.#pools.clear();
	}

	#poolFor(address: string): Agent {
		const known = this.#pools.get(address);
		if (known) {
			return known;
		}

		const pool = new Agent(poolOptions);
		this.#pools.set(address, pool);
		return pool;
	}

	#followBody(body: Readable, onClose: () => void) {
		// Without a listener, an aborted body would be an unhandled error and stop the process.
		body.on('error', () => undefined);
		body.once('close', onClose);
	}

	#closeFresh(req: HttpRequest, dispatcher: Dispatcher) {
		if (req.fresh) {
			void dispatcher.destroy().catch(() => undefined);
		}
	}

	#failure(err: unknown, silent: boolean, req: HttpRequest): HttpFailure {
		const code = codeOf(err);
		if (isBeforeSending(err)) {
			return {kind: 'notSent', reason: code};
		}

		if (silent) {
			return {kind: 'silent', reason: `no answer within ${req.timeoutMs} ms`};
		}

		return {kind: req.signal?.aborted ? 'aborted' : 'lost', reason: code || String(err)};
	}
}
