/**
Stores in the object API which requests, and which prompt parts, crash the replicas that run them. All processes of the gateway may be killed at the same moment; without a record, each of them would crash more replicas after each such restart.

A record is written as soon as its request is held back, or once its part has been for a moment. Deleting the record releases it at every process.
*/
import {rankMembers} from '../../common/rendezvous.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import type {ApiError, StoredObject} from '../../common/types.js';
import type {Revision} from '../../common/ids.js';
import {errorOf} from '../../common/error-of.js';
import {
	isNonNegativeNumber, isNonEmptyString, listOf, objectOf, optional,
} from '../../common/field-validators.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {MemberName} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import type {ReplicaStart} from './crash-history.js';
import type {PartQuarantine} from './part-quarantine.js';
import {isPartKey, type PartKey} from './prompt-part-keys.js';
import type {Quarantine} from './quarantine.js';

/** What a record is about; the name of the object. */
export type QuarantinedKey = ContentDigest | PartKey;

/** The stored value of a `Quarantine` object. */
export type QuarantineRecord = {
	/** Replicas that ended while running the request or requests with the part, and tests of the part. */
	readonly starts: readonly ReplicaStart[];
	/** The processes that saw them; not recorded for requests. */
	readonly seenBy?: readonly MemberName[];
	/** When the last one ended, in milliseconds of the wall clock. */
	readonly lastCrashAt: number;
};

/** Dependencies of the records. */
export type QuarantineRecordsParts = {
	readonly self: MemberName;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly feed: ObjectFeed;
	readonly api: ObjectApi;
	readonly peers: PeerTable;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Interval at which outstanding writes and removals are retried, in milliseconds: the object API may be unavailable most of the time, and all processes may be killed soon. */
const retryIntervalMs = 200;

/** The first process of the ranking writes a record at once; after this long, in milliseconds, any process does, since the first may be partitioned from the object API. */
const takeoverMs = 2000;

/** The part of a quarantine that is stored. */
type StoredTable<K extends QuarantinedKey> = {
	readonly held: readonly K[];
	crashesOf(key: K): Pick<QuarantineRecord, 'starts' | 'seenBy'> & {readonly agoMs: number};
	restore(key: K, record: QuarantineRecord, agoMs: number): void;
	clear(key: K, reason: string): void;
	deleteExpired(): void;
	onHeld(listener: () => void): void;
	onCleared(listener: (key: K) => void): void;
};

/** Parts that merely stand beside the cause are cleared within this time, in milliseconds; a record of them would only have to be removed again. */
const partSettleMs = 400;

type StoredRecord = {readonly version: Revision; readonly crashes: number};

/** Whether a value is a {@link QuarantineRecord}. */
export const isQuarantineRecord = objectOf({starts: listOf(isNonEmptyString), seenBy: optional(listOf(isNonEmptyString)), lastCrashAt: isNonNegativeNumber});

/** See the module's head. */
export class QuarantineRecords implements Disposable {
	readonly #parts: QuarantineRecordsParts;
	readonly #records = new Map<QuarantinedKey, StoredRecord>();
	/** Requests and parts that were released and whose records are still to be removed. */
	readonly #releases = new Set<QuarantinedKey>();
	readonly #heldSince = new Map<QuarantinedKey, number>();
	#timer: NodeJS.Timeout | undefined;
	#isBusy = false;

	constructor(parts: QuarantineRecordsParts) {
		this.#parts = parts;
		const {feed} = parts;
		feed.onSnapshot(items => {
			const present = new Set(items.map(({name}) => name));
			[...this.#records.keys()].filter(key => !present.has(key)).forEach(key => {
				this.#noteRemoved(key);
			});
			items.forEach(item => {
				this.#apply(item);
			});
		});
		feed.onChanges(events => {
			events.forEach(({type, name, value, version}) => {
				if (type === 'put') {
					this.#apply({name, value, version});
				} else {
					this.#noteRemoved(name as QuarantinedKey);
				}
			});
		});
		this.#tables.forEach(table => {
			table.onHeld(() => {
				void this.#reconcile();
			});
			table.onCleared(key => {
				if (this.#records.delete(key)) {
					this.#releases.add(key);
				}
			});
		});
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#tables.forEach(table => {
				table.deleteExpired();
			});
			void this.#reconcile();
		}, retryIntervalMs);
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	get #tables(): ReadonlyArray<StoredTable<QuarantinedKey>> {
		const {quarantine, partQuarantine} = this.#parts;
		return [quarantine, partQuarantine];
	}

	#tableOf(key: QuarantinedKey): StoredTable<QuarantinedKey> {
		const {quarantine, partQuarantine} = this.#parts;
		return isPartKey(key) ? partQuarantine : quarantine;
	}

	#apply({name, value, version}: Pick<StoredObject, 'name' | 'value' | 'version'>) {
		if (!isQuarantineRecord(value)) {
			this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content: name, reason: 'the record is invalid'});
			return;
		}

		const key = name as QuarantinedKey;
		if (this.#releases.has(key)) {
			return;
		}

		const record = value as QuarantineRecord;
		this.#records.set(key, {version, crashes: record.starts.length});
		this.#tableOf(key).restore(key, record, this.#parts.clock.wall() - record.lastCrashAt);
	}

	#noteRemoved(key: QuarantinedKey) {
		this.#releases.delete(key);
		if (this.#records.delete(key)) {
			this.#tableOf(key).clear(key, 'its record was removed');
		}
	}

	/** Writes the missing records of what is held back, and removes those of what was released. */
	async #reconcile(): Promise<void> {
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		for (const key of this.#due()) {
			await this.#write(key);
		}

		for (const key of this.#releases) {
			await this.#remove(key);
		}

		this.#isBusy = false;
	}

	#due(): QuarantinedKey[] {
		const now = this.#parts.clock.now();
		const missing = this.#tables.flatMap(table => table.held.filter(key => table.crashesOf(key).starts.length > (this.#records.get(key)?.crashes ?? 0)));
		[...this.#heldSince.keys()].filter(key => !missing.includes(key)).forEach(key => {
			this.#heldSince.delete(key);
		});
		return missing.filter(key => {
			const since = this.#heldSince.get(key) ?? now;
			this.#heldSince.set(key, since);
			const heldMs = now - since;
			return (this.#isOwn(key) && heldMs >= (isPartKey(key) ? partSettleMs : 0)) || heldMs >= takeoverMs;
		});
	}

	#isOwn(key: QuarantinedKey): boolean {
		const {self, peers} = this.#parts;
		return rankMembers(key, [self, ...peers.live.map(({state}) => state.member)])[0] === self;
	}

	async #write(key: QuarantinedKey): Promise<void> {
		const {api, clock} = this.#parts;
		const {starts, seenBy, agoMs} = this.#tableOf(key).crashesOf(key);
		const record = {starts, seenBy, lastCrashAt: Math.round(clock.wall() - agoMs)};
		const stored = this.#records.get(key);
		const written = stored ? await api.update('Quarantine', key, record, stored.version) : await api.create('Quarantine', key, record);
		written.ifRight(({version}) => {
			this.#records.set(key, {version, crashes: starts.length});
			this.#releaseIfCleared(key);
		}).ifLeft(err => {
			this.#onWriteFailed(key, err);
		});
	}

	/** It may have been cleared while its record was being written; a process that starts would hold it back again. */
	#releaseIfCleared(key: QuarantinedKey) {
		if (this.#tableOf(key).crashesOf(key).starts.length === 0) {
			this.#records.delete(key);
			this.#releases.add(key);
		}
	}

	#onWriteFailed(key: QuarantinedKey, err: ApiError) {
		if (err.kind === 'conflict' && err.current) {
			// Another process has written the record first.
			this.#apply(err.current);
			return;
		}

		this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content: key, reason: err.kind});
	}

	async #remove(key: QuarantinedKey): Promise<void> {
		const err = errorOf(await this.#parts.api.remove('Quarantine', key));
		if (err && err.kind !== 'notFound') {
			this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content: key, reason: err.kind});
			return;
		}

		this.#releases.delete(key);
	}
}
