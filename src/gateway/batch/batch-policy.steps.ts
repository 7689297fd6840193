/**
Steps for the scheduling policy of batch items.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {BatchWaveModel, type BatchWave} from '../testing/batch-wave-model.js';
import {
	slotAllowance, byUrgency, reservedSlots, type RunEstimate, type WaitingCounts, type WaitingItem,
} from './batch-policy.js';

type PolicyWorld = TestWorld & {
	estimate: RunEstimate;
	items: Array<WaitingItem & {readonly name: string}>;
	taken: number;
	wave: Omit<BatchWave, 'random'>;
	share: number;
	own: WaitingCounts;
	others: WaitingCounts;
};

const now = 1_000_000;
const eventsPerItem = 100;

Given('runs that take {int} ms', function (this: PolicyWorld, ms: number) {
	this.estimate = {
		msPerEvent: ms / eventsPerItem, eventsPerItem, slowdown: 1, slowdownDeviation: 0,
	};
	this.items = [];
});

Given('item {string} is due in {int} ms', function (this: PolicyWorld, name: string, ms: number) {
	this.items.push({name, dueAt: now + ms, events: 0});
});

Given('item {string} is due in {int} ms with {int} of 100 events', function (this: PolicyWorld, name: string, ms: number, events: number) {
	this.items.push({name, dueAt: now + ms, events});
});

Then('the order is {string}', function (this: PolicyWorld, names: string) {
	assert.equal(this.items.toSorted(byUrgency(this.estimate, now)).map(({name}) => name).join(', '), names);
});

Then('an item with {int} ms to spare leaves {int} slots free', (slack: number, slots: number) => {
	assert.equal(reservedSlots(slack), slots);
});

/** Each process has some items that can be on time. */
const takenBy = (processes: number, free: number, random: SeededRandom): number => Array.from({length: processes}, () => slotAllowance(free, {own: {timely: 5, late: 1}, all: {timely: 5 * processes, late: processes}}, random.next()))
	.reduce((sum, taken) => sum + taken, 0);

When('{int} processes review {int} free slots', function (this: PolicyWorld, processes: number, free: number) {
	this.taken = takenBy(processes, free, new SeededRandom(1));
});

When('{int} processes review {int} free slots {int} times', function (this: PolicyWorld, processes: number, free: number, times: number) {
	const random = new SeededRandom(1);
	this.taken = Array.from({length: times}, () => takenBy(processes, free, random)).reduce((sum, taken) => sum + taken, 0) / times;
});

Then('they take {int} slots', function (this: PolicyWorld, slots: number) {
	assert.equal(this.taken, slots);
});

Then('they take between {int} and {int} slots per review', function (this: PolicyWorld, least: number, most: number) {
	assert.ok(this.taken >= least && this.taken <= most, String(this.taken));
});

const seeds = [1, 2, 3];

const percentOnTime = (wave: Omit<BatchWave, 'random'>): number => seeds
	.map(seed => new BatchWaveModel({...wave, random: new SeededRandom(seed), draws: new SeededRandom(100 + seed)}).run())
	.reduce((sum, share) => sum + share, 0) * 100 / seeds.length;

Given('{int} slots under waves of calls, and {float} items a second', function (this: PolicyWorld, slots: number, perSecond: number) {
	this.wave = {slots, perSecond, isSlowdownEstimated: true};
});

Then('at least {int} % of the items are on time', function (this: PolicyWorld, percent: number) {
	this.share = percentOnTime(this.wave);
	assert.ok(this.share >= percent, String(this.share));
});

Then('at least {int} % more than if interruptions were ignored', function (this: PolicyWorld, percent: number) {
	const without = percentOnTime({...this.wave, isSlowdownEstimated: false});
	assert.ok(this.share - without >= percent, `${this.share} against ${without}`);
});

Given('{int} processes that share the slots', function (this: PolicyWorld, processes: number) {
	this.wave = {...this.wave, processes};
});

Then('at least {int} % more than if all took equal shares', function (this: PolicyWorld, percent: number) {
	const equal = percentOnTime({...this.wave, isProportional: false});
	assert.ok(this.share - equal >= percent, `${this.share} against ${equal}`);
});

Given('a process with {int} timely and {int} late items', function (this: PolicyWorld, timely: number, late: number) {
	this.own = {timely, late};
});

Given('other processes with {int} timely and {int} late items', function (this: PolicyWorld, timely: number, late: number) {
	this.others = {timely, late};
});

When('it reviews {int} free slots', function (this: PolicyWorld, free: number) {
	const {own, others} = this;
	const all = {timely: own.timely + others.timely, late: own.late + others.late};
	this.taken = slotAllowance(free, {own, all}, 0);
});

Then('it takes {int} slots', function (this: PolicyWorld, slots: number) {
	assert.equal(this.taken, slots);
});
