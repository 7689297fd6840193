/**
A TCP socket for the HTTP library whose reader can be paused below the library.

The library has a pause of its own, in its parser. It asserts that its parser is not paused when a connection ends, and the end of a connection may arrive at any time. Here, a paused socket returns no data and does not report its end; bytes that arrive wait in the buffers of the socket and of the operating system.

An error that a listener of the socket throws, such as a failed assertion of the library, ends this connection only. The library shares no state between connections that such an error could leave half changed.
*/
import {Socket, type SocketConstructorOpts} from 'node:net';
import {TimeLimit} from './time-limit.js';

/** Bytes that are buffered while the reader is paused, before the sender is slowed down. */
const highWaterMark = 65_536;

/** Idle time after which the operating system checks whether the other side still exists, in milliseconds. */
const keepAliveDelayMs = 60_000;

/** Code of the error of a connection that was not established in time, as the HTTP library has it. */
export const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';

/** See the module's head. */
export class PausableSocket extends Socket {
	#isPaused = false;
	#onDefect: ((err: Error) => void) | undefined;

	/** The socket stays writable after the other side has closed, so that a reset can still be detected. */
	constructor() {
		super({allowHalfOpen: true, highWaterMark} as SocketConstructorOpts);
	}

	/** @param listener - Called with an error that a listener of the socket has thrown; the socket is then destroyed. */
	onDefect(listener: (err: Error) => void): void {
		this.#onDefect = listener;
	}

	/** From now on, no data and no end is read. */
	pauseReading(): void {
		this.#isPaused = true;
	}

	/** Goes on reading after the current event: the library must not be called back while it handles one. */
	resumeReading(): void {
		if (!this.#isPaused) {
			return;
		}

		this.#isPaused = false;
		queueMicrotask(() => {
			if (!this.#isPaused && !this.destroyed) {
				this.emit('readable');
			}
		});
	}

	override read(size?: number): unknown {
		return this.#isPaused ? null : super.read(size);
	}

	override emit(event: string | symbol, ...args: unknown[]): boolean {
		try {
			return super.emit(event, ...args);
		} catch (err) {
			this.destroy();
			this.#onDefect?.(err instanceof Error ? err : new Error(String(err)));
			return true;
		}
	}
}

type ConnectTarget = {readonly hostname: string; readonly port: string};

type ConnectCallback = (...outcome: [err: null, socket: PausableSocket] | [err: Error, socket: null]) => void;

/**
Makes connections for the HTTP library.

@param timeoutMs - Time limit of one connection, in milliseconds.
*/
export const connectorOf = (timeoutMs: number) => ({hostname, port}: ConnectTarget, callback: ConnectCallback): void => {
	const socket = new PausableSocket();
	const limit = new TimeLimit(timeoutMs, () => {
		socket.destroy(Object.assign(new Error(`no connection within ${timeoutMs} ms`), {code: connectTimeoutCode}));
	});
	const onFailed = (err: Error) => {
		limit.dispose();
		callback(err, null);
	};

	socket.once('error', onFailed);
	socket.once('connect', () => {
		limit.dispose();
		socket.off('error', onFailed);
		callback(null, socket);
	});
	socket.setKeepAlive(true, keepAliveDelayMs);
	socket.setNoDelay(true);
	socket.connect({host: hostname, port: Number(port || 80)});
};
