/**
Batch items in the places that waves of online calls leave, in virtual time and without a network: one process that sees everything, so that only the order of the items decides.

The wave is that of the busiest deployments: for 3.4 s calls take a quarter of the places, then for 2.4 s all of them. Items are due 18 s after they were submitted, as there, and ten come at once.
*/
import type {RandomSource} from '../../common/services.js';
import {
	assumedRunLength, byUrgency, learn, learnStretch, type RunLength, type WaitingItem,
} from '../batch/batch-policy.js';

/** The load. */
export type BatchWave = {
	readonly places: number;
	/** Items a second, on the mean. */
	readonly perSecond: number;
	readonly random: RandomSource;
	/** Whether interruptions are learnt. */
	readonly isStretchLearnt: boolean;
};

type Item = WaitingItem & {
	readonly total: number;
	events: number;
	isRunning: boolean;
	begunAt: number | undefined;
	ranMs: number;
};

const lengthMs = 120_000;
const stepMs = 50;
const periodMs = 5800;
const calmMs = 3400;
const calmShare = 0.27;
const dueMs = 18_000;
const itemsAtOnce = 10;
const msPerEvent = 31;
const eventsOfItem = 157;
const spread = 0.4;

/** See the module's head. */
export class BatchWaveModel {
	readonly #wave: BatchWave;
	#items: Item[] = [];
	#length: RunLength;
	#nextAt = 0;
	#onTime = 0;
	#due = 0;

	constructor(wave: BatchWave) {
		this.#wave = wave;
		this.#length = wave.isStretchLearnt ? assumedRunLength : {...assumedRunLength, stretch: 1, stretchDeviation: 0};
	}

	/** @returns The share of items that were done by their time. */
	run(): number {
		for (let now = 0; now < lengthMs; now += stepMs) {
			this.#submit(now);
			this.#place(now);
			this.#go(now + stepMs);
		}

		return this.#onTime / this.#due;
	}

	#submit(now: number) {
		const {perSecond, random} = this.#wave;
		while (this.#nextAt <= now) {
			const dueAt = this.#nextAt + dueMs;
			this.#items.push(...Array.from({length: itemsAtOnce}, () => ({
				dueAt, events: 0, total: Math.round(eventsOfItem * (1 - spread + (2 * spread * random.next()))), isRunning: false, begunAt: undefined, ranMs: 0,
			})));
			this.#due += dueAt < lengthMs ? itemsAtOnce : 0;
			this.#nextAt -= Math.log(1 - random.next()) * 1000 * itemsAtOnce / perSecond;
		}
	}

	/** Cuts off what is too much, least work first, and fills what is free in the order of the policy. */
	#place(now: number) {
		const {places} = this.#wave;
		const free = now % periodMs < calmMs ? Math.floor(places * (1 - calmShare)) : 0;
		const running = this.#items.filter(({isRunning}) => isRunning).toSorted((a, b) => b.events - a.events);
		running.slice(free).forEach(item => {
			item.isRunning = false;
		});
		const waiting = this.#items.filter(({isRunning}) => !isRunning).toSorted(byUrgency(this.#length, now));
		waiting.slice(0, Math.max(0, free - running.length)).forEach(item => {
			item.isRunning = true;
			item.begunAt ??= now;
		});
	}

	#go(now: number) {
		this.#items.filter(({isRunning}) => isRunning).forEach(item => {
			item.events += stepMs / msPerEvent;
			item.ranMs += stepMs;
		});
		const done = this.#items.filter(({events, total}) => events >= total);
		this.#items = this.#items.filter(({events, total}) => events < total);
		done.forEach(item => {
			this.#onTime += item.dueAt < lengthMs && now <= item.dueAt ? 1 : 0;
			this.#learn(item, now);
		});
	}

	#learn({total, ranMs, dueAt, begunAt = 0}: Item, now: number) {
		const length = learn(this.#length, {events: total, elapsedMs: ranMs, total});
		this.#length = this.#wave.isStretchLearnt && now <= dueAt ? learnStretch(length, {elapsedMs: now - begunAt, ranMs}) : length;
	}
}
