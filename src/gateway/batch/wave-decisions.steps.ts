/**
Steps for the decisions about items around a foreseen wave.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {fairBetweenAccounts} from './account-order.js';
import {chooseRuns} from './preemption.js';
import {
	shouldWait, slotsAhead, type Occupancy, type WaveForecast,
} from './wave-plan.js';

type Run = {readonly events: number; readonly timesCut: number};

type DecisionWorld = TestWorld & {
	areWavesUnknown: boolean | undefined;
	forecast: WaveForecast | undefined;
	occupancy: Occupancy;
	runs: readonly Run[];
	sparedMs: number | undefined;
	running: ReadonlyMap<string | undefined, number>;
	slots: number;
	order: string;
};

const estimate = {
	msPerEvent: 24, eventsPerItem: 210, slowdown: 1.5, slowdownDeviation: 0.25,
};
const calmMs = 3800;
const waveMs = 2800;
const now = 10_000;

Given('a wave in {int} ms, {int} items in flight and {int} that wait', function (this: DecisionWorld, rise: number, items: number, waiting: number) {
	const isHigh = rise <= 0;
	this.forecast = {
		sureness: 1, isHigh, msToRise: isHigh ? rise + calmMs + waveMs : rise, msToFall: rise + waveMs, msSinceRise: isHigh ? -rise : undefined, calmMs, waveMs, slots: 161, calmSlots: 30, waveSlots: 150, ageMs: 0,
	};
	this.occupancy = {items, waiting};
});

Given('no forecast', function (this: DecisionWorld) {
	this.areWavesUnknown = true;
	this.occupancy = {items: 100, waiting: 10};
});

const decisionOf = ({forecast, occupancy}: DecisionWorld, runMs: number, dueInMs: number) => shouldWait({runMs, dueInMs}, forecast, occupancy);

Then('an item with {int} ms to run that is due in {int} ms waits', function (this: DecisionWorld, runMs: number, dueInMs: number) {
	assert.equal(decisionOf(this, runMs, dueInMs), true);
});

Then('an item with {int} ms to run that is due in {int} ms begins', function (this: DecisionWorld, runMs: number, dueInMs: number) {
	assert.equal(decisionOf(this, runMs, dueInMs), false);
});

Then('a replica of {int} slots with {int} calls keeps {int} slots free', function (this: DecisionWorld, slots: number, calls: number, free: number) {
	assert.equal(slotsAhead({allOnline: calls, record: {slots}}, this.forecast), free);
});

Given('runs with {string} events', function (this: DecisionWorld, runs: string) {
	this.runs = runs.split(', ').map(run => {
		const [events, timesCut = '0'] = run.split(' cut ');
		return {events: Number(events), timesCut: Number(timesCut)};
	});
});

When('they have been let finish for {int} ms', function (this: DecisionWorld, ms: number) {
	this.sparedMs = ms;
});

Then('for {int} calls those with {string} are cut, and those with {string} are let finish', function (this: DecisionWorld, calls: number, cut: string, spared: string) {
	const sparedSince = this.sparedMs === undefined ? undefined : now - this.sparedMs;
	const chosen = chooseRuns(this.runs.map(run => ({...run, sparedSince})), calls, {estimate, now, areWavesForeseen: !this.areWavesUnknown});
	const namesOf = (runs: readonly Run[]) => runs.map(({events}) => events).join(', ');
	assert.equal(namesOf(chosen.preempted), cut);
	assert.equal(namesOf(chosen.spared), spared);
});

Given('accounts that run {string} items in {int} slots', function (this: DecisionWorld, running: string, slots: number) {
	this.running = new Map(running.split(', ').map(entry => {
		const [account, items] = entry.split(' ');
		return [account, Number(items)];
	}));
	this.slots = slots;
});

When('items of {string} wait, the most urgent first', function (this: DecisionWorld, accounts: string) {
	const items = accounts.split(', ').map(account => ({account}));
	this.order = fairBetweenAccounts(items, this.running, this.slots, ({account}) => account === 'late').map(({account}) => account).join(', ');
});

Then('they begin in the order {string}', function (this: DecisionWorld, order: string) {
	assert.equal(this.order, order);
});
