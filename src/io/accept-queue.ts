/**
Bounds the time for which new connections wait until their process accepts them.

Node.js accepts one connection in a turn of its event loop. Where turns take long, because the process has little processor time, callers that connect faster than that wait until they give up. The process then reads requests whose callers have left, and goes on so for as long as callers try again, whatever it could serve.

Connections wait for as long as every turn of the loop accepts one. After a while, all that wait are reset: it costs this process nothing, and their callers can try another one at once.
*/
import {Server as NetServer} from 'node:net';
import type {Disposable} from '../common/services.js';
import {formatAddress} from './address.js';
import {listen} from './listen.js';

/** Connections may wait in a row for this long, in milliseconds: half of the usual latency target, so that another process can still answer in time. */
const longestWaitMs = 150;

/** See the module's head. */
export class AcceptQueue implements Disposable {
	readonly #server: NetServer;
	readonly #onReset: (waitedMs: number) => void;
	/** When the first of the turns that each accepted a connection began, in milliseconds of `performance.now()`. */
	#waitingSince: number | undefined;
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
			if (this.#waitingSince === undefined) {
				this.#waitingSince = performance.now();
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
			this.#waitingSince = undefined;
			return;
		}

		this.#hasAccepted = false;
		const waitedMs = performance.now() - this.#waitingSince!;
		if (waitedMs > longestWaitMs) {
			this.#waitingSince = undefined;
			void this.#reset(waitedMs);
			return;
		}

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

	async #listenAgain(address: string) {
		let isListening = false;
		while (!isListening && !this.#isDisposed) {
			const listening = await listen(this.#server, address);
			isListening = listening.isRight();
		}

		if (isListening && this.#isDisposed) {
			NetServer.prototype.close.call(this.#server);
		}
	}
}
