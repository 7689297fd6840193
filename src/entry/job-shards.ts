/**
Shares the batch jobs out among all entries: jobs fall into sixteen shards by their id, and each shard has a lease. Every entry ranks the entries of the VM list for each shard alike, and the first one takes the lease.
*/
import type {BatchJob} from '../../typings/resources.js';
import type {DecisionTrace} from '../common/decision-trace.js';
import type {JobId, Revision} from '../common/ids.js';
import {LeaseClient} from '../common/lease-client.js';
import type {HolderName} from '../common/lease.js';
import {rankMembers} from '../common/rendezvous.js';
import type {Disposable} from '../common/services.js';
import {batchEvents} from './batch-log-events.js';
import {JobCoordinator, type CoordinatorSurroundings} from './job-coordinator.js';
import {JobFeed} from './job-feed.js';
import {JobRetention} from './job-retention.js';
import {WakeablePause} from './wakeable-pause.js';

/** What the shards need. */
export type ShardParts = CoordinatorSurroundings & {
	readonly vm: string;
	readonly self: HolderName;
	/** Names of the entry VMs that are live. */
	readonly entries: () => readonly string[];
	readonly leaseMs: number;
	/** See {@link LeaseOptions.trace}. */
	readonly trace?: DecisionTrace;
	readonly tickMs: number;
	/** How long one long poll for changes of jobs waits. */
	readonly watchMs: number;
	/** How long ended jobs are kept. */
	readonly retentionMs: number;
	/** How often a shard is looked through for jobs to remove. */
	readonly retentionSweepMs: number;
};

type Shard = {
	readonly name: string;
	readonly lease: LeaseClient;
	readonly coordinator: JobCoordinator;
	readonly pause: WakeablePause;
	wasHeld: boolean;
	wasOwned: boolean;
	tendAt: number;
};

const shardNames: readonly string[] = Array.from({length: 16}, (_, index) => index.toString(16));
const tendsPerLease = 3;
// Every look at a lease is a call. The holder and the two after it look often; all others, hundreds of entries, only now and then, in case the first three are all gone and the VM list has not noticed.
const closeRanks = 3;
const farTendLeases = 5;
const jobPrefix = 'batch_';
// Twenty removals a second at most from one entry.
const removalPauseMs = 50;

/** Tends all shards from this entry. */
export class JobShards implements Disposable {
	readonly #parts: ShardParts;
	readonly #shards: readonly Shard[];
	readonly #feed: JobFeed;
	readonly #retention: JobRetention;
	#disposed = false;

	constructor(parts: ShardParts) {
		this.#parts = parts;
		this.#shards = shardNames.map(name => {
			const lease = new LeaseClient(parts.api, parts.clock, {
				name: `jobs-${name}`, self: parts.self, ttlMs: parts.leaseMs, trace: parts.trace,
			});
			const pause = new WakeablePause(parts.clock);
			const coordinator = new JobCoordinator(name, lease, parts, () => {
				pause.wake();
			});
			return {
				name, lease, coordinator, pause, wasHeld: false, wasOwned: false, tendAt: 0,
			};
		});
		this.#retention = new JobRetention({...parts, removalPauseMs});
		this.#feed = new JobFeed({
			...parts,
			onChange: (jobId, job, version) => {
				this.#changed(jobId, job, version);
			},
			onGap: () => {
				this.#listAgain();
			},
		});
	}

	/** The shards that this entry holds now. */
	get held(): readonly string[] {
		return this.#shards.filter(({lease}) => lease.isHeld).map(({name}) => name);
	}

	/** Tends the shards for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		await Promise.all([
			this.#feed.run(),
			this.#sweepAll(),
			...this.#shards.map(async shard => this.#tendShard(shard)),
			...this.#shards.map(async shard => this.#coordinateShard(shard)),
		]);
	}

	/** Gives all leases back. */
	async release(): Promise<void> {
		this.dispose();
		await Promise.all(this.#shards.map(async ({lease}) => lease.release()));
	}

	dispose(): void {
		this.#disposed = true;
		this.#feed.dispose();
		// Ends a take-over that is still trying.
		this.#shards.forEach(({coordinator}) => {
			coordinator.forget();
		});
	}

	// One shard after the other, so that the pauses between removals hold for the whole entry.
	async #sweepAll() {
		while (!this.#disposed) {
			await this.#parts.clock.sleep(this.#parts.retentionSweepMs);
			for (const {name, lease} of this.#shards) {
				await this.#retention.sweep(name, () => lease.isHeld && !this.#disposed);
			}
		}
	}

	// Apart from the coordination: neither may wait for the other when the object API is slow.
	async #tendShard(shard: Shard) {
		while (!this.#disposed) {
			await this.#tend(shard);
			await this.#parts.clock.sleep(this.#parts.tickMs);
		}
	}

	async #tend(shard: Shard) {
		const {clock, leaseMs, entries, vm} = this.#parts;
		if (clock.now() < shard.tendAt) {
			return;
		}

		const ranked = rankMembers(shard.name, entries());
		const rank = ranked.includes(vm) ? ranked.indexOf(vm) : ranked.length;
		const isClose = rank < closeRanks || shard.lease.isOwner;
		shard.tendAt = clock.now() + (isClose ? leaseMs / tendsPerLease : leaseMs * farTendLeases * rank);
		await shard.lease.acquireOrRenew(rank);
	}

	async #coordinateShard(shard: Shard) {
		while (!this.#disposed) {
			this.#followLease(shard);
			if (shard.coordinator.fence !== 0) {
				await shard.coordinator.round();
			}

			await shard.pause.sleep(this.#parts.tickMs);
		}
	}

	#followLease(shard: Shard) {
		const {isHeld, isOwner, fence} = shard.lease;
		this.#logLease(shard, isHeld, isOwner);
		shard.wasHeld = isHeld;
		shard.wasOwned = isOwner && (isHeld || shard.wasOwned);
		if (!isOwner && shard.coordinator.fence !== 0) {
			shard.coordinator.forget();
			this.#pauseFeed();
		}

		if (isHeld && shard.coordinator.fence !== fence) {
			void this.#takeOver(shard);
		}
	}

	#logLease({name, lease, wasHeld, wasOwned}: Shard, isHeld: boolean, isOwner: boolean) {
		const {log} = this.#parts;
		const changes: ReadonlyArray<[boolean, typeof batchEvents[keyof typeof batchEvents]]> = [
			[isHeld && !wasHeld, batchEvents.shardTaken],
			[!isHeld && wasHeld && isOwner, batchEvents.shardSuspended],
			[!isOwner && wasOwned, batchEvents.shardLost],
		];
		changes.filter(([isSo]) => isSo).forEach(([, event]) => {
			log.emit(event, {shard: name, fence: lease.lastFence});
		});
	}

	async #takeOver({lease, coordinator}: Shard) {
		const version = await coordinator.takeOver(lease.fence);
		if (version !== undefined) {
			this.#feed.followFrom(version);
		}
	}

	#changed(jobId: JobId, job: BatchJob | undefined, version: Revision) {
		const shard = this.#shards.find(({name}) => jobId.startsWith(`${jobPrefix}${name}`));
		if (shard && shard.coordinator.fence !== 0) {
			shard.coordinator.changed(jobId, job, version);
		}
	}

	#listAgain() {
		this.#shards.filter(({lease, coordinator}) => lease.isHeld && coordinator.fence !== 0).forEach(shard => {
			void this.#takeOver(shard);
		});
	}

	#pauseFeed() {
		if (this.#shards.every(({coordinator}) => coordinator.fence === 0)) {
			this.#feed.pause();
		}
	}
}
