/**
The connections of this process to all replicas, kept by start: a replica that starts again, at the same address or under the same id, begins without the connections of the start before.
*/
import type {Clock, Disposable} from '../common/services.js';
import type {ConfigBoard} from './config-board.js';
import type {Replica} from './replica.js';
import {ReplicaConnectionPool, type ReplicaConnection} from './replica-connection-pool.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaId} from './types.js';

/** Connections to a replica of a service that no configuration names yet. */
const defaultMaxConnections = 64;

/** However many processes share a replica, each may hold this many connections to it. */
const leastConnections = 8;

/** What the links are made of. */
export type ReplicaConnectionPoolsParts = {
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	readonly clock: Clock;
	/** How many processes of the gateway send to the replicas, this one included. */
	readonly processCount: () => number;
};

/** See the module's head. */
export class ReplicaConnectionPools implements Disposable {
	readonly #parts: ReplicaConnectionPoolsParts;
	readonly #links = new Map<ReplicaId, ReplicaConnectionPool>();
	#madeByGone = 0;

	constructor(parts: ReplicaConnectionPoolsParts) {
		this.#parts = parts;
		parts.directory.onChange(({replica, change}) => {
			if (change === 'left') {
				this.#remove(replica.record.id)?.drain();
			} else if (change === 'restarted') {
				// Nobody is left to answer what is under way. A VM that lost its power resets nothing, and callers would wait until the silence is noticed, 1.2 s for calls that may be repeated and to the end of their time for others.
				this.#remove(replica.record.id)?.dispose();
			}
		});
	}

	/** Connections made so far, to all replicas. */
	get createdCount(): number {
		return [...this.#links.values()].reduce((sum, {createdCount: made}) => sum + made, this.#madeByGone);
	}

	/**
	@param mustBeNew - Whether a kept connection will not do.
	@returns Nothing when this process's share of the replica's connections is in use.
	*/
	acquire(replica: Replica, mustBeNew = false): ReplicaConnection | undefined {
		return this.#connectionsTo(replica).acquire(this.#shareOf(replica), mustBeNew);
	}

	dispose(): void {
		this.#links.forEach(connections => {
			connections.dispose();
		});
		this.#links.clear();
	}

	#connectionsTo({record}: Replica): ReplicaConnectionPool {
		const known = this.#links.get(record.id);
		if (known) {
			return known;
		}

		const connections = new ReplicaConnectionPool(record.address, this.#parts.clock);
		this.#links.set(record.id, connections);
		return connections;
	}

	/** A replica resets connections beyond its limit, and with them requests that others have under way. */
	#shareOf({record}: Replica): number {
		const {board, processCount: sharers} = this.#parts;
		const all = board.service(record.service)?.maxConnections ?? defaultMaxConnections;
		return Math.max(leastConnections, Math.floor(all / Math.max(1, sharers())));
	}

	#remove(id: ReplicaId): ReplicaConnectionPool | undefined {
		const connections = this.#links.get(id);
		this.#links.delete(id);
		this.#madeByGone += connections?.createdCount ?? 0;
		return connections;
	}
}
