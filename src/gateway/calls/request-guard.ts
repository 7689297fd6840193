/**
Contains errors that nobody foresaw in the handling of one request: the request is ended, the error is logged with its stack and counted, and the process goes on. It is used where a request is handled outside of any table that requests share, such as in a timer or after a wait; an error within such a table stops the process, since its state can't be trusted any more.
*/
import type {EventLog, Metrics} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';

/** What is being handled. */
export type GuardedRequest = {
	readonly kind: 'call' | 'item' | 'request';
	/** Called only after an error. */
	readonly id: () => string;
};

/** Dependencies of the guard. */
export type RequestGuardParts = {
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** See the module's head. */
export class RequestGuard {
	readonly #parts: RequestGuardParts;
	readonly #request: GuardedRequest;
	readonly #endRequest: () => void;

	/** @param endRequest - Ends the request after an error; it must cope with any state of the request. */
	constructor(parts: RequestGuardParts, request: GuardedRequest, endRequest: () => void) {
		this.#parts = parts;
		this.#request = request;
		this.#endRequest = endRequest;
	}

	/** Runs a part of the handling; nobody waits for its end. */
	run(work: () => void | Promise<void>): void {
		try {
			const pending = work();
			pending?.catch((err: unknown) => {
				this.#handle(err);
			});
		} catch (err) {
			this.#handle(err);
		}
	}

	/** @returns A function that runs the work under the guard, for listeners and timers. The work must not be asynchronous: listeners are called for each chunk of a stream. */
	wrap<Arguments extends unknown[]>(work: (...args: Arguments) => void): (...args: Arguments) => void {
		return (...args) => {
			try {
				work(...args);
			} catch (err) {
				this.#handle(err);
			}
		};
	}

	#handle(err: unknown) {
		const {log, metrics} = this.#parts;
		const {message, stack} = err instanceof Error ? err : new Error(String(err));
		log.emit(gatewayEvents.requestDefect, {
			kind: this.#request.kind, id: this.#request.id(), reason: message, stack,
		});
		metrics.count('gateway.requestDefects', 1, {kind: this.#request.kind});
		try {
			this.#endRequest();
		} catch (err_) {
			log.emit(gatewayEvents.requestDefect, {kind: this.#request.kind, id: this.#request.id(), reason: `it could not be ended: ${String(err_)}`});
		}
	}
}
