/**
Where the processes of the gateway find each other: each writes its address into the object API when it starts, and follows what the others wrote. An address that nobody answers at costs one datagram now and then, so entries of VMs that are gone may stay for a while.
*/
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import type {ApiError, StoredObject} from '../../common/types.js';
import {isObject, isText} from '../../common/field-tests.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {MemberName} from '../types.js';

/** What a member writes. */
export type MemberRecord = {
	/** `ip:port` where it takes its peers' state. */
	readonly address: string;
};

/** What the registry reads and writes. */
export type MemberRegistryParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Milliseconds until the next try to write the own address. */
const retryMs = 1000;

const addressOf = (value: unknown): string | undefined => isObject(value) && isText(value.address) ? value.address as string : undefined;

/** See the module's head. */
export class MemberRegistry implements Disposable {
	readonly #parts: MemberRegistryParts;
	readonly #addresses = new Map<string, string>();
	#isDisposed = false;

	constructor(parts: MemberRegistryParts) {
		this.#parts = parts;
		parts.feed.onSnapshot(items => {
			this.#addresses.clear();
			items.forEach(({name, value}) => {
				this.#put(name, value);
			});
		});
		parts.feed.onChanges(events => {
			events.forEach(({type, name, value}) => {
				if (type === 'put') {
					this.#put(name, value);
				} else {
					this.#addresses.delete(name);
				}
			});
		});
	}

	/** Addresses of all members that were written, this one's included. */
	get addresses(): readonly string[] {
		return [...this.#addresses.values()];
	}

	/** Writes this process's address, again and again until it stands there. */
	async enter(record: MemberRecord): Promise<void> {
		while (!this.#isDisposed && !(await this.#write(record))) {
			await this.#parts.clock.sleep(retryMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	#put(name: string, value: unknown) {
		const address = addressOf(value);
		if (address) {
			this.#addresses.set(name, address);
		}
	}

	async #write(record: MemberRecord): Promise<boolean> {
		const {self, api} = this.#parts;
		const created = await api.create('Member', self, record);
		return created.caseOf<boolean | Promise<boolean>>({
			Left: async err => this.#correct(err, record),
			Right: () => true,
		});
	}

	/** The entry of an earlier start stands there, perhaps with another address. */
	async #correct(err: ApiError, record: MemberRecord): Promise<boolean> {
		const {self, api, log} = this.#parts;
		if (err.kind !== 'conflict') {
			log.emit(gatewayEvents.memberNotWritten, {member: self, reason: err.kind});
			return false;
		}

		const read = await api.get<MemberRecord>('Member', self);
		const found = err.current ?? read.toMaybe().extractNullable();
		if (!found) {
			return false;
		}

		if (addressOf(found.value) === record.address) {
			return true;
		}

		const updated = await api.update('Member', self, record, (found as StoredObject).version);
		return updated.isRight();
	}
}
