/**
Brings the replicas' registrations from the object API onto the blackboard.

A registration that cannot be read was written by somebody else than a replica, or was spoilt. It names no replica to send calls to, and a replica that it named before is used no more; the others hold. The replica itself, if it lives, writes the entry anew with its next heartbeat.

Registrations lapse while the object API is away, since replicas cannot renew them, and come back soon after it does. A replica whose registration is missing right after an outage is therefore kept for a while: dropping it at once would empty a service whose replicas are all well. A process cannot tell whether the object API was away or only itself cut off from it, and whether a registration has lapsed or its replica leaves; so the while is short enough that a replica which leaves gets no call after its time either way.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Clock, Disposable, EventLog} from '../common/services.js';
import type {StoredObject, WatchEvent} from '../common/types.js';
import {branded} from '../common/ids.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectFeed} from './object-feed.js';
import type {RecordReaders} from './record-readers.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaId, ReplicaRecord} from './types.js';

/** Live replicas are registered again about two seconds after an outage; in milliseconds from the first answer after it. A process that was itself cut off has 3 s, and hears the first answer within 0.9 s of them: a call that had just begun must fail, and the next try begins. */
const graceAfterOutageMs = 2100;

/** A process that was cut off must have stopped sending to replicas that have left after this time, in milliseconds from when it could reach the object API again. One that was paused then hears the first answer late. */
const contactMs = 3000;

/** A call is on its way to its replica for this long at most after the replica was chosen, in milliseconds: a round trip between failure domains for the connection, and one way. */
const travelMs = 100;

/** One call of the object API that failed between two that did not is a lost connection, and too short for registrations to lapse. */
const leastFailuresOfOutage = 2;

/** Fewer replicas than this share of all do not lapse together: single ones have left. */
const shareOfLapse = 1 / 3;

/** What the controller reads and writes. */
export type RegistrationControllerParts = {
	readonly directory: ReplicaDirectory;
	readonly feed: ObjectFeed;
	readonly records: RecordReaders;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds after its registration is gone within which a replica must get no more calls. */
	readonly drainMs: number;
};

/** See the module's head. */
export class RegistrationController implements Disposable {
	readonly #parts: RegistrationControllerParts;
	readonly #missed = new Map<ReplicaId, NodeJS.Timeout>();
	/** Why registrations cannot be read, by name: each reason is logged once, though the entry comes again with every list. */
	readonly #unreadable = new Map<string, string>();
	/** Registrations that have told when their replica started. */
	readonly #tellStart = new Set<string>();

	constructor(parts: RegistrationControllerParts) {
		this.#parts = parts;
		parts.feed.onSnapshot(items => {
			this.#takeSnapshot(items);
		});
		parts.feed.onChanges(events => {
			this.#takeChanges(events);
		});
		parts.feed.onAnswer(at => {
			parts.directory.heardAt = at;
		});
		parts.directory.onChange(({replica: {record, missingSince: missedAt}, change}) => {
			parts.log.emit(gatewayEvents.replicaChanged, {
				replica: record.id, service: record.service, address: record.address, change, missedMs: missedAt === undefined ? undefined : Math.round(parts.clock.now() - missedAt),
			});
		});
	}

	dispose(): void {
		this.#missed.forEach(timer => {
			clearTimeout(timer);
		});
		this.#missed.clear();
	}

	#takeSnapshot(items: readonly StoredObject[]) {
		const {directory} = this.#parts;
		const present = new Set(items.map(({name}) => name));
		const missing = [...directory.all].map(({record}) => record.id).filter(id => !present.has(id));
		[...this.#unreadable.keys()].filter(name => !present.has(name)).forEach(name => {
			this.#unreadable.delete(name);
		});
		[...this.#tellStart].filter(name => !present.has(name)).forEach(name => {
			this.#tellStart.delete(name);
		});
		this.#putAll(items);
		this.#removeAll(missing);
	}

	#takeChanges(events: readonly WatchEvent[]) {
		// A registration that lapsed and came back within the same batch is not missing.
		const last = new Map(events.map(event => [event.name, event]));
		const news = [...last.values()];
		const gone = news.filter(({type}) => type === 'delete').map(({name}) => name);
		gone.forEach(name => {
			this.#unreadable.delete(name);
			this.#tellStart.delete(name);
		});
		this.#putAll(news.filter(({type}) => type === 'put'));
		this.#removeAll(gone.map(name => branded<ReplicaId>(name)));
	}

	#putAll(entries: ReadonlyArray<{readonly name: string; readonly value?: unknown}>) {
		const {records} = this.#parts;
		entries.forEach(({name, value}) => {
			records.readReplica(name, value)
				.chain(record => this.#withStart(name, record))
				.ifLeft(reason => {
					this.#drop(name, reason);
				})
				.ifRight(record => {
					this.#put(record);
				});
		});
	}

	/**
	A replica that has told when it started always does; its entry without that was written by somebody else. Of other replicas nothing follows from it: during a release some tell and some do not, and one entry must not empty a service.
	*/
	#withStart(name: string, record: ReplicaRecord): Either<string, ReplicaRecord> {
		if (record.startedAt !== undefined) {
			this.#tellStart.add(name);
			return Right(record);
		}

		return this.#tellStart.has(name) ? Left('it does not tell when the replica started') : Right(record);
	}

	#put(record: ReplicaRecord) {
		this.#unreadable.delete(record.id);
		this.#forgive(record.id);
		this.#parts.directory.put(record);
	}

	/** An entry that cannot be read names no replica. */
	#drop(name: string, reason: string) {
		if (this.#unreadable.get(name) !== reason) {
			this.#unreadable.set(name, reason);
			this.#parts.log.emit(gatewayEvents.registrationUnreadable, {name, reason});
		}

		const id = branded<ReplicaId>(name);
		this.#forgive(id);
		this.#parts.directory.remove(id);
	}

	#removeAll(ids: readonly ReplicaId[]) {
		const graceMs = this.#graceLeftMs();
		const haveLapsed = this.#parts.feed.lastOutageFailures >= leastFailuresOfOutage || ids.length > shareOfLapse * this.#parts.directory.size;
		ids.forEach(id => {
			if (haveLapsed && graceMs > 0) {
				this.#keepFor(id, graceMs);
			} else {
				this.#forgive(id);
				this.#parts.directory.remove(id);
			}
		});
	}

	#keepFor(id: ReplicaId, graceMs: number) {
		const {directory, clock, log} = this.#parts;
		const replica = directory.get(id);
		if (this.#missed.has(id) || !replica) {
			return;
		}

		replica.missingSince = clock.now();
		log.emit(gatewayEvents.registrationMissing, {replica: id, graceMs: Math.round(graceMs)});
		const timer = setTimeout(() => {
			this.#missed.delete(id);
			directory.remove(id);
		}, graceMs);
		this.#missed.set(id, timer);
	}

	#forgive(id: ReplicaId) {
		const replica = this.#parts.directory.get(id);
		if (replica) {
			replica.missingSince = undefined;
		}

		clearTimeout(this.#missed.get(id));
		this.#missed.delete(id);
	}

	/** A registration that is heard to be gone later than the outage's end may have lapsed late, or its replica leaves now: it has only the time of one that leaves. */
	#graceLeftMs(): number {
		const {feed, clock, drainMs} = this.#parts;
		const now = clock.now();
		const regainedAt = feed.outageEndedAt ?? now;
		const backAt = feed.failedCallAt ?? regainedAt;
		return Math.min(regainedAt + graceAfterOutageMs - now, backAt + contactMs - travelMs - now, drainMs - travelMs);
	}
}
