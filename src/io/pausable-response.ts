/**
Passes a response of the HTTP library on to its handler, and pauses it where the handler asks for that, without a pause of the library's parser; see `pausable-socket.ts`.

What the library has parsed already when a pause begins, at most one read of the socket, is queued, and its end too: a response that has ended in order is delivered whole to a handler that was paused then.

A response with neither a `content-length` nor chunked encoding is complete only if its connection was closed in order, but the library treats a reset as a normal end, too. Here, the end of such a response becomes an error if the connection was reset. That is checked when it ends, not when the handler learns of it: the connection may be gone by then, and its client have another one.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {isFramed} from './response-framing.js';
import type {PausableSocket} from './pausable-socket.js';
import type {SocketWatch} from './socket-watch.js';

/** The controller that the handler is given. */
class PausableController implements Dispatcher.DispatchController {
	readonly #library: Dispatcher.DispatchController;
	readonly #onPause: (isPaused: boolean) => void;
	#isPaused = false;

	constructor(library: Dispatcher.DispatchController, onPause: (isPaused: boolean) => void) {
		this.#library = library;
		this.#onPause = onPause;
	}

	get aborted(): boolean {
		return this.#library.aborted;
	}

	get paused(): boolean {
		return this.#isPaused;
	}

	get reason(): Error | null {
		return this.#library.reason;
	}

	get rawHeaders(): Dispatcher.DispatchController['rawHeaders'] {
		return this.#library.rawHeaders;
	}

	get rawTrailers(): Dispatcher.DispatchController['rawTrailers'] {
		return this.#library.rawTrailers;
	}

	abort(reason: Error): void {
		this.#library.abort(reason);
	}

	pause(): void {
		this.#setPaused(true);
	}

	resume(): void {
		this.#setPaused(false);
	}

	#setPaused(isPaused: boolean) {
		if (isPaused !== this.#isPaused) {
			this.#isPaused = isPaused;
			this.#onPause(isPaused);
		}
	}
}

/** See the module's head. */
export class PausableResponse implements Dispatcher.DispatchHandler {
	readonly #next: Dispatcher.DispatchHandler;
	readonly #method: string;
	readonly #watch: SocketWatch;
	#controller!: PausableController;
	/** The socket that the response is received on. */
	#socket: PausableSocket | undefined;
	#isFramed = true;
	/** Whether the library has reported the end: the connection may carry the next response. */
	#hasEnded = false;
	/** Whether the handler knows how the response ended. */
	#isOver = false;
	#queue: Array<() => void> = [];

	/**
	@param next - The handler; it must implement the library's current interface.
	@param method - Method of the request.
	@param watch - The watch of the connection's socket.
	*/
	constructor(next: Dispatcher.DispatchHandler, method: string, watch: SocketWatch) {
		this.#next = next;
		this.#method = method;
		this.#watch = watch;
	}

	onRequestStart(library: Dispatcher.DispatchController, context: unknown): void {
		this.#controller = new PausableController(library, isPaused => {
			this.#onPause(isPaused);
		});
		this.#socket = this.#watch.socket;
		this.#watch.beginResponse(err => {
			this.#fail(err);
		});
		this.#next.onRequestStart?.(this.#controller, context);
	}

	onResponseStart(_library: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage?: string): void {
		this.#isFramed = isFramed({method: this.#method, status, headers});
		this.#next.onResponseStart?.(this.#controller, status, headers, statusMessage);
	}

	onResponseData(_library: Dispatcher.DispatchController, bytes: Buffer): void {
		this.#deliver(() => {
			this.#next.onResponseData?.(this.#controller, bytes);
		});
	}

	onResponseEnd(_library: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
		this.#hasEnded = true;
		const wasReset = this.#isFramed ? undefined : this.#watch.wasReset();
		this.#socket?.resumeReading();
		this.#deliver(() => {
			if (wasReset) {
				void this.#endUnframed(wasReset, trailers);
			} else {
				this.#end(trailers);
			}
		});
	}

	onResponseError(_library: Dispatcher.DispatchController | undefined, err: Error): void {
		this.#fail(err);
	}

	#deliver(event: () => void) {
		if (this.#controller.paused || this.#queue.length > 0) {
			this.#queue.push(event);
		} else {
			event();
		}
	}

	#onPause(isPaused: boolean) {
		if (this.#isOver) {
			return;
		}

		if (isPaused) {
			if (!this.#hasEnded) {
				this.#socket?.pauseReading();
			}

			return;
		}

		this.#deliverQueued();
	}

	#deliverQueued() {
		while (!this.#controller.paused && this.#queue.length > 0) {
			this.#queue.shift()!();
		}

		if (!this.#controller.paused && !this.#hasEnded) {
			this.#socket?.resumeReading();
		}
	}

	async #endUnframed(wasReset: Promise<boolean>, trailers: IncomingHttpHeaders) {
		if (await wasReset) {
			this.#fail(new Error('reset within an answer without a length'));
		} else {
			this.#end(trailers);
		}
	}

	#end(trailers: IncomingHttpHeaders) {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#next.onResponseEnd?.(this.#controller, trailers);
	}

	#fail(err: Error) {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#queue = [];
		this.#next.onResponseError?.(this.#controller, err);
	}
}
