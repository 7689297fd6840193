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
const minConnections = 8;

/** Dependencies of the pools. */
export type ReplicaConnectionPoolsParts = {
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	readonly clock: Clock;
	/** Number of gateway processes that send to the replicas, including this one. */
	readonly processCount: () => number;
	/** Called with the address of a replica and bytes sent to it and received from it. */
	readonly onTransfer?: (address: string, bytes: number) => void;
	/** Called with the address of a replica and an error of the HTTP library that has ended a connection to it. */
	readonly onDefect?: (address: string, err: Error) => void;
};

/** The connection pools of all replicas. */
export class ReplicaConnectionPools implements Disposable {
	readonly #parts: ReplicaConnectionPoolsParts;
	readonly #pools = new Map<ReplicaId, ReplicaConnectionPool>();
	#createdByRemoved = 0;

	constructor(parts: ReplicaConnectionPoolsParts) {
		this.#parts = parts;
		parts.directory.onChange(({replica, change}) => {
			if (change === 'left') {
				this.#remove(replica.record.id)?.drain();
			} else if (change === 'restarted') {
				// Requests in flight at the earlier start will not be answered. A VM that lost power resets no connection, and callers would wait for the response time-out: 1.2 s for repeatable calls, and the rest of their time for others.
				this.#remove(replica.record.id)?.dispose();
			}
		});
	}

	/** Number of connections created so far, to all replicas. */
	get createdCount(): number {
		return [...this.#pools.values()].reduce((sum, {createdCount}) => sum + createdCount, this.#createdByRemoved);
	}

	/**
	@param mustBeNew - Whether kept-alive connections are excluded.
	@returns `undefined` if this process's share of the replica's connections is in use.
	*/
	acquire(replica: Replica, mustBeNew = false): ReplicaConnection | undefined {
		return this.#poolOf(replica).acquire(this.#limitFor(replica), mustBeNew);
	}

	dispose(): void {
		this.#pools.forEach(pool => {
			pool.dispose();
		});
		this.#pools.clear();
	}

	#poolOf({record}: Replica): ReplicaConnectionPool {
		const existing = this.#pools.get(record.id);
		if (existing) {
			return existing;
		}

		const {clock, onTransfer, onDefect} = this.#parts;
		const pool = new ReplicaConnectionPool(record.address, clock, {
			onTransfer(bytes) {
				onTransfer?.(record.address, bytes);
			},
			onDefect(err) {
				onDefect?.(record.address, err);
			},
		});
		this.#pools.set(record.id, pool);
		return pool;
	}

	/** A replica resets connections beyond its limit, and with them requests in flight of other processes. */
	#limitFor({record}: Replica): number {
		const {board, processCount} = this.#parts;
		const maxConnections = board.service(record.service)?.maxConnections ?? defaultMaxConnections;
		return Math.max(minConnections, Math.floor(maxConnections / Math.max(1, processCount())));
	}

	#remove(id: ReplicaId): ReplicaConnectionPool | undefined {
		const pool = this.#pools.get(id);
		this.#pools.delete(id);
		this.#createdByRemoved += pool?.createdCount ?? 0;
		return pool;
	}
}
