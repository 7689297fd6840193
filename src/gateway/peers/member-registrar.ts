/**
Registers this process of the gateway: when it starts, writes its address into the object API as a `Member` object, and retries until it is stored. The other processes find it there through {@link MemberRegistry}.
*/
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import type {ApiError, StoredObject} from '../../common/types.js';
import {gatewayEvents} from '../log-events.js';
import type {MemberName} from '../types.js';
import {readMember, type MemberRecord} from './member-registry.js';

/** Dependencies of the registrar. */
export type MemberRegistrarParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Delay before the address is written again after a failure, in milliseconds. */
const retryMs = 1000;

/** See the module's head. */
export class MemberRegistrar implements Disposable {
	readonly #parts: MemberRegistrarParts;
	#isDisposed = false;

	constructor(parts: MemberRegistrarParts) {
		this.#parts = parts;
	}

	/** Writes this process's address, and retries until it is stored or the registrar is disposed of. */
	async register(record: MemberRecord): Promise<void> {
		while (!this.#isDisposed && !(await this.#write(record))) {
			await this.#parts.clock.sleep(retryMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	async #write(record: MemberRecord): Promise<boolean> {
		const {self, api} = this.#parts;
		const created = await api.create('Member', self, record);
		return created.caseOf<boolean | Promise<boolean>>({
			Left: async err => this.#updateExisting(err, record),
			Right: () => true,
		});
	}

	/** Handles a failed creation: after a conflict, the record of an earlier start exists, perhaps with another address, and is updated. */
	async #updateExisting(err: ApiError, record: MemberRecord): Promise<boolean> {
		const {self, api, log} = this.#parts;
		if (err.kind !== 'conflict') {
			log.emit(gatewayEvents.memberWriteFailed, {member: self, reason: err.kind});
			return false;
		}

		const found = err.current ?? await this.#readOwn();
		if (!found) {
			return false;
		}

		if (readMember(found.value)?.address === record.address) {
			return true;
		}

		const updated = await api.update('Member', self, record, (found as StoredObject).version);
		return updated.isRight();
	}

	/** Needed only where the object API does not return the existing record with the conflict. */
	async #readOwn(): Promise<StoredObject | undefined> {
		const {self, api} = this.#parts;
		const read = await api.get<MemberRecord>('Member', self);
		return read.toMaybe().extract();
	}
}
