/**
Simulates batch items in the slots that waves of online calls leave free, in virtual time and without a network. By default a single process sees all items, so that only their order decides; optionally, several processes with their own jobs share the free slots.

The wave is that of the busiest deployments: for 3.4 s calls occupy a quarter of the slots, then for 2.4 s all of them. As there, items are due 18 s after their submission; ten are submitted at once.
*/
import type {RandomSource} from '../../common/services.js';
import {
	slotAllowance, initialRunEstimate, byUrgency, countWaiting, updateEstimate, updateSlowdown, type RunEstimate, type WaitingItem,
} from '../batch/batch-policy.js';

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
};

type Item = WaitingItem & {
	readonly process: number;
	readonly total: number;
	events: number;
	isRunning: boolean;
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

	constructor(wave: BatchWave) {
		this.#wave = wave;
		this.#length = wave.isSlowdownEstimated ? initialRunEstimate : {...initialRunEstimate, slowdown: 1, slowdownDeviation: 0};
	}

	/** @returns The share of items that were done by their due time. */
	run(): number {
		for (let now = 0; now < lengthMs; now += stepMs) {
			this.#submit(now);
			this.#assignSlots(now);
			this.#advance(now + stepMs);
		}

		return this.#onTime / this.#due;
	}

	#submit(now: number) {
		const {perSecond, random, draws = random, processes = 1} = this.#wave;
		while (this.#nextSubmissionAt <= now) {
			const dueAt = this.#nextSubmissionAt + dueMs;
			const process = processes === 1 ? 0 : Math.floor(draws.next() * processes);
			this.#items.push(...Array.from({length: itemsPerJob}, () => ({
				process, dueAt, events: 0, total: Math.round(eventsOfItem * (1 - lengthSpread + (2 * lengthSpread * random.next()))), isRunning: false, firstStartedAt: undefined, ranMs: 0,
			})));
			this.#due += dueAt < lengthMs ? itemsPerJob : 0;
			this.#nextSubmissionAt -= Math.log(1 - random.next()) * 1000 * itemsPerJob / perSecond;
		}
	}

	/** Preempts excess items, those with the least work done first, and fills free slots in the order of the policy. */
	#assignSlots(now: number) {
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
		this.#items.filter(({isRunning}) => isRunning).forEach(item => {
			item.events += stepMs / msPerEvent;
			item.ranMs += stepMs;
		});
		const done = this.#items.filter(({events, total}) => events >= total);
		this.#items = this.#items.filter(({events, total}) => events < total);
		done.forEach(item => {
			this.#onTime += item.dueAt < lengthMs && now <= item.dueAt ? 1 : 0;
			this.#recordRun(item, now);
		});
	}

	#recordRun({total, ranMs, dueAt, firstStartedAt = 0}: Item, now: number) {
		const length = updateEstimate(this.#length, {events: total, elapsedMs: ranMs, total});
		this.#length = this.#wave.isSlowdownEstimated && now <= dueAt ? updateSlowdown(length, {elapsedMs: now - firstStartedAt, ranMs}) : length;
	}
}
