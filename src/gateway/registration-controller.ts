/**
Copies the replicas' registrations from the object API to the blackboard.

An invalid registration was not written by a replica, or was corrupted. It removes the replica that it named before and leaves all others as they are. If that replica is alive, it rewrites the record with its next heartbeat.

Registrations expire while the object API is unavailable, because replicas cannot renew them, and are written again soon after it recovers. A replica whose registration is missing right after an outage is therefore retained for a grace period, since removing it at once would empty a service whose replicas are all healthy. A process cannot distinguish an unavailable object API from its own loss of connectivity, or an expired registration from a replica that leaves, so the grace period is short enough that a leaving replica gets no call after its deadline in either case.
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

/** Grace period in milliseconds from the first answer after an outage. Live replicas are registered again about two seconds after it. A process that was itself cut off has 3 s, of which up to 0.9 s pass before the first answer: a call that had just started must fail before the next attempt starts. */
const graceAfterOutageMs = 2100;

/** Time within which a process that was cut off must have stopped sending to replicas that have left, in milliseconds from when it could reach the object API again. A process that was paused at that time receives the first answer late. */
const reconnectDeadlineMs = 3000;

/** Longest time between the choice of a replica and the arrival of the call there, in milliseconds: a round trip between failure domains for the connection, and one more way for the call. */
const maxTransitMs = 100;

/** A single failed call of the object API between two successful ones is a lost connection, and too short for registrations to expire. */
const minOutageFailures = 2;

/** Missing registrations up to this share of all are not a mass expiry: single replicas have left. */
const massExpiryShare = 1 / 3;

/** Dependencies of the controller. */
export type RegistrationControllerParts = {
	readonly directory: ReplicaDirectory;
	readonly feed: ObjectFeed;
	readonly records: RecordReaders;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds after the removal of its registration from which on a replica must get no more calls. */
	readonly drainMs: number;
};

/** Applies the registrations' lists and changes to the directory. */
export class RegistrationController implements Disposable {
	readonly #parts: RegistrationControllerParts;
	readonly #graceTimers = new Map<ReplicaId, NodeJS.Timeout>();
	/** Why registrations are invalid, by name. Each reason is logged once, although every list contains the record again. */
	readonly #unreadable = new Map<string, string>();
	/** Names of registrations that have contained a start time. */
	readonly #withStartTime = new Set<string>();

	constructor(parts: RegistrationControllerParts) {
		this.#parts = parts;
		parts.feed.onSnapshot(items => {
			this.#applySnapshot(items);
		});
		parts.feed.onChanges(events => {
			this.#applyChanges(events);
		});
		parts.feed.onAnswer(at => {
			parts.directory.heardAt = at;
		});
		parts.directory.onChange(({replica: {record, missingSince}, change}) => {
			parts.log.emit(gatewayEvents.replicaChanged, {
				replica: record.id, service: record.service, address: record.address, softwareVersion: record.softwareVersion, change, missedMs: missingSince === undefined ? undefined : Math.round(parts.clock.now() - missingSince),
			});
		});
	}

	dispose(): void {
		this.#graceTimers.forEach(timer => {
			clearTimeout(timer);
		});
		this.#graceTimers.clear();
	}

	#applySnapshot(items: readonly StoredObject[]) {
		const {directory} = this.#parts;
		const present = new Set(items.map(({name}) => name));
		const missing = [...directory.all].map(({record}) => record.id).filter(id => !present.has(id));
		[...this.#unreadable.keys()].filter(name => !present.has(name)).forEach(name => {
			this.#unreadable.delete(name);
		});
		[...this.#withStartTime].filter(name => !present.has(name)).forEach(name => {
			this.#withStartTime.delete(name);
		});
		this.#putAll(items);
		this.#removeAll(missing);
	}

	#applyChanges(events: readonly WatchEvent[]) {
		// A registration that expired and was written again within the same batch is not missing.
		const lastByName = new Map(events.map(event => [event.name, event]));
		const latest = [...lastByName.values()];
		const deletedNames = latest.filter(({type}) => type === 'delete').map(({name}) => name);
		deletedNames.forEach(name => {
			this.#unreadable.delete(name);
			this.#withStartTime.delete(name);
		});
		this.#putAll(latest.filter(({type}) => type === 'put'));
		this.#removeAll(deletedNames.map(name => branded<ReplicaId>(name)));
	}

	#putAll(entries: ReadonlyArray<{readonly name: string; readonly value?: unknown}>) {
		const {records} = this.#parts;
		entries.forEach(({name, value}) => {
			records.readReplica(name, value)
				.chain(record => this.#requireStartTime(name, record))
				.ifLeft(reason => {
					this.#removeInvalid(name, reason);
				})
				.ifRight(record => {
					this.#put(record);
				});
		});
	}

	/**
	A replica that has announced its start time always does, so a record of it without one was not written by the replica. This does not apply to other replicas: during a rollout, some announce it and some do not, and one record must not empty a service.
	*/
	#requireStartTime(name: string, record: ReplicaRecord): Either<string, ReplicaRecord> {
		if (record.startedAt !== undefined) {
			this.#withStartTime.add(name);
			return Right(record);
		}

		return this.#withStartTime.has(name) ? Left('the start time is missing, although earlier records of the replica had one') : Right(record);
	}

	#put(record: ReplicaRecord) {
		this.#unreadable.delete(record.id);
		this.#clearMissing(record.id);
		this.#parts.directory.put(record);
	}

	/** Removes the replica of an invalid registration. */
	#removeInvalid(name: string, reason: string) {
		if (this.#unreadable.get(name) !== reason) {
			this.#unreadable.set(name, reason);
			this.#parts.log.emit(gatewayEvents.registrationUnreadable, {name, reason});
		}

		const id = branded<ReplicaId>(name);
		this.#clearMissing(id);
		this.#parts.directory.remove(id);
	}

	#removeAll(ids: readonly ReplicaId[]) {
		const graceMs = this.#graceLeftMs();
		const haveExpired = this.#parts.feed.lastOutageFailures >= minOutageFailures || ids.length > massExpiryShare * this.#parts.directory.size;
		ids.forEach(id => {
			if (haveExpired && graceMs > 0) {
				this.#retainFor(id, graceMs);
			} else {
				this.#clearMissing(id);
				this.#parts.directory.remove(id);
			}
		});
	}

	#retainFor(id: ReplicaId, graceMs: number) {
		const {directory, clock, log} = this.#parts;
		const replica = directory.get(id);
		if (this.#graceTimers.has(id) || !replica) {
			return;
		}

		replica.missingSince = clock.now();
		log.emit(gatewayEvents.registrationMissing, {replica: id, graceMs: Math.round(graceMs)});
		const timer = setTimeout(() => {
			this.#graceTimers.delete(id);
			directory.remove(id);
		}, graceMs);
		this.#graceTimers.set(id, timer);
	}

	#clearMissing(id: ReplicaId) {
		const replica = this.#parts.directory.get(id);
		if (replica) {
			replica.missingSince = undefined;
		}

		clearTimeout(this.#graceTimers.get(id));
		this.#graceTimers.delete(id);
	}

	/** A registration whose removal is received after the outage's end may have expired late, or its replica may be leaving, so it is retained no longer than a leaving replica may get calls. */
	#graceLeftMs(): number {
		const {feed, clock, drainMs} = this.#parts;
		const now = clock.now();
		const outageEndedAt = feed.outageEndedAt ?? now;
		const reachableAt = feed.failedCallAt ?? outageEndedAt;
		return Math.min(outageEndedAt + graceAfterOutageMs - now, reachableAt + reconnectDeadlineMs - maxTransitMs - now, drainMs - maxTransitMs);
	}
}
