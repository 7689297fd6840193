/**
Writes an event stream (`text/event-stream`) with heartbeats, so that its reader can distinguish a pause between events from an unresponsive connection.
*/
import type {ServerResponse} from 'node:http';
import type {Disposable} from '../common/services.js';

/** Milliseconds between heartbeats on an idle stream. */
export const heartbeatMs = 250;

/** An event stream over one HTTP response. */
export class SseWriter implements Disposable {
	readonly #res: ServerResponse;
	readonly #timer: NodeJS.Timeout;
	#sentSinceTick = true;

	constructor(res: ServerResponse) {
		this.#res = res;
		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		res.flushHeaders();
		this.#timer = setInterval(() => {
			this.#sendHeartbeat();
		}, heartbeatMs);
	}

	/** Sends one event. `data` must not contain line breaks. */
	send(event: string, data: string, id?: number): void {
		this.#sentSinceTick = true;
		const idLine = id === undefined ? '' : `id: ${id}\n`;
		this.#res.write(`event: ${event}\n${idLine}data: ${data}\n\n`);
	}

	/** Stops the heartbeats and ends the response. */
	end(): void {
		this.dispose();
		this.#res.end();
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#sendHeartbeat() {
		if (!this.#sentSinceTick) {
			this.#res.write(':\n\n');
		}

		this.#sentSinceTick = false;
	}
}
