/**
Provides the addresses of the fronts and keepers by following the `Member` objects that each process writes into the object API. An address without a process costs only one datagram per announcement, so the records of removed VMs may stay for a while.
*/
import {objectOf, oneOf} from '../../common/field-validators.js';
import type {Clock} from '../../common/services.js';
import {isPeerAddress} from '../../io/address.js';
import type {ObjectFeed} from '../object-feed.js';

/** The value of a `Member` object. */
export type MemberRecord = {
	/** `ip:port` at which it receives its peers' state or calls. */
	readonly address: string;
	readonly role: MemberRole;
};

/** Fronts announce their state to each other; keepers hold jobs for them. */
export type MemberRole = 'front' | 'keeper';

const isRecord = objectOf({address: isPeerAddress, role: oneOf('front', 'keeper')});

/** @returns The record, or `undefined` where the value is not a valid one. */
export const readMember = (value: unknown): MemberRecord | undefined => isRecord(value) ? value as MemberRecord : undefined;

/** See the module's head. */
export class MemberRegistry {
	readonly #members = new Map<string, MemberRecord>();
	#firstLoadedAt: number | undefined;

	constructor(feed: ObjectFeed, clock: Pick<Clock, 'now'>) {
		feed.onSnapshot(items => {
			this.#firstLoadedAt ??= clock.now();
			this.#members.clear();
			items.forEach(({name, value}) => {
				this.#put(name, value);
			});
		});
		feed.onChanges(events => {
			events.forEach(({type, name, value}) => {
				if (type === 'put') {
					this.#put(name, value);
				} else {
					this.#members.delete(name);
				}
			});
		});
	}

	/** When the members were first loaded, in milliseconds on the monotonic clock; `undefined` before. */
	get firstLoadedAt(): number | undefined {
		return this.#firstLoadedAt;
	}

	/** Addresses of all registered fronts, this one's included. */
	get addresses(): readonly string[] {
		return this.#addressesOf('front');
	}

	/** Addresses of all registered keepers. */
	get keeperAddresses(): readonly string[] {
		return this.#addressesOf('keeper');
	}

	#addressesOf(role: MemberRole): readonly string[] {
		return [...this.#members.values()].filter(member => member.role === role).map(({address}) => address);
	}

	#put(name: string, value: unknown) {
		const record = readMember(value);
		if (record) {
			this.#members.set(name, record);
		}
	}
}
