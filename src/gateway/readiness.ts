/**
Whether this process accepts new connections: it needs a configuration and at least one replica, and must not be shutting down. Without a configuration, it could not distinguish a route that does not exist from one that it has not received yet.
*/
import type {NodeLifecycle} from '../common/node-lifecycle.js';
import type {EventLog} from '../common/services.js';
import type {ConfigBoard} from './config-board.js';
import {gatewayEvents} from './log-events.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** Dependencies of the readiness check. */
export type ReadinessParts = {
	readonly lifecycle: NodeLifecycle;
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	readonly log: EventLog;
};

/** Why a process is not ready; empty when it is. */
export type NotReadyReason = '' | 'leaving' | 'no configuration' | 'no replica';

/** The readiness check; it logs each change. */
export class Readiness {
	readonly #parts: ReadinessParts;
	#lastLoggedReason: NotReadyReason | undefined;

	constructor(parts: ReadinessParts) {
		this.#parts = parts;
	}

	get isReady(): boolean {
		const reason = this.#reason();
		if (reason !== this.#lastLoggedReason) {
			this.#lastLoggedReason = reason;
			this.#parts.log.emit(gatewayEvents.readinessChanged, {ready: reason === '', reason});
		}

		return reason === '';
	}

	#reason(): NotReadyReason {
		const {lifecycle, board, directory} = this.#parts;
		if (!lifecycle.isServing) {
			return 'leaving';
		}

		if (!board.config) {
			return 'no configuration';
		}

		return directory.size === 0 ? 'no replica' : '';
	}
}
