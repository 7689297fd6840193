/**
Steps for applying a resource, against the object API in memory.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Either} from 'purify-ts/Either';
import type {BatchJob, ServedModel} from '../../typings/resources.js';
import {type Clock} from '../common/services.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import {type TestWorld} from '../common/testing/test-world.js';
import {SeededRandom} from '../io/seeded-random.js';
import {type CtlError} from './ctl-error.js';
import {ResourceWriter, type WriteOutcome} from './resource-writer.js';

type WriterWorld = TestWorld & {
	operatorsApi: FakeObjectApi;
	writer: ResourceWriter;
	told: Either<CtlError, WriteOutcome>;
};

/** Pauses take no time. */
const restlessClock: Clock = {
	now: () => 0,
	wall: () => 0,
	async sleep() {
		// At once.
	},
};

const model = (name: string, replicas: number, generation?: number): ServedModel => ({
	apiVersion: 'citronyard/v1', kind: 'ServedModel', metadata: {name, generation}, spec: {version: 'v1', replicas},
});

const job = (name: string, cancelled: boolean): BatchJob => ({
	apiVersion: 'citronyard/v1',
	kind: 'BatchJob',
	metadata: {name},
	spec: {
		account: 'nodibandh', jobKey: 'night', inputFileId: 'file-1', endpoint: '/v1/chat/completions', dueTime: '2026-01-02T00:00:00Z', createdTime: '2026-01-01T00:00:00Z', cancelled,
	},
});

const writerOn = (api: FakeObjectApi): ResourceWriter => {
	let changes = 0;
	return new ResourceWriter({
		api, clock: restlessClock, random: new SeededRandom(1), newChangeId: () => `change-${++changes}`,
	});
};

/** Runs `act` once, just before the first call of a method takes effect. */
const before = (api: FakeObjectApi, method: string, act: () => Promise<unknown>): void => {
	api.beforeCall = async call => {
		if (call === method) {
			api.beforeCall = undefined;
			await act();
		}
	};
};

/** Another operator's change, whose id cannot be taken for the first one's. */
const writeByOther = async (api: FakeObjectApi, name: string, replicas: number): Promise<void> => {
	const read = await api.get<ServedModel>('ServedModel', name);
	const {value, version} = read.unsafeCoerce();
	const generation = (value.metadata.generation ?? 0) + 1;
	const next = {...model(name, replicas), metadata: {name, generation, changeId: 'bel'}};
	await api.update('ServedModel', name, next, version);
};

Given('an object API for operators', function (this: WriterWorld) {
	this.operatorsApi = new FakeObjectApi();
	this.writer = writerOn(this.operatorsApi);
});

Given('model {string} with {int} replicas has been applied', async function (this: WriterWorld, name: string, replicas: number) {
	const done = await this.writer.apply(model(name, replicas));
	assert.ok(done.isRight());
});

Given('the answer to the next change is lost', function (this: WriterWorld) {
	this.operatorsApi.loseNextAnswer();
});

Given('the object API for operators is down', function (this: WriterWorld) {
	this.operatorsApi.down = true;
});

Given('a batch job {string} that was cancelled', async function (this: WriterWorld, name: string) {
	await this.operatorsApi.create('BatchJob', name, job(name, true));
});

When('Ada applies model {string} with {int} replicas', async function (this: WriterWorld, name: string, replicas: number) {
	this.told = await this.writer.apply(model(name, replicas));
});

When('Ada applies model {string} with {int} replicas, from a file of generation {int}', async function (this: WriterWorld, name: string, replicas: number, generation: number) {
	this.told = await this.writer.apply(model(name, replicas, generation));
});

When('Ada applies model {string} with {int} replicas, and Bel applies {int} just before she writes', async function (this: WriterWorld, name: string, replicas: number, otherReplicas: number) {
	before(this.operatorsApi, 'update', async () => writeByOther(this.operatorsApi, name, otherReplicas));
	this.told = await this.writer.apply(model(name, replicas));
});

When('Ada applies model {string} with {int} replicas, and Bel applies {int} before she reads back', async function (this: WriterWorld, name: string, replicas: number, otherReplicas: number) {
	const api = this.operatorsApi;
	before(api, 'update', async () => {
		before(api, 'get', async () => writeByOther(api, name, otherReplicas));
	});
	this.told = await this.writer.apply(model(name, replicas));
});

When('Ada applies model {string} with {int} replicas through an outage of {int} calls', async function (this: WriterWorld, name: string, replicas: number, failing: number) {
	const api = this.operatorsApi;
	api.beforeCall = method => {
		api.down = method === 'create' && api.calls.create <= failing;
	};

	this.told = await this.writer.apply(model(name, replicas));
});

When('Ada deletes model {string}', async function (this: WriterWorld, name: string) {
	this.told = await this.writer.remove('ServedModel', name);
});

When('Ada applies the batch job {string} as not cancelled', async function (this: WriterWorld, name: string) {
	this.told = await this.writer.apply(job(name, false));
});

Then('Ada is told {string}', function (this: WriterWorld, outcome: string) {
	assert.deepEqual(this.told.extract(), outcome);
});

Then('Ada is told a conflict that names {string}, exit code {int}', function (this: WriterWorld, difference: string, code: number) {
	const {lines, exitCode} = this.told.swap().unsafeCoerce();
	assert.equal(exitCode, code);
	assert.ok(lines.some(line => line.trim() === difference), lines.join('\n'));
});

Then('Ada is told a failure, exit code {int}', function (this: WriterWorld, code: number) {
	assert.equal(this.told.swap().unsafeCoerce().exitCode, code);
});

Then('model {string} has {int} replicas in generation {int}', function (this: WriterWorld, name: string, replicas: number, generation: number) {
	const object = this.operatorsApi.all<ServedModel>('ServedModel').find(found => found.name === name);
	assert.deepEqual([object?.value.spec.replicas, object?.value.metadata.generation], [replicas, generation]);
});

Then('the object API saw {int} {string}', function (this: WriterWorld, count: number, method: keyof FakeObjectApi['calls']) {
	assert.equal(this.operatorsApi.calls[method], count);
});
