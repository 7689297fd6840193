/**
Stores in the object API which requests crash the replicas that run them. All processes of the gateway may be killed at the same moment; without a record, each of these requests would crash three more replicas after each such restart.

A record is written as soon as its request is held back. Deleting the record releases the request at every process.
*/
import {rankMembers} from '../../common/rendezvous.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import type {ApiError, StoredObject} from '../../common/types.js';
import type {Revision} from '../../common/ids.js';
import {errorOf} from '../../common/error-of.js';
import {
	isNonNegativeNumber, isNonEmptyString, listOf, objectOf,
} from '../../common/field-validators.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {MemberName} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import type {ReplicaStart} from './crash-history.js';
import type {Quarantine} from './quarantine.js';

/** The stored value of a `Quarantine` object; the content's digest is the object's name. */
export type QuarantineRecord = {
	/** Replicas that ended while running the request. */
	readonly starts: readonly ReplicaStart[];
	/** When the last one ended, in milliseconds of the wall clock. */
	readonly lastCrashAt: number;
};

/** Dependencies of the records. */
export type QuarantineRecordsParts = {
	readonly self: MemberName;
	readonly quarantine: Quarantine;
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

type StoredRecord = {readonly version: Revision; readonly crashes: number};

/** Whether a value is a {@link QuarantineRecord}. */
export const isQuarantineRecord = objectOf({starts: listOf(isNonEmptyString), lastCrashAt: isNonNegativeNumber});

/** See the module's head. */
export class QuarantineRecords implements Disposable {
	readonly #parts: QuarantineRecordsParts;
	readonly #records = new Map<ContentDigest, StoredRecord>();
	/** Requests that were released and whose records are still to be removed. */
	readonly #releases = new Set<ContentDigest>();
	readonly #heldSince = new Map<ContentDigest, number>();
	#timer: NodeJS.Timeout | undefined;
	#isBusy = false;

	constructor(parts: QuarantineRecordsParts) {
		this.#parts = parts;
		const {feed, quarantine} = parts;
		feed.onSnapshot(items => {
			const present = new Set(items.map(({name}) => name));
			[...this.#records.keys()].filter(content => !present.has(content)).forEach(content => {
				this.#noteRemoved(content);
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
					this.#noteRemoved(name as ContentDigest);
				}
			});
		});
		quarantine.onHeld(() => {
			void this.#reconcile();
		});
		quarantine.onCleared(content => {
			if (this.#records.delete(content)) {
				this.#releases.add(content);
			}
		});
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#parts.quarantine.deleteExpired();
			void this.#reconcile();
		}, retryIntervalMs);
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#apply({name, value, version}: Pick<StoredObject, 'name' | 'value' | 'version'>) {
		if (!isQuarantineRecord(value)) {
			this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content: name, reason: 'the record is invalid'});
			return;
		}

		const content = name as ContentDigest;
		if (this.#releases.has(content)) {
			return;
		}

		const {starts, lastCrashAt} = value as QuarantineRecord;
		this.#records.set(content, {version, crashes: starts.length});
		this.#parts.quarantine.receiveCrashes(starts.map(start => ({content, start})), this.#parts.clock.wall() - lastCrashAt);
	}

	#noteRemoved(content: ContentDigest) {
		this.#releases.delete(content);
		if (this.#records.delete(content)) {
			this.#parts.quarantine.clear(content, 'its record was removed');
		}
	}

	/** Writes the missing records of requests that are held back, and removes those of released requests. */
	async #reconcile(): Promise<void> {
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		for (const content of this.#due()) {
			await this.#write(content);
		}

		for (const content of this.#releases) {
			await this.#remove(content);
		}

		this.#isBusy = false;
	}

	#due(): ContentDigest[] {
		const {quarantine, clock} = this.#parts;
		const now = clock.now();
		const missing = quarantine.held.filter(content => quarantine.crashesOf(content).starts.length > (this.#records.get(content)?.crashes ?? 0));
		[...this.#heldSince.keys()].filter(content => !missing.includes(content)).forEach(content => {
			this.#heldSince.delete(content);
		});
		return missing.filter(content => {
			const since = this.#heldSince.get(content) ?? now;
			this.#heldSince.set(content, since);
			return this.#isOwn(content) || now - since >= takeoverMs;
		});
	}

	#isOwn(content: ContentDigest): boolean {
		const {self, peers} = this.#parts;
		return rankMembers(content, [self, ...peers.live.map(({state}) => state.member)])[0] === self;
	}

	async #write(content: ContentDigest): Promise<void> {
		const {quarantine, api, clock} = this.#parts;
		const {starts, agoMs} = quarantine.crashesOf(content);
		const record = {starts, lastCrashAt: Math.round(clock.wall() - agoMs)};
		const stored = this.#records.get(content);
		const written = stored ? await api.update('Quarantine', content, record, stored.version) : await api.create('Quarantine', content, record);
		written.ifRight(({version}) => {
			this.#records.set(content, {version, crashes: starts.length});
		}).ifLeft(err => {
			this.#onWriteFailed(content, err);
		});
	}

	#onWriteFailed(content: ContentDigest, err: ApiError) {
		if (err.kind === 'conflict' && err.current) {
			// Another process has written the record first.
			this.#apply(err.current);
			return;
		}

		this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content, reason: err.kind});
	}

	async #remove(content: ContentDigest): Promise<void> {
		const err = errorOf(await this.#parts.api.remove('Quarantine', content));
		if (err && err.kind !== 'notFound') {
			this.#parts.log.emit(gatewayEvents.quarantineSyncFailed, {content, reason: err.kind});
			return;
		}

		this.#releases.delete(content);
	}
}
