/**
Shares the batch jobs out among all entries: jobs fall into sixteen shards by their id, and each shard has a lease. Every entry ranks the entries of the VM list for each shard alike, and the first one takes the lease.
*/
import {LeaseKeeper} from '../common/lease-keeper.js';
import type {HolderName} from '../common/lease.js';
import {rankMembers} from '../common/rendezvous.js';
import type {Disposable} from '../common/services.js';
import {batchEvents} from './batch-log-events.js';
import {JobCoordinator, type CoordinatorSurroundings} from './job-coordinator.js';

/** What the shards need. */
export type ShardParts = CoordinatorSurroundings & {
	readonly vm: string;
	readonly self: HolderName;
	/** Names of the entry VMs that are live. */
	readonly entries: () => readonly string[];
	readonly leaseMs: number;
	readonly tickMs: number;
	readonly refreshMs: number;
};

type Shard = {
	readonly name: string;
	readonly lease: LeaseKeeper;
	readonly coordinator: JobCoordinator;
	wasHeld: boolean;
	tendAt: number;
	refreshAt: number;
};

const shardNames: readonly string[] = Array.from({length: 16}, (_, index) => index.toString(16));
const tendsPerLease = 3;

/** Tends all shards from this entry. */
export class JobShards implements Disposable {
	readonly #parts: ShardParts;
	readonly #shards: readonly Shard[];
	#disposed = false;

	constructor(parts: ShardParts) {
		this.#parts = parts;
		this.#shards = shardNames.map(name => {
			const lease = new LeaseKeeper(parts.api, parts.clock, {name: `jobs-${name}`, self: parts.self, ttlMs: parts.leaseMs});
			return {
				name, lease, coordinator: new JobCoordinator(name, lease, parts), wasHeld: false, tendAt: 0, refreshAt: 0,
			};
		});
	}

	/** Tends the shards for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		await Promise.all(this.#shards.map(async shard => this.#runShard(shard)));
	}

	/** Gives all leases back. */
	async release(): Promise<void> {
		this.dispose();
		await Promise.all(this.#shards.map(async ({lease}) => lease.release()));
	}

	dispose(): void {
		this.#disposed = true;
	}

	async #runShard(shard: Shard) {
		while (!this.#disposed) {
			await this.#tend(shard);
			this.#followLease(shard);
			if (shard.wasHeld) {
				await this.#coordinate(shard);
			}

			await this.#parts.clock.sleep(this.#parts.tickMs);
		}
	}

	async #tend(shard: Shard) {
		const {clock, leaseMs, entries, vm} = this.#parts;
		if (clock.now() < shard.tendAt) {
			return;
		}

		shard.tendAt = clock.now() + (leaseMs / tendsPerLease);
		const ranked = rankMembers(shard.name, entries());
		const rank = ranked.indexOf(vm);
		await shard.lease.tend(rank === -1 ? ranked.length : rank);
	}

	#followLease(shard: Shard) {
		if (shard.lease.isHeld === shard.wasHeld) {
			return;
		}

		shard.wasHeld = shard.lease.isHeld;
		shard.refreshAt = 0;
		this.#parts.log.emit(shard.wasHeld ? batchEvents.shardTaken : batchEvents.shardLost, {shard: shard.name, fence: shard.lease.fence});
		if (!shard.wasHeld) {
			shard.coordinator.forget();
		}
	}

	async #coordinate(shard: Shard) {
		const {clock, refreshMs} = this.#parts;
		if (clock.now() >= shard.refreshAt) {
			shard.refreshAt = clock.now() + refreshMs;
			await shard.coordinator.refresh();
		}

		await shard.coordinator.tick();
	}
}
