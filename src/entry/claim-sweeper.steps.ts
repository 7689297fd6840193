/**
Steps that let days pass for claims.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {ClaimSweeper} from './claim-sweeper.js';

type SweepWorld = TestWorld & {wall: number; api: FakeObjectApi; retainMs: number; minutes: number; callers: FakeObjectApi[]};

const minuteMs = 60_000;
const minutesPerHour = 60;
const hourMs = minutesPerHour * minuteMs;

const sweeperOf = (world: SweepWorld, api: FakeObjectApi, vm: string, vms: readonly string[]) => new ClaimSweeper({
	api, vm, entries: () => vms, retainMs: world.retainMs, log: {emit: () => undefined}, clock: {now: () => world.wall, wall: () => world.wall, sleep: async () => undefined},
});

const sweepFor = async (world: SweepWorld, sweeper: ClaimSweeper, hours: number) => {
	for (let minute = 0; minute < hours * minutesPerHour; minute++) {
		world.wall += minuteMs;
		await sweeper.sweep();
	}
};

Given('claims of the keys {string} and a sweeper that keeps them {int} hours', async function (this: SweepWorld, keys: string, hours: number) {
	this.wall = hourMs;
	this.minutes = 0;
	this.retainMs = hours * hourMs;
	this.api = new FakeObjectApi();
	await Promise.all(keys.split(', ').filter(Boolean).map(async key => this.api.create('Claim', key, {key})));
});

When('it sweeps once a minute for {int} hours', async function (this: SweepWorld, hours: number) {
	this.minutes = hours * minutesPerHour;
	await sweepFor(this, sweeperOf(this, this.api, 'entry-1', ['entry-1']), hours);
});

When('it sweeps once a minute for {int} hours on each of {int} entries', async function (this: SweepWorld, hours: number, count: number) {
	const vms = Array.from({length: count}, (_, i) => `entry-${i}`);
	this.callers = vms.map(() => new FakeObjectApi());
	await Promise.all(vms.map(async (vm, i) => sweepFor(this, sweeperOf(this, this.callers[i]!, vm, vms), hours)));
});

When('the claim of {string} changes', async function (this: SweepWorld, key: string) {
	const read = await this.api.get('Claim', key);
	await this.api.update('Claim', key, {key, changed: true}, read.unsafeCoerce().version);
});

Then('the claims are {string}', function (this: SweepWorld, keys: string) {
	assert.equal(this.api.all('Claim').map(({name}) => name).filter(name => !name.startsWith('!')).join(', '), keys);
});

Then('it made at most {float} calls a minute', function (this: SweepWorld, rate: number) {
	const calls = Object.values(this.api.calls).reduce((sum, count) => sum + count, 0);
	assert.ok(calls / this.minutes <= rate, `${calls} calls in ${this.minutes} minutes`);
});

Then('only one entry made calls', function (this: SweepWorld) {
	assert.equal(this.callers.filter(api => api.calls.list > 0).length, 1);
});
