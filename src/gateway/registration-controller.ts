/**
Brings the replicas' registrations from the object API onto the blackboard.

Registrations lapse while the object API is away, since replicas cannot renew them, and come back soon after it does. A replica whose registration is missing right after an outage is therefore kept for a while: dropping it at once would empty a service whose replicas are all well.
*/
import type {Clock, Disposable, EventLog} from '../common/services.js';
import type {StoredObject, WatchEvent} from '../common/types.js';
import {branded} from '../common/ids.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectFeed} from './object-feed.js';
import type {RecordReaders} from './record-readers.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaId} from './types.js';

/** Live replicas are registered again about two seconds after an outage; in milliseconds, with a margin for the watch. It must stay below what a leaving replica is allowed to receive work for, which is counted from 3 s after the outage. */
const graceAfterOutageMs = 2300;

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
};

/** See the module's head. */
export class RegistrationController implements Disposable {
	readonly #parts: RegistrationControllerParts;
	readonly #missed = new Map<ReplicaId, NodeJS.Timeout>();

	constructor(parts: RegistrationControllerParts) {
		this.#parts = parts;
		parts.feed.onSnapshot(items => {
			this.#takeSnapshot(items);
		});
		parts.feed.onChanges(events => {
			this.#takeChanges(events);
		});
		parts.directory.onChange(({replica: {record}, change}) => {
			parts.log.emit(gatewayEvents.replicaChanged, {
				replica: record.id, service: record.service, address: record.address, change,
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
		items.forEach(({name, value}) => {
			this.#put(name, value);
		});
		this.#removeAll(missing);
	}

	#takeChanges(events: readonly WatchEvent[]) {
		// A registration that lapsed and came back within the same batch is not missing.
		const last = new Map(events.map(event => [event.name, event]));
		const news = [...last.values()];
		news.filter(({type}) => type === 'put').forEach(({name, value}) => {
			this.#put(name, value);
		});
		this.#removeAll(news.filter(({type}) => type === 'delete').map(({name}) => branded<ReplicaId>(name)));
	}

	#put(name: string, value: unknown) {
		const {directory, records, log} = this.#parts;
		records.readReplica(name, value)
			.ifLeft(reason => {
				log.emit(gatewayEvents.configUnreadable, {name, reason});
			})
			.ifRight(record => {
				this.#forgive(record.id);
				directory.put(record);
			});
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
		const {directory, log} = this.#parts;
		if (this.#missed.has(id) || !directory.get(id)) {
			return;
		}

		log.emit(gatewayEvents.replicaMissed, {replica: id, graceMs: Math.round(graceMs)});
		const timer = setTimeout(() => {
			this.#missed.delete(id);
			directory.remove(id);
		}, graceMs);
		this.#missed.set(id, timer);
	}

	#forgive(id: ReplicaId) {
		clearTimeout(this.#missed.get(id));
		this.#missed.delete(id);
	}

	#graceLeftMs(): number {
		const {feed, clock} = this.#parts;
		const regainedAt = feed.regainedAt ?? clock.now();
		return regainedAt + graceAfterOutageMs - clock.now();
	}
}
