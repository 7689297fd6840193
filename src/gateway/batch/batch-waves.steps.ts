/**
Steps for batch items beside waves of online calls, in simulations with virtual time and fixed seeds.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {BatchWaveModel, type BatchWave, type BatchWaveOutcome} from '../testing/batch-wave-model.js';
import type {CallWave} from '../testing/square-wave-calls.js';

type WavesWorld = TestWorld & {
	load: Omit<BatchWave, 'random'>;
	foreseen: readonly BatchWaveOutcome[] | undefined;
	today: readonly BatchWaveOutcome[] | undefined;
};

const seeds = [1, 2, 3];

const squareWaves: CallWave = {
	perSecond: 105, callMs: 800, calmMs: 3800, waveMs: 2800, calmRate: 0.38, waveRate: 1.84,
};

const play = (load: Omit<BatchWave, 'random'>): readonly BatchWaveOutcome[] => seeds.map(seed => {
	const model = new BatchWaveModel({...load, random: new SeededRandom(seed), draws: new SeededRandom(100 + seed)});
	model.run();
	return model.outcome;
});

const foreseen = (world: WavesWorld): readonly BatchWaveOutcome[] => {
	world.foreseen ??= play({...world.load, areWavesForeseen: true});
	return world.foreseen;
};

const today = (world: WavesWorld): readonly BatchWaveOutcome[] => {
	world.today ??= play(world.load);
	return world.today;
};

/** In percent, over all seeds. */
const mean = (outcomes: readonly BatchWaveOutcome[], part: (outcome: BatchWaveOutcome) => number): number => outcomes.reduce((sum, outcome) => sum + part(outcome), 0) * 100 / outcomes.length;

const cutTwice = ({cutTwice: share}: BatchWaveOutcome) => share;
const lateCalls = ({lateCalls: share}: BatchWaveOutcome) => share;
const onTime = ({onTime: share}: BatchWaveOutcome) => share;
const onTimeOf = (account: string) => ({onTimeByAccount}: BatchWaveOutcome) => onTimeByAccount[account] ?? 0;

const loadOf = (slots: number, perSecond: number, calls: CallWave): Omit<BatchWave, 'random'> => ({
	slots, perSecond, isSlowdownEstimated: true, calls,
});

Given('{int} slots, {int} items a second, and calls in square waves', function (this: WavesWorld, slots: number, perSecond: number) {
	this.load = loadOf(slots, perSecond, squareWaves);
});

Given('{int} slots, {int} items a second, and calls in waves of random lengths', function (this: WavesWorld, slots: number, perSecond: number) {
	this.load = loadOf(slots, perSecond, {...squareWaves, isIrregular: true});
});

Given('{int} slots, {int} items a second, and calls in square waves until {int} s', function (this: WavesWorld, slots: number, perSecond: number, seconds: number) {
	this.load = loadOf(slots, perSecond, {...squareWaves, wavesEndAt: 1000 * seconds});
});

Given('{int} items at once at {int} s', function (this: WavesWorld, items: number, seconds: number) {
	this.load = {...this.load, burst: {at: 1000 * seconds, items: {all: items}}};
});

Given('600 items of {string} at 30 s, and 10 of {string} a second later', function (this: WavesWorld, account: string, other: string) {
	this.load = {...this.load, burst: {at: 30_000, items: {[account]: 600, [other]: 10}}};
});

Then('at most {float} % of the items are cut twice, against {float} % without a forecast', function (this: WavesWorld, most: number, least: number) {
	assert.ok(mean(foreseen(this), cutTwice) <= most, String(mean(foreseen(this), cutTwice)));
	assert.ok(mean(today(this), cutTwice) >= least, String(mean(today(this), cutTwice)));
});

Then('at most {float} % of the calls wait for a slot, against {float} %', function (this: WavesWorld, most: number, least: number) {
	assert.ok(mean(foreseen(this), lateCalls) <= most, String(mean(foreseen(this), lateCalls)));
	assert.ok(mean(today(this), lateCalls) >= least, String(mean(today(this), lateCalls)));
});

Then('no more than {float} % of the items are late', function (this: WavesWorld, most: number) {
	assert.ok(100 - mean(foreseen(this), onTime) <= most, String(mean(foreseen(this), onTime)));
});

Then('no item is late', function (this: WavesWorld) {
	assert.equal(mean(foreseen(this), onTime), 100);
});

Then('slots stay free beside waiting items for at most {int} ms', function (this: WavesWorld, most: number) {
	const longest = Math.max(...foreseen(this).map(({longestIdleMs}) => longestIdleMs));
	assert.ok(longest <= most, String(longest));
});

Then('no more than {float} % fewer items are on time than without a forecast', function (this: WavesWorld, percent: number) {
	const fewer = mean(today(this), onTime) - mean(foreseen(this), onTime);
	assert.ok(fewer <= percent, String(fewer));
});

Then('no more than {float} % more calls wait for a slot', function (this: WavesWorld, percent: number) {
	const more = mean(foreseen(this), lateCalls) - mean(today(this), lateCalls);
	assert.ok(more <= percent, String(more));
});

Then('no more than {float} % fewer of these are on time than without a forecast', function (this: WavesWorld, percent: number) {
	const fewer = mean(today(this), onTimeOf('all')) - mean(foreseen(this), onTimeOf('all'));
	assert.ok(fewer <= percent, String(fewer));
});

Then('all items of {string} are on time, and none without shares', function (this: WavesWorld, account: string) {
	const shared = play({...this.load, areWavesForeseen: true, isFairBetweenAccounts: true});
	assert.equal(mean(shared, onTimeOf(account)), 100);
	assert.equal(mean(foreseen(this), onTimeOf(account)), 0);
});
