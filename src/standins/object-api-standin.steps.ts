/**
Steps for the object API stand-in, over HTTP as its clients see it.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {ObjectApiStandin} from './object-api-standin.js';

type Envelope = {readonly name: string; readonly version: number; readonly value: unknown};

type ApiWorld = TestWorld & {
	api: ObjectApiStandin;
	/** Undefined when the connection was cut. */
	status: number | undefined;
	body: unknown;
};

const send = async (world: ApiWorld, path: string, init?: RequestInit): Promise<void> => {
	try {
		const res = await fetch(`http://${world.api.address}/v1/${path}`, init);
		world.status = res.status;
		world.body = await res.json();
	} catch {
		world.status = undefined;
	}
};

const objectPath = (name: string): string => `objects/Lease/${encodeURIComponent(name)}`;

const put = async (world: ApiWorld, name: string, value: unknown, headers: Record<string, string>): Promise<void> =>
	send(world, objectPath(name), {method: 'PUT', body: JSON.stringify(value), headers});

const create = async (world: ApiWorld, name: string, value: unknown): Promise<void> => put(world, name, value, {'if-none-match': '*'});

const watch = async (world: ApiWorld, since: number): Promise<void> => send(world, `watch?kinds=Lease&since=${since}&waitMs=10000`);

Given('an object API stand-in that logs {int} changes', async function (this: ApiWorld, logLength: number) {
	this.api = this.register(await ObjectApiStandin.start({logLength}));
});

Given('the stand-in loses its next answer to a change', function (this: ApiWorld) {
	this.api.faults({loseAnswers: 1});
});

Given('the stand-in refuses the next request', function (this: ApiWorld) {
	this.api.faults({refuseNext: 1});
});

Given('{int} changes were made over HTTP', async function (this: ApiWorld, count: number) {
	for (const i of Array.from({length: count}).keys()) {
		await create(this, `name-${i}`, i);
	}
});

When('{string} is created over HTTP with {string}', async function (this: ApiWorld, name: string, value: string) {
	await create(this, name, value);
});

When('{string} is created over HTTP with {int} characters', async function (this: ApiWorld, name: string, length: number) {
	await create(this, name, 'x'.repeat(length));
});

When('{string} is updated over HTTP from version {int} with {string}', async function (this: ApiWorld, name: string, version: number, value: string) {
	await put(this, name, value, {'if-match': `"${version}"`});
});

When('{string} is read over HTTP', async function (this: ApiWorld, name: string) {
	await send(this, objectPath(name));
});

When('a watch over HTTP asks for changes since version {int}', async function (this: ApiWorld, since: number) {
	await watch(this, since);
});

When('a watch over HTTP waits while another kind and then {string} change', async function (this: ApiWorld, name: string) {
	const watching = watch(this, 0);
	const objects = `http://${this.api.address}/v1/objects`;
	await fetch(`${objects}/Claim/other`, {method: 'PUT', body: '1'});
	await fetch(`${objects}/Lease/${name}`, {method: 'PUT', body: '1'});
	await watching;
});

Then('the HTTP answer is {int}', function (this: ApiWorld, status: number) {
	assert.equal(this.status, status);
});

Then('no HTTP answer came', function (this: ApiWorld) {
	assert.equal(this.status, undefined);
});

Then('the HTTP answer shows {string} at version {int} with {string}', function (this: ApiWorld, name: string, version: number, value: string) {
	assert.deepEqual(this.body, {
		kind: 'Lease', name, version, value,
	});
});

Then('the watch over HTTP tells of versions {string}', function (this: ApiWorld, versions: string) {
	const {events} = this.body as {events: Envelope[]};
	assert.equal(events.map(event => event.version).join(', '), versions);
});

Then('the stand-in has counted {int} creates and {int} get', function (this: ApiWorld, creates: number, gets: number) {
	const {create: created, get: read} = this.api.calls();
	assert.deepEqual([created, read], [creates, gets]);
});
