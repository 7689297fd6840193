/**
The connection pools of this process, one for each start of a replica: a replica that restarts, at the same address or under the same id, does not inherit the connections of its earlier start.
*/
import type {Clock, Disposable} from '../common/services.js';
import type {ConfigBoard} from './config-board.js';
import type {Replica} from './replica.js';
import {ReplicaConnectionPool, type ReplicaConnection} from './replica-connection-pool.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaId} from './types.js';

/** Connection limit for replicas of a service that is not in the configuration yet. */
const defaultMaxConnections = 64;

/** Connections to a replica that each process may have, regardless of the number of processes. */
const leastConnections = 8;

/** Dependencies of the pools. */
export type ReplicaConnectionPoolsParts = {
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	readonly clock: Clock;
	/** Number of gateway processes that send to the replicas, including this one. */
	readonly processCount: () => number;
};

/** The connection pools of all replicas. */
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
				// Requests in flight at the earlier start will not be answered. A VM that lost power resets no connection, and callers would wait for the silence time-out: 1.2 s for repeatable calls, and the rest of their time for others.
				this.#remove(replica.record.id)?.dispose();
			}
		});
	}

	/** Number of connections created so far, to all replicas. */
	get createdCount(): number {
		return [...this.#links.values()].reduce((sum, {createdCount: made}) => sum + made, this.#madeByGone);
	}

	/**
	@param mustBeNew - Whether kept-alive connections are excluded.
	@returns `undefined` if this process's share of the replica's connections is in use.
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

	/** A replica resets connections beyond its limit, and with them requests in flight of other processes. */
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
