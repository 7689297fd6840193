/**
Counts the slots in use: each request in flight is counted at its replica from before it is sent until its attempt has ended. Listeners are notified of each change, so that loads are announced to peers and freed slots are reused.
*/
import {EventEmitter} from 'node:events';
import type {Replica} from './replica.js';

/** What a slot is used for. */
export type LoadKind = 'online' | 'batch';

/** Counts requests in flight, in total and per replica. */
export class LoadBoard {
	readonly #events = new EventEmitter();
	#online = 0;
	#batch = 0;

	/** Online requests of this process in flight, at all replicas. */
	get online(): number {
		return this.#online;
	}

	/** Batch items of this process in flight, at all replicas. */
	get batch(): number {
		return this.#batch;
	}

	/**
	Acquires a slot.

	@returns Releases the slot; a second call has no effect.
	*/
	acquireSlot(replica: Replica, kind: LoadKind): () => void {
		if (kind === 'online') {
			this.#events.emit('online', replica);
		}

		this.#add(replica, kind, 1);
		let isHeld = true;
		return () => {
			if (isHeld) {
				isHeld = false;
				this.#add(replica, kind, -1);
			}
		};
	}

	/** Notifies listeners that a peer's count at a replica has changed. */
	notifyPeerChange(replica: Replica): void {
		this.#events.emit('peers', replica);
	}

	/** Calls the listener with the replica of each online call that this process sends. */
	onOnlineCall(listener: (replica: Replica) => void): void {
		this.#events.on('online', listener);
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
