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
import {itemsToPreempt} from '../replica-choice.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import {announcementDelayMs} from '../peers/peer-announcer.js';
import type {SharedWaiting} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
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
import {SlotFinder, type SlotRequest} from './slot-finder.js';

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
	readonly dialect: CallDialect;
	readonly itemHeaders: ItemHeaderBuilder;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly failureDomain: string;
};

/** An item that waits for a slot. */
type WaitingPlace = SlotRequest & {
	readonly run: JobRun;
	readonly job: BatchJob;
	readonly state: ItemState;
};

/** An item with the replica at which a slot was found for it. */
type ItemPlace = WaitingPlace & {
	readonly replica: Replica;
};

/** Changes of load come in bursts; free slots are reviewed once for all changes within this many milliseconds. */
const burstMs = 10;

/** After slots were taken, the peers must have received this before more are taken; a message takes at most this long within a region, in milliseconds. */
const travelMs = 20;

/** Without any change, milliseconds until free slots and claims are reviewed again. */
const reviewMs = 150;

const groupByRoute = (items: readonly WaitingPlace[]): ReadonlyMap<string, readonly WaitingPlace[]> => {
	const groups = new Map<string, WaitingPlace[]>();
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
	readonly #finder: SlotFinder;
	readonly #terms: JobRoutePolicy;
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

	readonly #onWatchedEnd: Readonly<Partial<Record<ItemRunEnd, (state: ItemState, replica: Replica) => void>>> = {
		finished({trackedContent: watched}) {
			watched?.noteCompleted();
		},
		lost({trackedContent: watched}, replica) {
			void watched?.noteConnectionLost(replica);
		},
	};

	#runLength = initialRunEstimate;
	#waiting: readonly SharedWaiting[] = [];
	#nextFillAt = 0;
	#pending: NodeJS.Timeout | undefined;
	#review: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(parts: BatchRunnerParts) {
		this.#parts = parts;
		const {loads, jobIndex: book, board, clock} = parts;
		this.#finder = new SlotFinder(parts);
		this.#terms = new JobRoutePolicy(board, clock);
		this.#runs = new JobRuns(parts, this.#terms);
		loads.onLocalChange(replica => {
			this.#onLoad(replica);
		});
		loads.onPeerChange(replica => {
			this.#onLoad(replica);
		});
		book.onChange(() => {
			this.#takeClaims();
			this.#fillSoon();
		});
	}

	/** The numbers of items that waited for a slot at the last review, by route. */
	get waiting(): readonly SharedWaiting[] {
		return this.#waiting;
	}

	/** Starts to review claims and to run items. */
	start(): void {
		this.#review = setInterval(() => {
			this.#takeClaims();
			this.#fill();
		}, reviewMs);
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
			this.#takeClaims();
		}

		return isTaken;
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#review);
		clearTimeout(this.#pending);
		this.#runs.dispose();
	}

	#takeClaims() {
		this.#runs.review(() => {
			this.#fillSoon();
		});
	}

	#onLoad(replica: Replica) {
		const count = itemsToPreempt(replica, this.#parts.self);
		if (count > 0) {
			this.#cut(replica, count);
		}

		this.#fillSoon();
	}

	/** Preempts the runs with the fewest events, since they lose the least work. */
	#cut(replica: Replica, count: number) {
		this.#runs.all
			.flatMap(run => run.running)
			.filter(({run}) => run?.replica === replica)
			.toSorted(leastWorkFirst)
			.slice(0, count)
			.forEach(({run}) => {
				run?.dispose();
			});
	}

	#fillSoon() {
		const now = this.#parts.clock.now();
		this.#pending ??= setTimeout(() => {
			this.#fill();
		}, Math.max(burstMs, this.#nextFillAt - now));
	}

	/** Fills this process's share of the free slots with the most urgent items. */
	#fill() {
		clearTimeout(this.#pending);
		this.#pending = undefined;
		if (this.#isStopped) {
			return;
		}

		const {clock, replicaFreshness} = this.#parts;
		if (!replicaFreshness.isFresh) {
			void replicaFreshness.refresh().then(() => {
				this.#fillSoon();
			});
			return;
		}

		const wallNow = clock.wall();
		const byRoute = groupByRoute(this.#runs.all.flatMap(run => this.#waitingOf(run)));
		[...byRoute.values()].forEach(items => {
			this.#fillRoute(items, wallNow);
		});
		this.#waiting = [...byRoute].map(([route, items]) => ({route, ...this.#count(items.filter(({state}) => !state.run), wallNow)}));
		if (byRoute.size === 0) {
			return;
		}

		this.#nextFillAt = clock.now() + (this.#finder.processCount > 1 ? announcementDelayMs(this.#parts.peers.live.length) + travelMs : 0);
	}

	#fillRoute(items: readonly WaitingPlace[], wallNow: number) {
		const urgent = items.toSorted(byUrgency(this.#runLength, wallNow));
		let left = this.#finder.allowance(urgent[0]!, this.#count(items, wallNow), this.#runLength);
		urgent.every(item => {
			const isStarted = left > 0 && this.#start(item);
			left -= isStarted ? 1 : 0;
			return left > 0;
		});
	}

	#count(items: readonly WaitingPlace[], wallNow: number): WaitingCounts {
		return countWaiting(items, this.#runLength, wallNow);
	}

	#waitingOf(run: JobRun): WaitingPlace[] {
		const {job} = run;
		if (!job?.isOpen) {
			return [];
		}

		const route = this.#terms.routeOf(job);
		if (route ? this.#terms.isExpired(job, route) : this.#terms.hasLostRoute(job)) {
			run.giveUpAll();
			return [];
		}

		if (!route) {
			return [];
		}

		run.giveUpFailed(route);
		const dueAt = this.#terms.dueAt(job);
		return run.waiting().filter(state => this.#watch(job, state).heldMs === 0).map(state => ({
			run, job, route, state, dueAt, events: state.events.length, failedReplicas: new Set(this.#parts.failedRuns.of(state.item.id).map(({replica}) => replica)), needsNewConnection: state.lastEnd === 'broken',
		}));
	}

	#watch(job: BatchJob, state: ItemState): TrackedContent {
		const {path, body} = state.item;
		state.trackedContent ??= new TrackedContent(this.#parts, 'batch', {
			host: job.record.host, method: itemMethod, target: path, body: Buffer.from(body, 'base64'),
		});
		return state.trackedContent;
	}

	/** @returns Whether a slot was found. */
	#start(item: WaitingPlace): boolean {
		const place = this.#finder.findSlot(item, this.#runLength);
		if (place) {
			this.#send({...item, replica: place.replica}, place.connection);
		}

		return place !== undefined;
	}

	#send(place: ItemPlace, connection: ReplicaConnection) {
		const {job, state, replica} = place;
		const {
			loads, reachability: contacts, dialect, itemHeaders, log, clock,
		} = this.#parts;
		const {item, events} = state;
		log.emit(gatewayEvents.itemStarted, {
			job: job.id, item: item.id, replica: replica.record.id, resumeAfter: events.length, dueInMs: Math.round(this.#terms.dueAt(job) - clock.wall()), ...registrationAge(this.#parts, replica),
		});
		const giveBack = loads.acquireSlot(replica, 'batch');
		const startedAt = clock.now();
		state.firstStartedAt ??= startedAt;
		const known = events.length;
		state.run = new ItemRun({
			item,
			replica,
			connection,
			reachability: contacts.of(replica),
			clock,
			dialect,
			isCurrent: () => isEligible(this.#parts, replica),
			headers: itemHeaders(job.record.host, item.id, item.headers),
			events,
			caller: this.#callerOf(job),
			onEnd: (end, reason) => {
				giveBack();
				log.emit(gatewayEvents.itemRunEnded, {
					job: job.id, item: item.id, replica: replica.record.id, outcome: end, events: events.length, reason, elapsedMs: Math.round(clock.now() - startedAt),
				});
				state.ranMs += clock.now() - startedAt;
				if (end === 'finished') {
					this.#learn(place, {events: events.length - known, elapsedMs: clock.now() - startedAt, total: events.length});
				}

				this.#onRunEnd(place, end);
			},
		});
		state.run.start();
	}

	/** A job keeps its account even if operators revoke the key or no longer declare any accounts. */
	#callerOf({record: {account}}: BatchJob): CallerIdentity | undefined {
		return account !== undefined || this.#parts.board.accounts ? {account} : undefined;
	}

	/** A late item has waited behind those that could be on time, so it is no sample of how long these take. */
	#learn({dueAt, state: {firstStartedAt: begunAt = 0, ranMs}}: ItemPlace, lastRun: {events: number; elapsedMs: number; total: number}) {
		const {clock} = this.#parts;
		const length = updateEstimate(this.#runLength, lastRun);
		this.#runLength = clock.wall() <= dueAt ? updateSlowdown(length, {elapsedMs: clock.now() - begunAt, ranMs}) : length;
	}

	#onRunEnd({run, route, state, replica}: ItemPlace, end: ItemRunEnd) {
		this.#parts.metrics.count('gateway.itemRuns', 1, {outcome: end});
		this.#onReplicaFault[end]?.(replica);
		this.#onWatchedEnd[end]?.(state, replica);
		run.noteEnd(state, end, {replica: replica.record.id, route});
		this.#fillSoon();
	}
}
