/**
An undici client whose responses can be paused, and whose responses without a length are verified at their end; see `pausable-response.ts`.
*/
import type {Dispatcher} from 'undici';
import Client from 'undici/lib/dispatcher/client.js';
import WrapHandler from 'undici/lib/handler/wrap-handler.js';
import {connectorOf} from './pausable-socket.js';
import {PausableResponse} from './pausable-response.js';
import {SocketWatch} from './socket-watch.js';

/** Options of undici; a client makes its connections itself. */
export type WatchedClientOptions = Omit<NonNullable<ConstructorParameters<typeof Client>[1]>, 'connect'> & {
	/** Time limit of a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
};

/** A client whose connection carries one request at a time. */
export class WatchedClient extends Client {
	readonly #watch: SocketWatch;

	/** @param watch - The watch of its connection's socket, for a caller that uses it too. */
	constructor(url: string | URL, {connectTimeoutMs, ...options}: WatchedClientOptions, watch = new SocketWatch()) {
		const connect = connectorOf(connectTimeoutMs);
		super(url, {
			...options,
			connect(target, callback) {
				connect(target, (...outcome) => {
					watch.track(outcome[1]);
					callback(...outcome);
				});
			},
		});
		this.#watch = watch;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, new PausableResponse(WrapHandler.wrap(handler), options.method, this.#watch));
	}
}
