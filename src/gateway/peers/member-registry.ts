/**
Where the fronts find each other and the keepers: they follow what each process has written into the object API. An address that nobody answers at costs one datagram now and then, so entries of VMs that are gone may stay for a while.
*/
import {isNonEmptyString, objectOf, oneOf} from '../../common/field-validators.js';
import type {Clock} from '../../common/services.js';
import type {ObjectFeed} from '../object-feed.js';

/** What a member writes. */
export type MemberRecord = {
	/** `ip:port` where it takes its peers' state or calls. */
	readonly address: string;
	readonly role: MemberRole;
};

/** Fronts tell each other their state; keepers hold jobs for them. */
export type MemberRole = 'front' | 'keeper';

const isRecord = objectOf({address: isNonEmptyString, role: oneOf('front', 'keeper')});

/** @returns The member, or nothing where the value is none. */
export const readMember = (value: unknown): MemberRecord | undefined => isRecord(value) ? value as MemberRecord : undefined;

/** See the module's head. */
export class MemberRegistry {
	readonly #members = new Map<string, MemberRecord>();
	#knownAt: number | undefined;

	constructor(feed: ObjectFeed, clock: Pick<Clock, 'now'>) {
		feed.onSnapshot(items => {
			this.#knownAt ??= clock.now();
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

	/** When the members were first known, in milliseconds on the monotonic clock; `undefined` before. */
	get firstLoadedAt(): number | undefined {
		return this.#knownAt;
	}

	/** Addresses of all fronts that were written, this one's included. */
	get addresses(): readonly string[] {
		return this.#addressesOf('front');
	}

	/** Addresses of all keepers that were written. */
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
