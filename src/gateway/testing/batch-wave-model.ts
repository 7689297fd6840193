/**
Simulates batch items in the slots that waves of online calls leave free, in virtual time and without a network. By default a single process sees all items, so that only their order decides; optionally, several processes with their own jobs share the free slots.

The wave is that of the busiest deployments: for 3.4 s calls occupy a quarter of the slots, then for 2.4 s all of them. As there, items are due 18 s after their submission; ten are submitted at once. Optionally the calls are simulated too, one by one and in other waves, and items yield to them as in a process: the decisions about foreseen waves are those of the gateway's own modules.
*/
import {branded} from '../../common/ids.js';
import type {Clock, RandomSource} from '../../common/services.js';
import {
	slotAllowance, initialRunEstimate, byUrgency, countWaiting, remainingMs, reservedSlots, slackMs, updateEstimate, updateSlowdown, type RunEstimate, type WaitingItem,
} from '../batch/batch-policy.js';
import {fairBetweenAccounts} from '../batch/account-order.js';
import {chooseRuns, itemsToPreempt} from '../batch/preemption.js';
import {WaveForecasts} from '../batch/wave-forecasts.js';
import {shouldWait, slotsAhead, type WaveForecast} from '../batch/wave-plan.js';
import {ConfigBoard} from '../config-board.js';
import {LoadBoard} from '../load-board.js';
import {Replica} from '../replica.js';
import type {
	GatewayConfig, GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import {SquareWaveCalls, type CallWave} from './square-wave-calls.js';

/** The simulated load. */
export type BatchWave = {
	readonly slots: number;
	/** Mean number of items per second. */
	readonly perSecond: number;
	/** Generates the jobs. */
	readonly random: RandomSource;
	/** Generates all other random values, so that two simulations have the same jobs. */
	readonly draws?: RandomSource;
	/** Whether the slowdown by preemptions is estimated. */
	readonly isSlowdownEstimated: boolean;
	/** Number of processes, among which the jobs are distributed at random. */
	readonly processes?: number;
	/** Whether each process takes slots in proportion to its share of the waiting items, instead of an equal share. */
	readonly isProportional?: boolean;
	/** Calls that are simulated one by one; items then take as long as under the busiest of these loads. */
	readonly calls?: CallWave;
	/** Whether waves of these calls are foreseen. */
	readonly areWavesForeseen?: boolean;
	/** Jobs that are submitted at once besides the others: when, and how many items each account has in them. */
	readonly burst?: {readonly at: number; readonly items: Readonly<Record<string, number>>};
	/** Whether slots are shared out between accounts. */
	readonly isFairBetweenAccounts?: boolean;
};

/** What became of the items and calls. */
export type BatchWaveOutcome = {
	/** Share of the items that were done by their due time; the same of each account of the burst. */
	readonly onTime: number;
	readonly onTimeByAccount: Readonly<Record<string, number>>;
	/** Runs cut for calls, for each item that was done. */
	readonly cutsPerResult: number;
	/** Share of the items that were cut more than once. */
	readonly cutTwice: number;
	readonly lateCalls: number;
	/** Milliseconds for which free slots stayed empty although items waited, the longest time in one go. */
	readonly longestIdleMs: number;
};

type Item = WaitingItem & {
	readonly process: number;
	readonly total: number;
	readonly account?: string;
	timesCut: number;
	sparedSince: number | undefined;
	release: (() => void) | undefined;
	events: number;
	isRunning: boolean;
	isOnTime: boolean;
	firstStartedAt: number | undefined;
	ranMs: number;
};

const lengthMs = 120_000;
const stepMs = 50;
const periodMs = 5800;
const calmMs = 3400;
const calmOnlineShare = 0.27;
const dueMs = 18_000;
const itemsPerJob = 10;
const msPerEvent = 31;
const eventsOfItem = 157;
const lengthSpread = 0.4;

/** Items under simulated calls. */
const slowItem = {eventsOfItem: 210, msPerEvent: 24};

/** Slots of each of the replicas that the one replica of the model stands for. */
const slotsOfReplica = 7;

const service = branded<GatewayServiceName>('engines');
const self = branded<MemberName>('front');
const config = {
	version: 1, services: [], limits: {}, routes: [{
		name: 'notes', host: 'h', pathPrefix: '/', kind: 'batch', targets: [{service, weight: 1}], batch: {dueMs, giveUpMs: 10 * dueMs, maxWaitingTokens: 0},
	}],
} as unknown as GatewayConfig;

/** The accounts of a burst submit one after the other, with this many milliseconds between them. */
const burstPauseMs = 1000;

/** Waiting items that each process reports if all are to take equal shares; more than there are slots. */
const equalDemand = {timely: 1000, late: 0};

/** The simulation. */
export class BatchWaveModel {
	readonly #wave: BatchWave;
	#items: Item[] = [];
	#length: RunEstimate;
	#nextSubmissionAt = 0;
	#onTime = 0;
	#due = 0;
	#now = 0;
	readonly #done: Item[] = [];
	#cuts = 0;
	#idleSince: number | undefined;
	#longestIdleMs = 0;
	#isBurstDue: boolean;
	readonly #loads = new LoadBoard();
	readonly #replica: Replica;
	readonly #calls: SquareWaveCalls | undefined;
	readonly #forecasts: WaveForecasts;

	constructor(wave: BatchWave) {
		this.#wave = wave;
		this.#length = wave.isSlowdownEstimated ? initialRunEstimate : {...initialRunEstimate, slowdown: 1, slowdownDeviation: 0};
		this.#isBurstDue = wave.burst !== undefined;
		this.#replica = new Replica({
			id: branded<ReplicaId>('all'), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: wave.slots, isDraining: false,
		});
		this.#calls = wave.calls && new SquareWaveCalls(wave.calls, {random: wave.draws ?? wave.random, loads: this.#loads, replica: this.#replica});
		const clock: Clock = {now: () => this.#now, wall: () => this.#now, sleep: async () => undefined};
		const board = new ConfigBoard();
		board.applyIfNewer(config);
		this.#forecasts = new WaveForecasts({
			board, directory: {takingWork: () => [this.#replica]}, loads: this.#loads, peers: {live: []}, clock, metrics: {count: () => undefined, gauge: () => undefined, timing: () => undefined},
		});
	}

	/** @returns The share of items that were done by their due time. */
	run(): number {
		for (let now = 0; now < lengthMs; now += stepMs) {
			this.#now = now;
			this.#submit(now);
			this.#assignSlots(now);
			this.#advance(now + stepMs);
		}

		return this.#onTime / this.#due;
	}

	/** What became of items and calls; to be read after {@link run}. */
	get outcome(): BatchWaveOutcome {
		const ended = this.#done.length;
		const accounts = Object.entries(this.#wave.burst?.items ?? {});
		return {
			onTime: this.#onTime / this.#due,
			onTimeByAccount: Object.fromEntries(accounts.map(([account, items]) => [account, this.#done.filter(item => item.account === account && item.isOnTime).length / items])),
			cutsPerResult: this.#cuts / ended,
			cutTwice: this.#done.filter(({timesCut}) => timesCut > 1).length / ended,
			lateCalls: this.#calls?.lateShare ?? 0,
			longestIdleMs: this.#longestIdleMs,
		};
	}

	#submit(now: number) {
		const {perSecond, random, draws = random, processes = 1} = this.#wave;
		while (this.#nextSubmissionAt <= now) {
			const dueAt = this.#nextSubmissionAt + dueMs;
			const process = processes === 1 ? 0 : Math.floor(draws.next() * processes);
			this.#add(itemsPerJob, {process, dueAt});
			this.#due += dueAt < lengthMs ? itemsPerJob : 0;
			this.#nextSubmissionAt -= Math.log(1 - random.next()) * 1000 * itemsPerJob / perSecond;
		}
	}

	#add(count: number, of: Pick<Item, 'process' | 'dueAt' | 'account'>) {
		const {random, calls} = this.#wave;
		const mean = calls ? slowItem.eventsOfItem : eventsOfItem;
		this.#items.push(...Array.from({length: count}, () => ({
			...of, events: 0, total: Math.round(mean * (1 - lengthSpread + (2 * lengthSpread * random.next()))), isRunning: false, isOnTime: false, firstStartedAt: undefined, ranMs: 0, timesCut: 0, sparedSince: undefined, release: undefined,
		})));
	}

	/** Items yield to simulated calls as at a process: the calls' slots are freed one step later, and free slots are filled beside the reserve. */
	#yieldToCalls(now: number, calls: SquareWaveCalls) {
		const {areWavesForeseen} = this.#wave;
		calls.advance(now);
		this.#forecasts.review();
		const forecast = areWavesForeseen ? this.#forecasts.of(service) : undefined;
		this.#preempt(now, forecast);
		this.#fillBesideCalls(now, forecast);
	}

	#preempt(now: number, forecast: WaveForecast | undefined) {
		const count = itemsToPreempt(this.#replica, self, slotsAhead(this.#replica, forecast));
		const running = this.#items.filter(({isRunning}) => isRunning);
		const {preempted, spared} = chooseRuns(running, count, {estimate: this.#length, now, areWavesForeseen: forecast !== undefined});
		spared.forEach(item => {
			item.sparedSince ??= now;
		});
		preempted.forEach(item => {
			this.#stop(item);
			item.timesCut += 1;
			this.#cuts += 1;
		});
	}

	#fillBesideCalls(now: number, forecast: WaveForecast | undefined) {
		const {slots, isFairBetweenAccounts} = this.#wave;
		const {total, allOnline, allBatch} = this.#replica;
		const waiting = this.#items.filter(({isRunning}) => !isRunning).toSorted(byUrgency(this.#length, now));
		const beginning = waiting.filter(item => !shouldWait({runMs: remainingMs(item, this.#length), dueInMs: item.dueAt - now}, forecast, {items: allBatch, waiting: waiting.length}));
		const running = new Map<string | undefined, number>();
		this.#items.filter(({isRunning}) => isRunning).forEach(({account}) => {
			running.set(account, (running.get(account) ?? 0) + 1);
		});
		const ordered = isFairBetweenAccounts ? fairBetweenAccounts(beginning, running, slots - allOnline, item => slackMs(item, this.#length, now) < 0) : beginning;
		const reserve = beginning[0] ? reservedSlots(slackMs(beginning[0], this.#length, now)) * slots / slotsOfReplica : 0;
		const free = slots - total - Math.max(reserve, slotsAhead(this.#replica, forecast));
		ordered.slice(0, Math.max(0, Math.floor(free))).forEach(item => {
			this.#start(item, now);
		});
		this.#noteIdle(now, free - ordered.length > 0 && waiting.length > ordered.length);
	}

	#noteIdle(now: number, isIdle: boolean) {
		this.#idleSince = isIdle ? this.#idleSince ?? now : undefined;
		this.#longestIdleMs = Math.max(this.#longestIdleMs, now - (this.#idleSince ?? now));
	}

	#start(item: Item, now: number) {
		item.isRunning = true;
		item.firstStartedAt ??= now;
		item.sparedSince = undefined;
		item.release = this.#loads.acquireSlot(this.#replica, 'batch');
	}

	#stop(item: Item) {
		item.isRunning = false;
		item.release?.();
	}

	#submitBurst(now: number) {
		const {burst} = this.#wave;
		if (burst && this.#isBurstDue && now >= burst.at) {
			this.#isBurstDue = false;
			Object.entries(burst.items).forEach(([account, count], i) => {
				// The accounts follow each other.
				this.#add(count, {process: 0, dueAt: now + dueMs + (i * burstPauseMs), account});
			});
		}
	}

	/** Preempts excess items, those with the least work done first, and fills free slots in the order of the policy. */
	#assignSlots(now: number) {
		this.#submitBurst(now);
		if (this.#calls) {
			this.#yieldToCalls(now, this.#calls);
			return;
		}

		const {slots} = this.#wave;
		const free = now % periodMs < calmMs ? Math.floor(slots * (1 - calmOnlineShare)) : 0;
		const running = this.#items.filter(({isRunning}) => isRunning).toSorted((a, b) => b.events - a.events);
		running.slice(free).forEach(item => {
			item.isRunning = false;
		});
		this.#distribute(Math.max(0, free - running.length), now);
	}

	/** Each process fills its share of the free slots with its most urgent items. */
	#distribute(free: number, now: number) {
		const {processes = 1, random, draws = random, isProportional = true} = this.#wave;
		const waiting = this.#items.filter(({isRunning}) => !isRunning).toSorted(byUrgency(this.#length, now));
		const byProcess = Array.from({length: processes}, (_, own) => waiting.filter(({process}) => process === own)).filter(({length}) => length > 0);
		const all = countWaiting(waiting, this.#length, now);
		byProcess.forEach(items => {
			const counts = isProportional ? {own: countWaiting(items, this.#length, now), all} : {own: equalDemand, all: {timely: byProcess.length * equalDemand.timely, late: 0}};
			items.slice(0, slotAllowance(free, counts, draws.next())).forEach(item => {
				item.isRunning = true;
				item.firstStartedAt ??= now;
			});
		});
	}

	#advance(now: number) {
		const pace = this.#wave.calls ? slowItem.msPerEvent : msPerEvent;
		this.#items.filter(({isRunning}) => isRunning).forEach(item => {
			item.events += stepMs / pace;
			item.ranMs += stepMs;
		});
		const done = this.#items.filter(({events, total}) => events >= total);
		this.#done.push(...done);
		this.#items = this.#items.filter(({events, total}) => events < total);
		done.forEach(item => {
			item.isOnTime = now <= item.dueAt;
			item.release?.();
			this.#onTime += item.account === undefined && item.dueAt < lengthMs && item.isOnTime ? 1 : 0;
			this.#recordRun(item, now);
		});
	}

	#recordRun({total, ranMs, dueAt, firstStartedAt = 0}: Item, now: number) {
		const length = updateEstimate(this.#length, {events: total, elapsedMs: ranMs, total});
		this.#length = this.#wave.isSlowdownEstimated && now <= dueAt ? updateSlowdown(length, {elapsedMs: now - firstStartedAt, ranMs}) : length;
	}
}
