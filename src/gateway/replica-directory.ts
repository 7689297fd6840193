/**
The registered replicas, by service: the part of the blackboard that the registration controller writes and routing reads.
*/
import {EventEmitter} from 'node:events';
import {Replica} from './replica.js';
import type {GatewayServiceName, ReplicaId, ReplicaRecord} from './types.js';

/** A change of a registration. */
export type ReplicaChange = {
	readonly replica: Replica;
	/** `restarted`: this start has ended; another one joins under the same id. */
	readonly change: 'joined' | 'draining' | 'changed' | 'left' | 'restarted';
};

const changeBetween = (before: ReplicaRecord, after: ReplicaRecord): ReplicaChange['change'] => after.isDraining && !before.isDraining ? 'draining' : 'changed';

/** All registered replicas. */
export class ReplicaDirectory {
	/** When the object API last answered a read of the registrations, in milliseconds on the monotonic clock. */
	heardAt = -Infinity;
	readonly #events = new EventEmitter();
	readonly #byId = new Map<ReplicaId, Replica>();
	readonly #byService = new Map<GatewayServiceName, Replica[]>();
	/** The replica that was seen last at each address. */
	readonly #byAddress = new Map<string, Replica>();
	/** Start times of earlier starts, by the id that a later start has taken over. */
	readonly #endedStarts = new Map<ReplicaId, Set<number>>();

	get size(): number {
		return this.#byId.size;
	}

	get all(): Iterable<Replica> {
		return this.#byId.values();
	}

	get(id: ReplicaId): Replica | undefined {
		return this.#byId.get(id);
	}

	/** The replica, if its current start is this one; see `ReplicaRecord.startedAt`. What peers announce of another start does not concern it. */
	getStart(id: ReplicaId, startedAt: number | undefined): Replica | undefined {
		const replica = this.#byId.get(id);
		return replica?.record.startedAt === startedAt ? replica : undefined;
	}

	/** Replicas of a service that accept new work. The array is replaced at each change, never modified. */
	takingWork(service: GatewayServiceName): readonly Replica[] {
		return this.#byService.get(service) ?? [];
	}

	/** Whether this start of a replica is still registered and accepts new work. */
	takesWork(replica: Replica): boolean {
		return this.takingWork(replica.record.service).includes(replica);
	}

	/** Whether another start, or a later replica at its address, has taken the replica's place: what answers there now says nothing about it. A list tells no order, so a replica that was only listed later counts by its start. */
	isReplaced(replica: Replica): boolean {
		const {id, address, startedAt = -Infinity} = replica.record;
		const sameId = this.#byId.get(id) ?? replica;
		const sameAddress = this.#byAddress.get(address) ?? replica;
		return sameId !== replica || (sameAddress !== replica && (sameAddress.record.startedAt ?? Infinity) >= startedAt);
	}

	/** Adds or updates a registration. */
	put(record: ReplicaRecord): void {
		const current = this.#byId.get(record.id);
		if (!current) {
			this.#add(record);
			return;
		}

		if (current.record.startedAt !== record.startedAt) {
			this.#restart(current, record);
			return;
		}

		const before = current.record;
		this.#leaveAddress(current);
		current.record = record;
		this.#byAddress.set(record.address, current);
		this.#index(before.service);
		this.#index(record.service);
		this.#emitChange({replica: current, change: changeBetween(before, record)});
	}

	/** Removes a registration. Requests in flight at its replica continue. */
	remove(id: ReplicaId): void {
		const replica = this.#byId.get(id);
		if (!replica) {
			return;
		}

		this.#byId.delete(id);
		this.#leaveAddress(replica);
		this.#endedStarts.delete(id);
		this.#index(replica.record.service);
		this.#emitChange({replica, change: 'left'});
	}

	/** Calls the listener with each change. */
	onChange(listener: (change: ReplicaChange) => void): void {
		this.#events.on('change', listener);
	}

	#add(record: ReplicaRecord) {
		const replica = new Replica(record);
		this.#byId.set(record.id, replica);
		this.#byAddress.set(record.address, replica);
		this.#index(record.service);
		this.#emitChange({replica, change: 'joined'});
	}

	/**
	Handles another start under a registered id. The later start is the one that was seen later, regardless of the start times, because a VM's clock may have been set back between two starts. A delayed write of an earlier start must not bring it back, or callers would lose the streams that the later start serves.
	*/
	#restart(current: Replica, record: ReplicaRecord) {
		const {id, startedAt} = current.record;
		const ended = this.#endedStarts.get(id) ?? new Set();
		if (record.startedAt === undefined || ended.has(record.startedAt)) {
			return;
		}

		if (startedAt !== undefined) {
			this.#endedStarts.set(id, ended.add(startedAt));
		}

		this.#byId.delete(id);
		this.#leaveAddress(current);
		this.#index(current.record.service);
		this.#emitChange({replica: current, change: 'restarted'});
		this.#add(record);
	}

	#leaveAddress(replica: Replica) {
		const {address} = replica.record;
		if (this.#byAddress.get(address) === replica) {
			this.#byAddress.delete(address);
		}
	}

	#index(service: GatewayServiceName) {
		const takingWork = [...this.#byId.values()].filter(({record}) => record.service === service && !record.isDraining);
		this.#byService.set(service, takingWork);
	}

	#emitChange(change: ReplicaChange) {
		this.#events.emit('change', change);
	}
}
