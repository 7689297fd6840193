/**
One start of a replica as this process sees it: its registration, the requests in flight on it, and whether recent connections to it failed. A replica that restarts under its id is represented by a new object: neither the counts nor the backoff of the earlier start apply to it.
*/
import {RecentOutcomes} from './contacts/recent-outcomes.js';
import {ReplicaPace} from './placement/replica-pace.js';
import type {MemberName, ReplicaRecord} from './types.js';

/** Requests in flight at a replica. */
export type ReplicaLoad = {
	readonly online: number;
	readonly batch: number;
};

const noLoad: ReplicaLoad = {online: 0, batch: 0};

/**
Backoff after a failed connection, in milliseconds: the initial one, doubled after each further failure up to the maximum. The initial one is a few times the round trip within a region, so that the reset of a single connection costs its replica little; the maximum is about the time that a crashed process takes to restart.
*/
const initialBackoffMs = 250;
const maxBackoffMs = 2000;

/** A replica that declined an item gets no items for this long, in milliseconds. Each peer announces its load several times within it, so that the cached load is correct afterwards. */
const fullPeriodMs = 300;

/** Mutable state of a replica, written by its directory and by the requests in flight. */
export class Replica {
	/** Online calls and batch items of this process in flight. */
	online = 0;
	batch = 0;
	record: ReplicaRecord;
	/** Recent outcomes of requests of this process and its peers. */
	readonly outcomes = new RecentOutcomes();
	/** How fast it generates, as far as the streams of this process and its peers show. */
	readonly pace = new ReplicaPace();
	/** Times at which data was last received from it on any connection, and at which a probe connection last succeeded; in milliseconds on the monotonic clock. */
	heardAt = -Infinity;
	probeSucceededAt = -Infinity;
	/** Since when its registration has been missing, in milliseconds on the monotonic clock; `undefined` while it exists. */
	missingSince: number | undefined;
	readonly #peers = new Map<MemberName, ReplicaLoad>();
	#peerOnline = 0;
	#peerBatch = 0;
	#consecutiveFailures = 0;
	#backoffUntil = 0;
	#fullUntil = 0;

	constructor(record: ReplicaRecord) {
		this.record = record;
	}

	/** Online requests in flight of this process and its peers. */
	get allOnline(): number {
		return this.online + this.#peerOnline;
	}

	/** Batch items in flight of this process and its peers. */
	get allBatch(): number {
		return this.batch + this.#peerBatch;
	}

	/** All requests in flight. */
	get total(): number {
		return this.allOnline + this.allBatch;
	}

	/** Peers that have batch items in flight here, with their number. */
	get peersWithItems(): Array<[MemberName, number]> {
		return [...this.#peers].filter(([, {batch}]) => batch > 0).map(([peer, {batch}]) => [peer, batch]);
	}

	/** Replaces the load that a peer announced for this replica. */
	setPeerLoad(peer: MemberName, load: ReplicaLoad = noLoad): void {
		const before = this.#peers.get(peer) ?? noLoad;
		this.#peerOnline += load.online - before.online;
		this.#peerBatch += load.batch - before.batch;
		if (load.online === 0 && load.batch === 0) {
			this.#peers.delete(peer);
		} else {
			this.#peers.set(peer, load);
		}
	}

	/** @param now - Milliseconds on the monotonic clock. @returns Whether the replica is within a backoff. */
	isBackedOff(now: number): boolean {
		return now < this.#backoffUntil;
	}

	/** No connection can be made. The backoff lasts until one can, see `ReplicaReachability`. */
	noteUnreachable(): void {
		this.#backoffUntil = Infinity;
	}

	/**
	A connection became unresponsive, or the address belongs to another replica. A longer backoff is never shortened: requests that were sent before the replica was found unreachable time out after that, and must not make it eligible again.
	*/
	noteFailure(now: number): void {
		this.#consecutiveFailures += 1;
		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** (this.#consecutiveFailures - 1)));
		this.#backoffUntil = Math.max(this.#backoffUntil, now + backoffMs);
	}

	/** The replica declined an item for lack of a slot, so the cached load is outdated. */
	noteFull(now: number): void {
		this.#fullUntil = now + fullPeriodMs;
	}

	/** Whether batch items are to be sent elsewhere for now. */
	isFull(now: number): boolean {
		return now < this.#fullUntil;
	}

	/** The replica answered, which ends the backoff. */
	noteAnswer(): void {
		this.#consecutiveFailures = 0;
		this.#backoffUntil = 0;
	}
}

/** Number of slots of all the replicas. */
export const slotsOf = (replicas: readonly Replica[]): number => replicas.reduce((sum, {record: {slots}}) => sum + slots, 0);

/** Number of online calls in flight at all the replicas. */
export const onlineOf = (replicas: readonly Replica[]): number => replicas.reduce((sum, {allOnline}) => sum + allOnline, 0);
