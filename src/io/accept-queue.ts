/**
Bounds the time for which new connections wait until their process accepts them.

Node.js accepts one connection in a turn of its event loop. Where turns take long, because the process has little processor time, callers that connect faster than that wait until they give up. The process then reads requests whose callers have left, and goes on so for as long as callers try again, whatever it could serve.

Connections wait for as long as every turn of the loop accepts one. After a while, all that wait are reset: it costs this process nothing, and their callers can try another one at once.
*/
import {Server as NetServer} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import type {Disposable} from '../common/services.js';
import {formatAddress} from './address.js';
import {listen} from './listen.js';

/** Connections may wait in a row for this long, in milliseconds: half of the usual latency target, so that another process can still answer in time. */
const longestWaitMs = 150;

/** After fewer turns, the process has rather stood still for once than lacked time. */
const leastTurns = 4;

const retryMs = 50;

/** See the module's head. */
export class AcceptQueue implements Disposable {
	readonly #server: NetServer;
	readonly #onReset: (waitedMs: number) => void;
	/** Turns in a row that each accepted a connection; 0 if nobody is known to wait. */
	#turns = 0;
	/** End of the first of them, in milliseconds of `performance.now()`. */
	#waitingSince = 0;
	#hasAccepted = false;
	#isDisposed = false;

	/**
	@param server - A server that listens on a TCP address, or will.
	@param onReset - Called after the waiting connections were reset, with the time for which some have waited, in milliseconds.
	*/
	constructor(server: NetServer, onReset: (waitedMs: number) => void) {
		this.#server = server;
		this.#onReset = onReset;
		server.on('connection', () => {
			this.#hasAccepted = true;
			if (this.#turns === 0) {
				this.#turns = 1;
				this.#checkAfterTurn();
			}
		});
	}

	/** Resets no more connections. To be called before the server is closed. */
	dispose(): void {
		this.#isDisposed = true;
	}

	/** An immediate runs after the turn's connections were accepted. */
	#checkAfterTurn() {
		setImmediate(() => {
			this.#check();
		});
	}

	#check() {
		if (!this.#hasAccepted || this.#isDisposed) {
			this.#turns = 0;
			return;
		}

		this.#hasAccepted = false;
		const now = performance.now();
		if (this.#turns === 1) {
			this.#waitingSince = now;
		}

		const waitedMs = now - this.#waitingSince;
		if (waitedMs > longestWaitMs && this.#turns >= leastTurns) {
			this.#turns = 0;
			void this.#reset(waitedMs);
			return;
		}

		this.#turns += 1;
		this.#checkAfterTurn();
	}

	/** The system resets the connections that wait at a socket that stops listening. */
	async #reset(waitedMs: number) {
		const bound = this.#server.address();
		if (bound === null || typeof bound === 'string') {
			return;
		}

		// The method of `http.Server` would end idle connections, too.
		NetServer.prototype.close.call(this.#server);
		this.#onReset(waitedMs);
		await this.#listenAgain(formatAddress({host: bound.address, port: bound.port}));
	}

	/** An attempt may fail, for instance for lack of descriptors. */
	async #listenAgain(address: string) {
		await listen(this.#server, address);
		while (!this.#server.listening && !this.#isDisposed) {
			await pause(retryMs);
			await listen(this.#server, address);
		}

		if (this.#isDisposed) {
			NetServer.prototype.close.call(this.#server);
		}
	}
}
