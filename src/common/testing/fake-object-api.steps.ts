/**
Steps for the object API in memory.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Either} from 'purify-ts/Either';
import {branded, type Revision} from '../ids.js';
import type {ApiError, WatchBatch} from '../types.js';
import {FakeObjectApi} from './fake-object-api.js';
import {type TestWorld} from './test-world.js';

type FakeWorld = TestWorld & {
	fakeApi: FakeObjectApi;
	lastAnswer: Either<ApiError, unknown>;
	watched: Either<ApiError, WatchBatch>;
};

/** Long enough for a change made at once, far below a step's timeout. */
const watchMs = 5000;

Given('an empty object API in memory', function (this: FakeWorld) {
	this.fakeApi = new FakeObjectApi();
});

Given('the next answer will be lost', function (this: FakeWorld) {
	this.fakeApi.loseNextAnswer();
});

Given('the object API in memory is unavailable', function (this: FakeWorld) {
	this.fakeApi.down = true;
});

When('the object {string} is created with value {int}', async function (this: FakeWorld, name: string, value: number) {
	this.lastAnswer = await this.fakeApi.create('Lease', name, value);
});

When('the object {string} is updated twice from the same version', async function (this: FakeWorld, name: string) {
	const read = await this.fakeApi.get('Lease', name);
	const {version} = read.unsafeCoerce();
	await this.fakeApi.update('Lease', name, 2, version);
	this.lastAnswer = await this.fakeApi.update('Lease', name, 3, version);
});

When('a watch waits and the object {string} is created with value {int}', async function (this: FakeWorld, name: string, value: number) {
	const watching = this.fakeApi.watch(['Lease'], branded<Revision>(0), watchMs);
	await this.fakeApi.create('Lease', name, value);
	this.watched = await watching;
});

Then('the writer in memory receives {string}', function (this: FakeWorld, kind: string) {
	assert.equal(this.lastAnswer.swap().unsafeCoerce().kind, kind);
});

Then('the object {string} reads {int}', async function (this: FakeWorld, name: string, value: number) {
	const read = await this.fakeApi.get('Lease', name);
	assert.equal(read.unsafeCoerce().value, value);
});

Then('the object {string} does not exist after the outage', async function (this: FakeWorld, name: string) {
	this.fakeApi.down = false;
	const read = await this.fakeApi.get('Lease', name);
	assert.equal(read.swap().unsafeCoerce().kind, 'notFound');
});

Then('the watch reports {string} alone', function (this: FakeWorld, name: string) {
	assert.deepEqual(this.watched.unsafeCoerce().events.map(event => event.name), [name]);
});
