/**
Runs the items of the jobs that this process has claimed, in the places that online calls leave free, and gives places back as soon as online calls need them. An item that is cut off goes on later from its last event, so what is lost is the reading of its prompt.
*/
import type {
	Clock, Disposable, EventLog, Metrics, ObjectApi, RandomSource,
} from '../../common/services.js';
import type {ConfigBoard} from '../config-board.js';
import type {LoadBoard} from '../load-board.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import {chooseForBatch, itemsToCut} from '../replica-choice.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import {gatherMs} from '../peers/peer-announcer.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {ReplicaConnection} from '../replica-connections.js';
import type {ReplicaLinks} from '../replica-links.js';
import type {Replica} from '../replica.js';
import type {
	BatchJobId, CallDialect, GatewayRoute, MemberName,
} from '../types.js';
import type {BatchBook} from './batch-book.js';
import type {BatchJob} from './batch-job.js';
import {
	allowance, assumedRunLength, byUrgency, learn, reservedPlaces, slackMs, type WaitingItem,
} from './batch-policy.js';
import {
	recordNames, type BatchItem, type HandoverRecord, type ItemProgress,
} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import {ItemRun, type ItemRunEnd} from './item-run.js';
import type {JobClaims} from './job-claims.js';
import {JobRun, type ItemState} from './job-run.js';
import {ResultWriter} from './result-writer.js';

/** How the headers of an item are put together. */
export type ItemHeaders = (host: string, itemId: string, headers: BatchItem['headers']) => string[];

/** What the runner reads and writes. */
export type BatchRunnerParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly book: BatchBook;
	readonly contents: ContentStore;
	readonly peers: PeerTable;
	readonly claims: JobClaims;
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	readonly loads: LoadBoard;
	readonly links: ReplicaLinks;
	readonly dialect: CallDialect;
	readonly itemHeaders: ItemHeaders;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly failureDomain: string;
};

/** An item that waits for a place. */
type WaitingPlace = WaitingItem & {
	readonly run: JobRun;
	readonly job: BatchJob;
	readonly route: GatewayRoute;
	readonly state: ItemState;
};

/** A place that was found for an item. */
type ItemPlace = WaitingPlace & {
	readonly replica: Replica;
};

/** Changes of load come in bursts; the free places are looked at once for all that come within this many milliseconds. */
const burstMs = 10;

/** After places were taken, the peers must have heard of it before more are; a message travels for this long at most within a region, in milliseconds. */
const travelMs = 20;

/** Without any change, milliseconds until free places and claims are looked at again. */
const reviewMs = 150;

/** A route that is missing from the configuration for this long, in milliseconds, is gone for good; its items will not be done. */
const routeGoneMs = 3000;

/** The wall clocks of two processes may differ by this much, in milliseconds; an item is given up only once its time is over by every clock. */
const clockSlackMs = 5000;

/** A shutdown waits this long, in milliseconds, for what it leaves to its peers to be written. */
const handoverLimitMs = 1500;

const leastWorkFirst = (a: ItemState, b: ItemState): number => a.events.length - b.events.length;

/** See the module's head. */
export class BatchRunner implements Disposable {
	readonly #parts: BatchRunnerParts;
	readonly #runs = new Map<BatchJobId, JobRun>();
	readonly #routeGoneSince = new Map<BatchJobId, number>();
	#runLength = assumedRunLength;
	#nextFillAt = 0;
	#pending: NodeJS.Timeout | undefined;
	#review: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(parts: BatchRunnerParts) {
		this.#parts = parts;
		const {loads, book} = parts;
		loads.onOwnChange(replica => {
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

	/** Begins to run items. */
	start(): void {
		this.#review = setInterval(() => {
			this.#takeClaims();
			this.#fill();
		}, reviewMs);
	}

	/** Gives all jobs away, with what is known of their items, and cuts their runs off. */
	async handOver(): Promise<void> {
		this.#isStopped = true;
		const runs = [...this.#runs.values()];
		runs.forEach(run => {
			run.cutAll();
		});
		await Promise.all(runs.map(async run => this.#leave(run)));
		this.#parts.claims.releaseAll();
		this.#takeClaims();
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#review);
		clearTimeout(this.#pending);
		this.#runs.forEach(run => {
			run.dispose();
		});
		this.#runs.clear();
	}

	async #leave(run: JobRun) {
		const {clock} = this.#parts;
		const {job} = run;
		const items = run.progress();
		if (job && items.length > 0) {
			const written = this.#writeHandover(job.id, items);
			await Promise.race([written, clock.sleep(handoverLimitMs)]);
		}

		await run.writer.flush(handoverLimitMs);
	}

	async #writeHandover(job: BatchJobId, items: readonly ItemProgress[]) {
		const {api, contents, self, clock} = this.#parts;
		const content = contents.newName(job);
		const written = await contents.write(content, {type: 'progress', items});
		if (written.isRight()) {
			const record: HandoverRecord = {type: 'handover', job, content};
			await api.create('BatchRecord', recordNames.handover(job, `${self}-${clock.wall()}`), record);
		}
	}

	/** Opens a run for each claimed job and closes those that are claimed no more. */
	#takeClaims() {
		const {claims, book} = this.#parts;
		claims.review();
		[...this.#runs.keys()].filter(id => !claims.has(id)).forEach(id => {
			this.#runs.get(id)?.dispose();
			this.#runs.delete(id);
		});
		claims.claimed.filter(id => !this.#runs.has(id)).forEach(id => {
			const job = () => book.job(id);
			const {contents, clock} = this.#parts;
			this.#runs.set(id, new JobRun({
				job, writer: new ResultWriter(this.#parts, job), contents, clock,
			}));
		});
		this.#runs.forEach(run => {
			void run.load().then(() => {
				this.#fillSoon();
			});
		});
	}

	#onLoad(replica: Replica) {
		const count = itemsToCut(replica);
		if (count > 0) {
			this.#cut(replica, count);
		}

		this.#fillSoon();
	}

	/** The runs that have brought least are cut off, since they lose least by it. */
	#cut(replica: Replica, count: number) {
		[...this.#runs.values()]
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

	/** Fills this process's share of the free places, with the most urgent items. */
	#fill() {
		clearTimeout(this.#pending);
		this.#pending = undefined;
		if (this.#isStopped) {
			return;
		}

		const {clock} = this.#parts;
		const wallNow = clock.wall();
		const waiting = [...this.#runs.values()].flatMap(run => this.#waitingOf(run)).toSorted(byUrgency(this.#runLength, wallNow));
		if (waiting.length === 0) {
			return;
		}

		let left = this.#allowance(waiting[0]!);
		waiting.every(item => {
			const isStarted = left > 0 && this.#start(item);
			left -= isStarted ? 1 : 0;
			return left > 0;
		});
		this.#nextFillAt = clock.now() + (this.#sharers() > 1 ? gatherMs(this.#parts.peers.live.length) + travelMs : 0);
	}

	#waitingOf(run: JobRun): WaitingPlace[] {
		const {job} = run;
		if (!job?.isOpen) {
			return [];
		}

		const route = this.#routeOf(job);
		if (!route) {
			this.#giveUpWithoutRoute(run);
			return [];
		}

		this.#routeGoneSince.delete(job.id);
		if (this.#isOverdue(job, route)) {
			run.giveUpAll();
			return [];
		}

		const dueAt = this.#dueAt(job);
		return run.waiting().map(state => ({
			run, job, route, state, dueAt, events: state.events.length,
		}));
	}

	/** @param first - The most urgent item; it decides how many places stay free. */
	#allowance(first: WaitingPlace): number {
		const {random} = this.#parts;
		const reserve = this.#reserveFor(first);
		const free = this.#replicasOf(first.route)
			.map(({total, record}) => Math.max(0, record.slots - reserve - total))
			.reduce((sum, places) => sum + places, 0);
		return allowance(free, this.#sharers(), random.next());
	}

	#reserveFor(item: WaitingPlace): number {
		return reservedPlaces(slackMs(item, this.#runLength, this.#parts.clock.wall()));
	}

	/** Processes that look for places. */
	#sharers(): number {
		return 1 + this.#parts.peers.live.filter(({jobs}) => jobs.size > 0).length;
	}

	/** The route by which the job's items go now; an operator may have moved it to another service. */
	#routeOf({record}: BatchJob): GatewayRoute | undefined {
		const {routes} = this.#parts.board;
		const route = routes.named(record.route);
		return route && routes.match(record.host, record.target) === route ? route : undefined;
	}

	#giveUpWithoutRoute(run: JobRun) {
		const {clock, board} = this.#parts;
		const id = run.job?.id;
		if (id === undefined || !board.config) {
			return;
		}

		const since = this.#routeGoneSince.get(id) ?? clock.now();
		this.#routeGoneSince.set(id, since);
		if (clock.now() - since > routeGoneMs) {
			run.giveUpAll();
		}
	}

	#isOverdue({record}: BatchJob, {batch}: GatewayRoute): boolean {
		return this.#parts.clock.wall() > record.submittedAt + (batch?.giveUpMs ?? Infinity) + clockSlackMs;
	}

	#dueAt({record}: BatchJob): number {
		return record.submittedAt + (this.#parts.board.routes.named(record.route)?.batch?.dueMs ?? 0);
	}

	/** @returns Whether a place was found. */
	#start(item: WaitingPlace): boolean {
		const {clock, random, failureDomain, links} = this.#parts;
		const replica = chooseForBatch(this.#replicasOf(item.route), this.#reserveFor(item), {
			now: clock.now(), random, failureDomain, tried: new Set(),
		});
		const connection = replica && links.take(replica);
		if (!replica || !connection) {
			return false;
		}

		this.#send({...item, replica}, connection);
		return true;
	}

	#replicasOf({targets}: GatewayRoute): readonly Replica[] {
		return targets.filter(({weight}) => weight > 0).flatMap(({service}) => this.#parts.directory.takingWork(service));
	}

	#send(place: ItemPlace, connection: ReplicaConnection) {
		const {job, state, replica} = place;
		const {loads, dialect, itemHeaders, log, clock} = this.#parts;
		const {item, events} = state;
		log.emit(gatewayEvents.itemStarted, {
			job: job.id, item: item.id, replica: replica.record.id, resumeAfter: events.length, dueInMs: Math.round(this.#dueAt(job) - clock.wall()),
		});
		const giveBack = loads.take(replica, 'batch');
		const startedAt = clock.now();
		const known = events.length;
		state.run = new ItemRun({
			item,
			replica,
			connection,
			dialect,
			headers: itemHeaders(job.record.host, item.id, item.headers),
			events,
			onEnd: (end, reason) => {
				giveBack();
				log.emit(gatewayEvents.itemRunEnded, {
					job: job.id, item: item.id, replica: replica.record.id, outcome: end, events: events.length, reason, elapsedMs: Math.round(clock.now() - startedAt),
				});
				if (end === 'finished') {
					this.#runLength = learn(this.#runLength, {events: events.length - known, elapsedMs: clock.now() - startedAt, total: events.length});
				}

				this.#onRunEnd(place, end);
			},
		});
		state.run.start();
	}

	#onRunEnd({run, route, state, replica}: ItemPlace, end: ItemRunEnd) {
		this.#parts.metrics.count('gateway.itemRuns', 1, {outcome: end});
		if (end === 'unreachable') {
			replica.noteFailure(this.#parts.clock.now());
		} else if (end === 'declined') {
			replica.noteFull(this.#parts.clock.now());
		}

		run.noteEnd(state, end, route);
		this.#fillSoon();
	}
}
