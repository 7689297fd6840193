/**
Who holds how many places: each request in flight is counted at its replica from before it is sent until its attempt has ended, and whoever shares or frees places hears of each change.
*/
import {EventEmitter} from 'node:events';
import type {Replica} from './replica.js';

/** What a place is taken for. */
export type LoadKind = 'online' | 'batch';

/** Counts requests in flight. */
export class LoadBoard {
	readonly #events = new EventEmitter();
	#online = 0;
	#batch = 0;

	/** Own online requests in flight, at all replicas. */
	get online(): number {
		return this.#online;
	}

	/** Own batch items in flight, at all replicas. */
	get batch(): number {
		return this.#batch;
	}

	/**
	Takes a place.

	@returns Gives it back; a second call changes nothing.
	*/
	acquireSlot(replica: Replica, kind: LoadKind): () => void {
		this.#add(replica, kind, 1);
		let isTaken = true;
		return () => {
			if (isTaken) {
				isTaken = false;
				this.#add(replica, kind, -1);
			}
		};
	}

	/** A peer's count at a replica has changed. */
	notifyPeerChange(replica: Replica): void {
		this.#events.emit('peers', replica);
	}

	/** Calls the listener when this process's own count at a replica has changed. */
	onLocalChange(listener: (replica: Replica) => void): void {
		this.#events.on('own', listener);
	}

	/** Calls the listener when a peer's count at a replica has changed. */
	onPeerChange(listener: (replica: Replica) => void): void {
		this.#events.on('peers', listener);
	}

	#add(replica: Replica, kind: LoadKind, count: number) {
		replica[kind] += count;
		if (kind === 'online') {
			this.#online += count;
		} else {
			this.#batch += count;
		}

		this.#events.emit('own', replica);
	}
}
