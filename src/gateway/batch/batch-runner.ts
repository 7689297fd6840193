/**
Runs the items of the jobs that this process has claimed, in slots that online calls leave free, and releases slots as soon as online calls need them. A preempted item resumes later after its last event, so only the prefill of its prompt is lost.
*/
import type {
	Clock, Disposable, EventLog, Metrics, ObjectApi, RandomSource,
} from '../../common/services.js';
import type {RpcClient} from '../../io/rpc-client.js';
import type {ConfigBoard} from '../config-board.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import type {LoadBoard} from '../load-board.js';
import type {FeedFreshness} from '../feed-freshness.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {RelativePaces} from '../placement/relative-paces.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import {announcementDelayMs} from '../peers/peer-announcer.js';
import type {SharedWaiting} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {ItemPauses} from '../quarantine/item-pauses.js';
import type {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {ReplicaConnectionPools} from '../replica-connection-pools.js';
import type {Replica} from '../replica.js';
import type {CallDialect, MemberName} from '../types.js';
import {fairBetweenAccounts} from './account-order.js';
import {
	byUrgency, countWaiting, slackMs, type WaitingCounts,
} from './batch-policy.js';
import type {ContentStore} from './content-store.js';
import type {FailedRuns} from './failed-runs.js';
import {ItemSender, type ItemHeaderBuilder} from './item-sender.js';
import type {JobClaims} from './job-claims.js';
import type {JobHandover} from './job-handover.js';
import type {JobIndex} from './job-index.js';
import {JobRuns} from './job-runs.js';
import {JobRoutePolicy} from './job-route-policy.js';
import {pendingItemsOf, type PendingItem} from './pending-items.js';
import {RunPreemptor} from './run-preemptor.js';
import {SlotFinder, type FoundSlot} from './slot-finder.js';
import type {WaveForecasts} from './wave-forecasts.js';
import {WaveHolds} from './wave-holds.js';

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
	readonly itemPauses: ItemPauses;
	readonly waves: WaveForecasts;
	readonly dialect: CallDialect;
	readonly itemHeaders: ItemHeaderBuilder;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly failureDomain: string;
	readonly paces: RelativePaces;
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

/** See the module's head. */
export class BatchRunner implements Disposable {
	readonly #parts: BatchRunnerParts;
	readonly #runs: JobRuns;
	readonly #slotFinder: SlotFinder;
	readonly #routePolicy: JobRoutePolicy;
	readonly #sender: ItemSender;
	readonly #preemptor: RunPreemptor;
	readonly #holds: WaveHolds;
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
		this.#sender = new ItemSender(parts, this.#routePolicy, () => {
			this.#scheduleFill();
		});
		this.#preemptor = new RunPreemptor(parts, () => this.#runs.all, () => this.#sender.estimate);
		this.#holds = new WaveHolds(parts);
		loads.onLocalChange(replica => {
			this.#onLoadChange(replica);
		});
		loads.onPeerChange(replica => {
			this.#onLoadChange(replica);
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
			this.#parts.waves.review();
			this.#preemptor.reviewForeseen();
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
		this.#preemptor.review(replica);
		this.#scheduleFill();
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
		const byRoute = groupByRoute(this.#runs.all.flatMap(run => pendingItemsOf(run, this.#routePolicy, this.#parts)));
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
		const {estimate} = this.#sender;
		const own = this.#count(items, wallNow);
		const {route} = items[0]!;
		const occupancy = this.#slotFinder.occupancy(route, own);
		const beginning = this.#holds.beginning(items.toSorted(byUrgency(estimate, wallNow)), estimate, occupancy);
		const [first] = beginning;
		if (!first) {
			return;
		}

		const fair = fairBetweenAccounts(beginning, this.#runs.runningByAccount, occupancy.itemSlots, item => slackMs(item, estimate, wallNow) < 0);
		let remaining = this.#slotFinder.slotAllowance(first, own, estimate);
		fair.every(item => {
			const isStarted = remaining > 0 && this.#tryStart(item);
			remaining -= isStarted ? 1 : 0;
			return remaining > 0;
		});
	}

	#count(items: readonly PendingItem[], wallNow: number): WaitingCounts {
		return countWaiting(items, this.#sender.estimate, wallNow);
	}

	/** @returns Whether a slot was found. */
	#tryStart(item: PendingItem): boolean {
		const {state} = item;
		if (state.tracked?.canBeSent === false) {
			return false;
		}

		const slot = this.#slotFinder.findSlot(item, this.#sender.estimate) ?? this.#findOtherVersion(item);
		if (slot) {
			state.blockedSince = undefined;
			this.#sender.send({...item, replica: slot.replica}, slot.connection);
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

		const slot = this.#slotFinder.findSlot({...item, softwareVersion: undefined}, this.#sender.estimate);
		if (slot && slot.replica.record.softwareVersion !== softwareVersion) {
			this.#parts.log.emit(gatewayEvents.itemRestarted, {
				job: job.id, item: state.item.id, events: state.events.length, softwareVersion, blockedMs: Math.round(now - state.blockedSince),
			});
			state.events = [];
		}

		return slot;
	}
}
