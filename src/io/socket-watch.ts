/**
Watches the socket of a connection: its reads, its errors, and whether it was reset, to verify the end of a response with neither a `content-length` nor chunked encoding: such a response is complete if its connection was closed, and truncated if it was reset.

Undici treats such a response as complete even when its connection is reset. A reset that arrives together with the last bytes is not even reported: Node reads the bytes, sees that the other side has closed, and emits an ordinary end without checking the socket error. The caller would receive a truncated response as a complete one.
*/
import type {PausableSocket} from './pausable-socket.js';

/** Ignored by a server after a response; the connection carries no further request. */
const probeBytes = '\r\n';

/** Watches the socket of one connection. */
export class SocketWatch {
	readonly #onDefect: (err: Error) => void;
	#socket: PausableSocket | undefined;
	#hasFailed = false;
	#countedBytes = 0;
	/** The number of bytes read above which the head of a response is too long, while one is awaited. */
	#headLimit = Infinity;
	#onHeadTooLong: (() => void) | undefined;
	#failResponse: ((err: Error) => void) | undefined;

	/** @param onDefect - Called with an error that the HTTP library has thrown while it handled an event of the socket. */
	constructor(onDefect: (err: Error) => void = () => undefined) {
		this.#onDefect = onDefect;
	}

	/** @param socket - Socket of the new connection; `null` if it could not be established. */
	track(socket: PausableSocket | null): void {
		this.#socket = socket ?? undefined;
		this.#hasFailed = false;
		this.#countedBytes = 0;
		this.expectNoHead();
		socket?.once('error', () => {
			this.#hasFailed = true;
		});
		socket?.on('readable', () => {
			this.#checkHead();
		});
		socket?.onDefect(err => {
			this.#onDefect(err);
			this.#failResponse?.(err);
		});
	}

	/** `undefined` until the connection has been established. */
	get socket(): PausableSocket | undefined {
		return this.#socket;
	}

	/**
	The next response is awaited.

	@param fail - Called if the connection ends because of an error in the HTTP library, which may then report nothing itself.
	*/
	beginResponse(fail: (err: Error) => void): void {
		this.#failResponse = fail;
	}

	/**
	Bounds the head of the next response, interim responses included. The parser's own bound covers header lines only: a reason phrase, or a series of interim responses, may go on for ever.

	@param onTooLong - Called at most once, if more bytes were read before {@link expectNoHead} is called.
	*/
	expectHead(maxBytes: number, onTooLong: () => void): void {
		this.#headLimit = (this.#socket?.bytesRead ?? 0) + maxBytes;
		this.#onHeadTooLong = onTooLong;
	}

	/** The head has been received, or is no longer awaited. */
	expectNoHead(): void {
		this.#headLimit = Infinity;
	}

	/** @returns Bytes sent and received on the connection since the last call. */
	takeTransferredBytes(): number {
		const {bytesRead = 0, bytesWritten = 0} = this.#socket ?? {};
		const bytes = bytesRead + bytesWritten - this.#countedBytes;
		this.#countedBytes += bytes;
		return bytes;
	}

	/** Whether the server reset the connection instead of closing it. Must be called at the end of a response, before the socket is used otherwise. The check is a write, which fails immediately on a connection that was reset and succeeds on one that was closed. */
	async wasReset(): Promise<boolean> {
		const socket = this.#socket;
		if (!socket || this.#hasFailed) {
			return true;
		}

		return new Promise(resolve => {
			socket.write(probeBytes, err => {
				resolve(Boolean(err) || this.#hasFailed);
			});
		});
	}

	/** What has been read may include the head and a long part of the body, so the parser gets it first. */
	#checkHead() {
		if ((this.#socket?.bytesRead ?? 0) <= this.#headLimit) {
			return;
		}

		setImmediate(() => {
			if ((this.#socket?.bytesRead ?? 0) > this.#headLimit) {
				this.expectNoHead();
				this.#onHeadTooLong?.();
			}
		});
	}
}
