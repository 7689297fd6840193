/**
Whether this process accepts new connections: it needs a configuration and at least one replica, and must not be shutting down. Without a configuration, it could not distinguish a route that does not exist from one that it has not received yet.
*/
import {EventEmitter} from 'node:events';
import type {NodeLifecycle} from '../../common/node-lifecycle.js';
import type {ConfigBoard} from '../config-board.js';
import type {ReplicaDirectory} from '../replica-directory.js';

/** Dependencies of the readiness check. */
export type ReadinessParts = {
	readonly lifecycle: NodeLifecycle;
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
};

/** Why a process is not ready; empty when it is. */
export type NotReadyReason = '' | 'starting' | 'leaving' | 'no configuration' | 'no replica';

/** The readiness check; it emits each change when it is next read. */
export class Readiness {
	readonly #parts: ReadinessParts;
	readonly #events = new EventEmitter();
	#lastReason: NotReadyReason | undefined;

	constructor(parts: ReadinessParts) {
		this.#parts = parts;
	}

	get isReady(): boolean {
		return this.reason === '';
	}

	/** Why the process is not ready; empty when it is. */
	get reason(): NotReadyReason {
		const reason = this.#reason();
		if (reason !== this.#lastReason) {
			this.#lastReason = reason;
			this.#events.emit('change', reason);
		}

		return reason;
	}

	/** Calls the listener with the first reason that is read, and with each change. */
	onChange(listener: (reason: NotReadyReason) => void): void {
		this.#events.on('change', listener);
	}

	#reason(): NotReadyReason {
		const {lifecycle, board, directory} = this.#parts;
		if (lifecycle.isLeaving) {
			return 'leaving';
		}

		if (!lifecycle.isServing) {
			return 'starting';
		}

		if (!board.config) {
			return 'no configuration';
		}

		return directory.size === 0 ? 'no replica' : '';
	}
}
