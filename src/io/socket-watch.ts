/**
Knows a connection's socket and whether it has failed, for the end of an answer that tells neither its length nor its pieces: such an answer is whole if its connection was closed, and cut if it was reset.

Undici takes such an answer for complete when its connection is reset, and a reset that arrives together with the last bytes is not even reported as one: Node reads the bytes, sees that the other side is gone, and tells an ordinary end without looking at the socket's error. The caller would get half of an answer as a whole one.
*/
import type {Socket} from 'node:net';

/** Means nothing after an answer, and the connection carries no further request. */
const harmlessBytes = '\r\n';

/** See the module's head. */
export class SocketWatch {
	#socket: Socket | undefined;
	#hasFailed = false;

	/** @param socket - The connection's; it has to stay writable after the other end has closed (`allowHalfOpen`). `null`: the connection could not be made. */
	follow(socket: Socket | null): void {
		this.#socket = socket ?? undefined;
		this.#hasFailed = false;
		socket?.once('error', () => {
			this.#hasFailed = true;
		});
	}

	/** Whether the other end reset the connection rather than ended it; to be asked at the end of an answer, before anything else happens to the socket. A write settles it: on a connection that was reset it fails at once, on one that was closed it succeeds. */
	async wasReset(): Promise<boolean> {
		const socket = this.#socket;
		if (!socket || this.#hasFailed) {
			return true;
		}

		return new Promise(resolve => {
			socket.write(harmlessBytes, err => {
				resolve(Boolean(err) || this.#hasFailed);
			});
		});
	}
}
