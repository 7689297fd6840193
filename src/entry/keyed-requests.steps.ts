/**
Steps that send keyed calls again.
*/
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {call, faultOnNextAttempt, type CallWorld} from './service-calls.steps.js';
import {until} from './testing/relayed-fleet.js';

type Answers = Array<Awaited<ReturnType<typeof call>>>;
type KeyedWorld = CallWorld & {answers: Answers};

const marker = 'tyre change of truck 7';
const headers = {'idempotency-key': 'booking 4711'};
const slow = '?delayMs=400';
const sendsEach = 3;

const send = async (world: KeyedWorld, entry: 'entry-1' | 'entry-2', query = '', body = 'left rear') => call(world, {
	query, headers, entry, body,
});

const claims = async (world: KeyedWorld): Promise<Array<{value: {end?: unknown}}>> => {
	const res = await fetch(`http://${world.relayed.fleet.objectApi.address}/v1/objects/Claim`);
	const page = await res.json() as {items: Array<{value: {end?: unknown}}>};
	return page.items;
};

const loseEntryDuring = async (world: KeyedWorld) => {
	const first = send(world, 'entry-1', slow).catch(() => undefined);
	await until(() => world.relayed.runs(marker) > 0);
	world.relayed.fleet.entries.get('entry-1')!.dispose();
	await first;
	world.answers = [await send(world, 'entry-2', slow)];
};

const serviceVms = (world: KeyedWorld) => [...world.relayed.fleet.services.keys()];

When('a keyed call of 400 ms is sent through both entries {int} times at once', async function (this: KeyedWorld, times: number) {
	assert.equal(times, 2 * sendsEach);
	const entries = Array.from({length: sendsEach}, () => ['entry-1', 'entry-2'] as const).flat();
	this.answers = await Promise.all(entries.map(async entry => send(this, entry, slow)));
});

When('a keyed call is sent, and again through the other entry', async function (this: KeyedWorld) {
	this.answers = [await send(this, 'entry-1'), await send(this, 'entry-2')];
});

When('a keyed call is sent, its end is recorded, all agents are restarted, and it is sent again', async function (this: KeyedWorld) {
	const first = await send(this, 'entry-1');
	await until(async () => {
		const all = await claims(this);
		return all.every(({value}) => value.end !== undefined);
	});
	await Promise.all(serviceVms(this).map(async vm => this.relayed.restart(vm)));
	this.answers = [first, await send(this, 'entry-2')];
});

When('a keyed call of 400 ms is sent, its agent is restarted during it, and it is sent again', async function (this: KeyedWorld) {
	const first = send(this, 'entry-1', slow);
	await until(() => this.relayed.runs(marker) > 0);
	await Promise.all(serviceVms(this).map(async vm => this.relayed.restart(vm)));
	this.answers = [await first, await send(this, 'entry-2', slow)];
});

When('a keyed call of 400 ms is sent, its entry is lost during it, and it is sent again', async function (this: KeyedWorld) {
	await loseEntryDuring(this);
});

When('a keyed call of 400 ms is held back on its way, runs at the other replica, its entry is lost, and it is sent again', async function (this: KeyedWorld) {
	faultOnNextAttempt(this, 'held');
	await loseEntryDuring(this);
});

When('the object API loses {int} answers and a keyed call is sent, and again through the other entry', async function (this: KeyedWorld, loseAnswers: number) {
	this.relayed.fleet.objectApi.faults({loseAnswers});
	this.answers = [await send(this, 'entry-1'), await send(this, 'entry-2')];
	assert.ok(this.relayed.fleet.objectApi.faults().loseAnswers! < loseAnswers);
});

When('a keyed call is sent while the object API is down', async function (this: KeyedWorld) {
	this.relayed.fleet.objectApi.faults({down: true});
	this.answers = [await send(this, 'entry-1')];
});

When('a keyed call is sent, and again with another body', async function (this: KeyedWorld) {
	this.answers = [await send(this, 'entry-1'), await send(this, 'entry-2', '', 'right rear')];
});

Then('all are answered with {int} and the same body, and it ran {int} times', function (this: KeyedWorld, status: number, times: number) {
	assert.deepEqual(new Set(this.answers.map(answer => answer.status)), new Set([status]), JSON.stringify(this.answers));
	assert.equal(new Set(this.answers.map(({text}) => text)).size, 1);
	assert.equal(this.relayed.runs(marker), times);
});

Then('all are answered with {int} as {string}, and it ran {int} times', function (this: KeyedWorld, status: number, run: string, times: number) {
	assert.deepEqual(new Set(this.answers.map(answer => `${answer.status} ${answer.run}`)), new Set([`${status} ${run}`]), JSON.stringify(this.answers));
	assert.equal(this.relayed.runs(marker), times);
});

Then('the last is answered with {int}, and it ran {int} times', function (this: KeyedWorld, status: number, times: number) {
	assert.equal(this.answers.at(-1)?.status, status, JSON.stringify(this.answers));
	assert.equal(this.relayed.runs(marker), times);
});

Then('it is answered with {int} and runs once when the object API is back', async function (this: KeyedWorld, status: number) {
	this.relayed.fleet.objectApi.faults({down: false});
	const answer = await send(this, 'entry-2');
	assert.deepEqual([answer.status, this.relayed.runs(marker)], [status, 1]);
});

When('{int} calls with a key each are sent and their ends are recorded', async function (this: KeyedWorld, count: number) {
	this.relayed.fleet.objectApi.resetCalls();
	await Promise.all(Array.from({length: count}, async (_, i) => call(this, {headers: {'idempotency-key': `booking ${i}`}})));
	await until(() => this.relayed.fleet.objectApi.calls().byKind.Claim?.update === count);
});

Then('the claims took {int} creates, {int} updates and nothing else', function (this: KeyedWorld, creates: number, updates: number) {
	assert.deepEqual(this.relayed.fleet.objectApi.calls().byKind.Claim, {
		get: 0, create: creates, update: updates, delete: 0, list: 0, watch: 0,
	});
});
