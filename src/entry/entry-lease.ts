/**
A lease under which one entry does what would be done many times over if all did it. A few entries look after it, chosen by rank among the live ones: if all did, their looking alone would cost hundreds of calls of the object API a second.
*/
import type {ConfigTable} from '../common/config-table.js';
import type {Fence} from '../common/ids.js';
import {LeaseClient} from '../common/lease-client.js';
import type {HolderName} from '../common/lease.js';
import {rankMembers} from '../common/rendezvous.js';
import type {Clock, ObjectApi} from '../common/services.js';

/** What an entry needs to look after a lease. */
export type EntryLeaseParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	/** An entry that knows no configuration yet has nothing to do under a lease. */
	readonly table: ConfigTable;
	/** This entry's VM. */
	readonly vm: string;
	readonly self: HolderName;
	/** Names of the live entry VMs. */
	readonly entries: () => readonly string[];
};

/** Which lease, and how long it lasts. */
export type EntryLeaseOptions = {
	readonly name: string;
	readonly ttlMs: number;
	/** Milliseconds between two looks. */
	readonly tendMs: number;
};

/** Entries that look after the lease: enough that one is left when two are lost at once. */
const candidates = 3;

/** See the module's head. */
export class EntryLease {
	readonly #parts: EntryLeaseParts;
	readonly #options: EntryLeaseOptions;
	readonly #keeper: LeaseClient;
	#tendAt = 0;

	constructor(parts: EntryLeaseParts, options: EntryLeaseOptions) {
		this.#parts = parts;
		this.#options = options;
		this.#keeper = new LeaseClient(parts.api, parts.clock, {name: options.name, self: parts.self, ttlMs: options.ttlMs});
	}

	/** True while this entry may act under the lease. Ask before each write: it may have lapsed on the way. */
	get isHeld(): boolean {
		return this.#keeper.isHeld;
	}

	/** The fencing number under which this entry holds it; 0 when it does not. */
	get fence(): Fence {
		return this.#keeper.fence;
	}

	/**
	Looks after the lease where a look is due and this entry is one of those that do.

	@returns Whether it has looked.
	*/
	async tend(): Promise<boolean> {
		const {clock, entries, vm, table} = this.#parts;
		const {name, tendMs} = this.#options;
		const rank = rankMembers(name, entries()).indexOf(vm);
		if (clock.now() < this.#tendAt || rank === -1 || rank >= candidates || table.revision === 0) {
			return false;
		}

		this.#tendAt = clock.now() + tendMs;
		await this.#keeper.acquireOrRenew(rank);
		return true;
	}

	/** Gives the lease back, so that the next holder need not wait for it to lapse. */
	async release(): Promise<void> {
		await this.#keeper.release();
	}
}
