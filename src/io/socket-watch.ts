/**
Tracks the socket of a connection and detects whether it was reset, to verify the end of a response with neither a `content-length` nor chunked encoding: such a response is complete if its connection was closed, and truncated if it was reset.

Undici treats such a response as complete even when its connection is reset. A reset that arrives together with the last bytes is not even reported: Node reads the bytes, sees that the other side has closed, and emits an ordinary end without checking the socket error. The caller would receive a truncated response as a complete one.
*/
import type {Socket} from 'node:net';

/** Ignored by a server after a response; the connection carries no further request. */
const probeBytes = '\r\n';

/** Detects a reset of a connection. */
export class SocketWatch {
	#socket: Socket | undefined;
	#hasFailed = false;
	#countedBytes = 0;
	/** The number of bytes read above which the head of a response is too long, while one is awaited. */
	#headLimit = Infinity;
	#onHeadTooLong: (() => void) | undefined;

	/** @param socket - Socket of the new connection; it must stay writable after the server has closed its side (`allowHalfOpen`). `null` if the connection could not be established. */
	track(socket: Socket | null): void {
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
