/**
One start of a replica as this process sees it: its registration, what runs on it, and whether its recent connections failed. A replica that starts again under its id is another object: nothing that was counted or feared of the earlier start holds for it.
*/
import {RecentOutcomes} from './contacts/recent-outcomes.js';
import type {MemberName, ReplicaRecord} from './types.js';

/** Requests in flight at a replica. */
export type ReplicaLoad = {
	readonly online: number;
	readonly batch: number;
};

const nothing: ReplicaLoad = {online: 0, batch: 0};

/**
A replica that could not be reached is left alone for this long, and twice as long after each further failure, up to the ceiling, in milliseconds. The first figure is a few times the round trip within a region, so that a reset of one connection costs its replica little; the ceiling is about what a crashed process takes to come back.
*/
const firstDoubtMs = 250;
const maxDoubtMs = 2000;

/** A replica that declined an item gets none for this long, in milliseconds: several messages of each peer, so that its true load is known by then. */
const fullMs = 300;

/** A replica, mutable: its table and the requests under way write it. */
export class Replica {
	/** Own requests in flight. */
	online = 0;
	batch = 0;
	record: ReplicaRecord;
	/** How requests have ended here of late, this process's and its peers'. */
	readonly outcomes = new RecentOutcomes();
	/** When something last came from it, on any connection, and when a connection made for the question last showed that it can be reached; in milliseconds on the monotonic clock. */
	heardAt = -Infinity;
	probeSucceededAt = -Infinity;
	/** Since when its registration has been missing, in milliseconds on the monotonic clock; `undefined` while it is there. */
	missingSince: number | undefined;
	readonly #peers = new Map<MemberName, ReplicaLoad>();
	#peerOnline = 0;
	#peerBatch = 0;
	#doubts = 0;
	#doubtedUntil = 0;
	#fullUntil = 0;

	constructor(record: ReplicaRecord) {
		this.record = record;
	}

	/** Online requests in flight, this process's and its peers'. */
	get allOnline(): number {
		return this.online + this.#peerOnline;
	}

	/** Batch items in flight, this process's and its peers'. */
	get allBatch(): number {
		return this.batch + this.#peerBatch;
	}

	/** All requests in flight. */
	get total(): number {
		return this.allOnline + this.allBatch;
	}

	/** Which peers have batch items in flight here, and how many. */
	get peersWithItems(): Array<[MemberName, number]> {
		return [...this.#peers].filter(([, {batch}]) => batch > 0).map(([peer, {batch}]) => [peer, batch]);
	}

	/** Takes over what a peer says it has in flight here. */
	setPeerLoad(peer: MemberName, load: ReplicaLoad = nothing): void {
		const before = this.#peers.get(peer) ?? nothing;
		this.#peerOnline += load.online - before.online;
		this.#peerBatch += load.batch - before.batch;
		if (load.online === 0 && load.batch === 0) {
			this.#peers.delete(peer);
		} else {
			this.#peers.set(peer, load);
		}
	}

	/** @param now - Milliseconds on the monotonic clock. */
	isBackedOff(now: number): boolean {
		return now < this.#doubtedUntil;
	}

	/** No connection can be made. It is doubted until one can, see `ReplicaContacts`. */
	noteUnreachable(): void {
		this.#doubtedUntil = Infinity;
	}

	/**
	A connection went silent, or its address belongs to another. A longer doubt stands: requests that were sent before the replica was found unreachable go silent after it, and must not bring callers back to it.
	*/
	noteFailure(now: number): void {
		this.#doubts += 1;
		const doubtMs = Math.min(maxDoubtMs, firstDoubtMs * (2 ** (this.#doubts - 1)));
		this.#doubtedUntil = Math.max(this.#doubtedUntil, now + doubtMs);
	}

	/** The replica declined an item for lack of a place; what is known of its load lags behind. */
	noteFull(now: number): void {
		this.#fullUntil = now + fullMs;
	}

	/** Whether items are to go elsewhere for now. */
	isFull(now: number): boolean {
		return now < this.#fullUntil;
	}

	noteAnswer(): void {
		this.#doubts = 0;
		this.#doubtedUntil = 0;
	}
}
