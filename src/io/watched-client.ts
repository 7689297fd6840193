/**
An undici client that verifies the end of responses with neither a `content-length` nor chunked encoding. Such a response is complete only if its connection was closed in order, but undici treats a reset as a normal end, too.
*/
import type {Dispatcher} from 'undici';
import buildConnector from 'undici/lib/core/connect.js';
import Client from 'undici/lib/dispatcher/client.js';
import WrapHandler from 'undici/lib/handler/wrap-handler.js';
import {SocketWatch} from './socket-watch.js';

type Options = ConstructorParameters<typeof Client>[1];

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

type Handler = Required<Dispatcher.DispatchHandler>;

/** Forwards a response to the next handler, and turns the end of an unframed response into an error if the connection was reset. */
class ResponseEndVerifier implements Dispatcher.DispatchHandler {
	readonly #next: Dispatcher.DispatchHandler;
	readonly #method: string;
	readonly #watch: SocketWatch;
	#isFramed = true;

	constructor(next: Dispatcher.DispatchHandler, method: string, watch: SocketWatch) {
		this.#next = WrapHandler.wrap(next);
		this.#method = method;
		this.#watch = watch;
	}

	onRequestStart(...args: Parameters<Handler['onRequestStart']>): void {
		this.#next.onRequestStart?.(...args);
	}

	onRequestUpgrade(...args: Parameters<Handler['onRequestUpgrade']>): void {
		this.#next.onRequestUpgrade?.(...args);
	}

	// Also called for each interim (1xx) response before the final one.
	onResponseStart(...args: Parameters<Handler['onResponseStart']>): void {
		const [, status, headers] = args;
		this.#isFramed = this.#method === 'HEAD' || bodilessStatuses.has(status)
			|| headers['content-length'] !== undefined || String(headers['transfer-encoding'] ?? '').includes('chunked');
		this.#next.onResponseStart?.(...args);
	}

	onResponseData(...args: Parameters<Handler['onResponseData']>): void {
		this.#next.onResponseData?.(...args);
	}

	onResponseEnd(...args: Parameters<Handler['onResponseEnd']>): void {
		if (this.#isFramed) {
			this.#next.onResponseEnd?.(...args);
			return;
		}

		void this.#verifyUnframedEnd(args);
	}

	onResponseError(...args: Parameters<Handler['onResponseError']>): void {
		this.#next.onResponseError?.(...args);
	}

	async #verifyUnframedEnd(args: Parameters<Handler['onResponseEnd']>) {
		if (await this.#watch.wasReset()) {
			this.#next.onResponseError?.(args[0], new Error('reset within an answer without a length'));
		} else {
			this.#next.onResponseEnd?.(...args);
		}
	}
}

/** A client whose connection carries one request at a time. */
export class WatchedClient extends Client {
	readonly #watch: SocketWatch;

	/** @param options - Options of undici. The socket must stay writable after the server has closed its side (`allowHalfOpen`), so that a reset can be detected. */
	constructor(url: string | URL, {connect, ...options}: NonNullable<Options> = {}) {
		const watch = new SocketWatch();
		const connector = typeof connect === 'function' ? connect : buildConnector(connect);
		super(url, {
			...options,
			connect(target, callback) {
				connector(target, (...outcome) => {
					watch.track(outcome[1]);
					callback(...outcome);
				});
			},
		});
		this.#watch = watch;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, new ResponseEndVerifier(handler, options.method, this.#watch));
	}
}
