/**
Runs the items of the jobs that this process has claimed, in slots that online calls leave free, and releases slots as soon as online calls need them. A preempted item resumes later after its last event, so only the prefill of its prompt is lost.
*/
import {Buffer} from 'node:buffer';
import type {
	Clock, Disposable, EventLog, Metrics, ObjectApi, RandomSource,
} from '../../common/services.js';
import type {RpcClient} from '../../io/rpc-client.js';
import type {ConfigBoard} from '../config-board.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import type {LoadBoard} from '../load-board.js';
import type {FeedFreshness} from '../feed-freshness.js';
import {gatewayEvents} from '../log-events.js';
import {isEligible} from '../replica-eligibility.js';
import type {ObjectFeed} from '../object-feed.js';
import {itemsToPreempt} from '../placement/replica-choice.js';
import type {RelativePaces} from '../placement/relative-paces.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import {announcementDelayMs} from '../peers/peer-announcer.js';
import type {SharedWaiting} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import {TrackedContent} from '../quarantine/tracked-content.js';
import {registrationAge} from '../registration-age.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {ReplicaConnectionPools} from '../replica-connection-pools.js';
import type {Replica} from '../replica.js';
import type {
	BatchJobId, CallDialect, CallerIdentity, GatewayRoute, MemberName,
} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';
import {
	initialRunEstimate, byUrgency, countWaiting, updateEstimate, updateSlowdown, type WaitingCounts, type WaitingItem,
} from './batch-policy.js';
import type {BatchItem} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import type {FailedRuns} from './failed-runs.js';
import {ItemRun, itemMethod, type ItemRunEnd} from './item-run.js';
import type {JobClaims} from './job-claims.js';
import type {JobHandover} from './job-handover.js';
import type {JobRun, ItemState} from './job-run.js';
import {JobRuns} from './job-runs.js';
import {JobRoutePolicy} from './job-route-policy.js';
import {SlotFinder, type FoundSlot, type SlotRequest} from './slot-finder.js';

/** Builds the headers with which an item is sent. */
export type ItemHeaderBuilder = (host: string, itemId: string, headers: BatchItem['headers']) => string[];

/** Dependencies of the runner. */
export type BatchRunnerParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly jobIndex: JobIndex;
	readonly contents: ContentStore;
	readonly peers: PeerTable;
	readonly rpc: RpcClient;
	readonly claims: JobClaims;
	readonly failedRuns: FailedRuns;
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	/** Freshness of the directory. */
	readonly replicaFreshness: FeedFreshness;
	readonly loads: LoadBoard;
	readonly connectionPools: ReplicaConnectionPools;
	readonly reachability: ReplicaReachability;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly dialect: CallDialect;
	readonly itemHeaders: ItemHeaderBuilder;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly failureDomain: string;
	readonly paces: RelativePaces;
};

/** An item that waits for a slot. */
type PendingItem = SlotRequest & {
	readonly run: JobRun;
	readonly job: BatchJob;
	readonly state: ItemState;
};

/** An item with the replica at which a slot was found for it. */
type AssignedItem = PendingItem & {
	readonly replica: Replica;
};

/** Changes of load come in bursts; free slots are reviewed once for all changes within this many milliseconds. */
const coalesceMs = 10;

/** After slots were taken, the peers must have received this before more are taken; a message takes at most this long within a region, in milliseconds. */
const maxTransitMs = 20;

/** Time without a slot at a replica of its version after which an item is run from the start at another version, in milliseconds: a replica that crashes is back within it, and a slot that online calls have taken is free again. */
const blockedTimeoutMs = 1000;

/** Without any change, milliseconds until free slots and claims are reviewed again. */
const reviewIntervalMs = 150;

const groupByRoute = (items: readonly PendingItem[]): ReadonlyMap<string, readonly PendingItem[]> => {
	const groups = new Map<string, PendingItem[]>();
	items.forEach(item => {
		const group = groups.get(item.route.name) ?? [];
		group.push(item);
		groups.set(item.route.name, group);
	});
	return groups;
};

const leastWorkFirst = (a: ItemState, b: ItemState): number => a.events.length - b.events.length;

/** See the module's head. */
export class BatchRunner implements Disposable {
	readonly #parts: BatchRunnerParts;
	readonly #runs: JobRuns;
	readonly #slotFinder: SlotFinder;
	readonly #routePolicy: JobRoutePolicy;
	readonly #onReplicaFault: Readonly<Partial<Record<ItemRunEnd, (replica: Replica) => void>>> = {
		unreachable: replica => {
			this.#parts.reachability.noteUnreachable(replica);
		},
		misdirected: replica => {
			replica.noteFailure(this.#parts.clock.now());
		},
		declined: replica => {
			replica.noteFull(this.#parts.clock.now());
		},
	};

	readonly #onTrackedEnd: Readonly<Partial<Record<ItemRunEnd, (state: ItemState, replica: Replica) => void>>> = {
		finished({trackedContent}) {
			trackedContent?.noteCompleted({isFramed: true});
		},
		lost({trackedContent}, replica) {
			void trackedContent?.noteConnectionLost(replica);
		},
	};

	#runEstimate = initialRunEstimate;
	#waiting: readonly SharedWaiting[] = [];
	#nextFillAt = 0;
	#fillTimer: NodeJS.Timeout | undefined;
	#reviewTimer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(parts: BatchRunnerParts) {
		this.#parts = parts;
		const {loads, jobIndex, board, clock} = parts;
		this.#slotFinder = new SlotFinder(parts);
		this.#routePolicy = new JobRoutePolicy(board, clock);
		this.#runs = new JobRuns(parts, this.#routePolicy);
		loads.onLocalChange(replica => {
			this.#onLoadChange(replica);
		});
		loads.onPeerChange(replica => {
			this.#onLoadChange(replica);
		});
		parts.partQuarantine.onHeld(() => {
			this.#abortHeld();
		});
		jobIndex.onChange(() => {
			this.#reviewClaims();
			this.#scheduleFill();
		});
	}

	/** The numbers of items that waited for a slot at the last review, by route. */
	get waiting(): readonly SharedWaiting[] {
		return this.#waiting;
	}

	/** Starts to review claims and to run items. */
	start(): void {
		this.#reviewTimer = setInterval(() => {
			this.#reviewClaims();
			this.#fill();
		}, reviewIntervalMs);
	}

	/** Cancels all runs and hands the jobs over to peers, with the progress of their items. */
	async handOver(): Promise<void> {
		this.#isStopped = true;
		this.#waiting = [];
		await this.#runs.handOver();
	}

	/**
	Takes a job over from a process that shuts down.

	@returns False if this process shuts down itself.
	*/
	takeOver(handover: JobHandover): boolean {
		const isTaken = this.#runs.takeOver(handover);
		if (isTaken) {
			this.#reviewClaims();
		}

		return isTaken;
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#reviewTimer);
		clearTimeout(this.#fillTimer);
		this.#runs.dispose();
	}

	#reviewClaims() {
		this.#runs.review(() => {
			this.#scheduleFill();
		});
	}

	#onLoadChange(replica: Replica) {
		const count = itemsToPreempt(replica, this.#parts.self);
		if (count > 0) {
			this.#preempt(replica, count);
		}

		this.#scheduleFill();
	}

	/** Aborts runs that are likely to crash their replicas. */
	#abortHeld() {
		this.#runs.all
			.flatMap(run => run.running)
			.filter(({trackedContent}) => trackedContent?.mayCrashReplica)
			.forEach(({run}) => {
				run?.dispose();
			});
	}

	/** Preempts the runs with the fewest events, since they lose the least work. */
	#preempt(replica: Replica, count: number) {
		this.#runs.all
			.flatMap(run => run.running)
			.filter(({run}) => run?.replica === replica)
			.toSorted(leastWorkFirst)
			.slice(0, count)
			.forEach(({run}) => {
				run?.dispose();
			});
	}

	#scheduleFill() {
		const now = this.#parts.clock.now();
		this.#fillTimer ??= setTimeout(() => {
			this.#fill();
		}, Math.max(coalesceMs, this.#nextFillAt - now));
	}

	/** Fills this process's share of the free slots with the most urgent items. */
	#fill() {
		clearTimeout(this.#fillTimer);
		this.#fillTimer = undefined;
		if (this.#isStopped) {
			return;
		}

		const {clock, replicaFreshness} = this.#parts;
		if (!replicaFreshness.isFresh) {
			void replicaFreshness.refresh().then(() => {
				this.#scheduleFill();
			});
			return;
		}

		const wallNow = clock.wall();
		const byRoute = groupByRoute(this.#runs.all.flatMap(run => this.#pendingItemsOf(run)));
		[...byRoute.values()].forEach(items => {
			this.#fillRoute(items, wallNow);
		});
		this.#waiting = [...byRoute].map(([route, items]) => ({route, ...this.#count(items.filter(({state}) => !state.run), wallNow)}));
		if (byRoute.size === 0) {
			return;
		}

		this.#nextFillAt = clock.now() + (this.#slotFinder.processCount > 1 ? announcementDelayMs(this.#parts.peers.live.length) + maxTransitMs : 0);
	}

	#fillRoute(items: readonly PendingItem[], wallNow: number) {
		const urgent = items.toSorted(byUrgency(this.#runEstimate, wallNow));
		let remaining = this.#slotFinder.slotAllowance(urgent[0]!, this.#count(items, wallNow), this.#runEstimate);
		urgent.every(item => {
			const isStarted = remaining > 0 && this.#tryStart(item);
			remaining -= isStarted ? 1 : 0;
			return remaining > 0;
		});
	}

	#count(items: readonly PendingItem[], wallNow: number): WaitingCounts {
		return countWaiting(items, this.#runEstimate, wallNow);
	}

	#pendingItemsOf(run: JobRun): PendingItem[] {
		const {job} = run;
		if (!job?.isOpen) {
			return [];
		}

		const route = this.#routePolicy.routeOf(job);
		if (route ? this.#routePolicy.isExpired(job, route) : this.#routePolicy.hasLostRoute(job)) {
			run.giveUpAll();
			return [];
		}

		if (!route) {
			return [];
		}

		run.giveUpFailed(route);
		const dueAt = this.#routePolicy.dueAt(job);
		return run.waiting().filter(state => this.#track(job, state).canBeSent).map(state => ({
			run, job, route, state, dueAt, events: state.events.length, failedReplicas: new Set(this.#parts.failedRuns.of(state.item.id).map(({replica}) => replica)), softwareVersion: state.events.length > 0 ? state.softwareVersion : undefined, needsNewConnection: state.lastEnd === 'broken',
		}));
	}

	#track(job: BatchJob, state: ItemState): TrackedContent {
		const {path, body, headers} = state.item;
		state.trackedContent ??= new TrackedContent(this.#parts, 'batch', {
			content: {
				host: job.record.host, method: itemMethod, target: path, body: Buffer.from(body, 'base64'),
			},
			promptParts: () => this.#parts.dialect.readCall(Object.fromEntries(headers.map(([name, value]) => [name.toLowerCase(), value]))).promptParts,
		});
		return state.trackedContent;
	}

	/** @returns Whether a slot was found. */
	#tryStart(item: PendingItem): boolean {
		const {state} = item;
		if ((state.trackedContent?.claimRun() ?? 0) > 0) {
			return false;
		}

		const slot = this.#slotFinder.findSlot(item, this.#runEstimate) ?? this.#findOtherVersion(item);
		if (slot) {
			state.blockedSince = undefined;
			this.#send({...item, replica: slot.replica}, slot.connection);
		}

		return slot !== undefined;
	}

	/** If no replica of its version has had a slot for a while, an item is run from the start at another version. */
	#findOtherVersion(item: PendingItem): FoundSlot | undefined {
		const {state, job, softwareVersion} = item;
		const now = this.#parts.clock.now();
		state.blockedSince ??= now;
		if (softwareVersion === undefined || now - state.blockedSince < blockedTimeoutMs) {
			return undefined;
		}

		const slot = this.#slotFinder.findSlot({...item, softwareVersion: undefined}, this.#runEstimate);
		if (slot && slot.replica.record.softwareVersion !== softwareVersion) {
			this.#parts.log.emit(gatewayEvents.itemRestarted, {
				job: job.id, item: state.item.id, events: state.events.length, softwareVersion, blockedMs: Math.round(now - state.blockedSince),
			});
			state.events = [];
		}

		return slot;
	}

	#send(assigned: AssignedItem, connection: ReplicaConnection) {
		const {job, state, replica} = assigned;
		const {
			loads, reachability, dialect, itemHeaders, log, clock,
		} = this.#parts;
		if (state.events.length === 0) {
			state.softwareVersion = replica.record.softwareVersion;
		}

		const {item, events} = state;
		log.emit(gatewayEvents.itemStarted, {
			job: job.id, item: item.id, replica: replica.record.id, softwareVersion: replica.record.softwareVersion, resumeAfter: events.length, dueInMs: Math.round(this.#routePolicy.dueAt(job) - clock.wall()), ...registrationAge(this.#parts, replica),
		});
		const releaseSlot = loads.acquireSlot(replica, 'batch');
		const startedAt = clock.now();
		state.firstStartedAt ??= startedAt;
		const eventsBefore = events.length;
		state.trackedContent?.noteSent();
		state.run = new ItemRun({
			item,
			replica,
			connection,
			reachability: reachability.of(replica),
			clock,
			dialect,
			isEligible: () => isEligible(this.#parts, replica),
			headers: itemHeaders(job.record.host, item.id, item.headers),
			events,
			caller: this.#callerOf(job),
			onChunk() {
				state.trackedContent?.noteChunk();
			},
			hasReplicaEnded: async () => reachability.hasEnded(replica),
			onEnd: (end, reason) => {
				releaseSlot();
				log.emit(gatewayEvents.itemRunEnded, {
					job: job.id, item: item.id, replica: replica.record.id, outcome: end, events: events.length, reason, elapsedMs: Math.round(clock.now() - startedAt),
				});
				state.ranMs += clock.now() - startedAt;
				if (end === 'finished') {
					this.#updateEstimate(assigned, {events: events.length - eventsBefore, elapsedMs: clock.now() - startedAt, total: events.length});
				}

				this.#onRunEnd(assigned, end);
			},
		});
		state.run.start();
	}

	/** A job keeps its account even if operators revoke the key or no longer declare any accounts. */
	#callerOf({record: {account}}: BatchJob): CallerIdentity | undefined {
		return account !== undefined || this.#parts.board.accounts ? {account} : undefined;
	}

	/** A late item has waited behind those that could be on time, so it is no sample of how long these take. */
	#updateEstimate({dueAt, state: {firstStartedAt = 0, ranMs}}: AssignedItem, lastRun: {events: number; elapsedMs: number; total: number}) {
		const {clock} = this.#parts;
		const estimate = updateEstimate(this.#runEstimate, lastRun);
		this.#runEstimate = clock.wall() <= dueAt ? updateSlowdown(estimate, {elapsedMs: clock.now() - firstStartedAt, ranMs}) : estimate;
	}

	#onRunEnd({run, route, state, replica}: AssignedItem, end: ItemRunEnd) {
		this.#parts.metrics.count('gateway.itemRuns', 1, {outcome: end});
		this.#onReplicaFault[end]?.(replica);
		this.#onTrackedEnd[end]?.(state, replica);
		run.recordRunEnd(state, end, {replica: replica.record.id, route});
		this.#scheduleFill();
	}
}
