/**
Steps for watching resources through trouble.
*/
import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BatchJob, ResourceStatus, ServedModel} from '../../typings/resources.js';
import type {JobStatus} from '../common/batch-types.js';
import {branded, type Fence, type JobId} from '../common/ids.js';
import {type ApiError} from '../common/types.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import {type TestWorld} from '../common/testing/test-world.js';
import {ResourceReader, type ReadResource} from './resource-reader.js';
import type {ResourceKind} from './resource-schemas.js';
import {ResourceWatcher, type Sighting} from './resource-watcher.js';

type WatchWorld = TestWorld & {
	watchedApi: FakeObjectApi;
	sightings: Sighting[];
	troubles: ApiError[];
};

const titleOf = ({type, name}: Sighting): string => `${type} ${name}`;

/** Resolves once the condition holds; a step's timeout is the limit. */
const until = async (holds: () => boolean): Promise<void> => {
	while (!holds()) {
		await nextTurn();
	}
};

const startWatch = (world: WatchWorld, kind: ResourceKind = 'ServedModel'): void => {
	const controller = new AbortController();
	world.register(() => {
		controller.abort();
	});
	world.sightings = [];
	world.troubles = [];
	const watcher = new ResourceWatcher({
		api: world.watchedApi,
		clock: {
			now: () => 0,
			wall: () => 0,
			async sleep() {
				await nextTurn();
			},
		},
		kind,
		onSighting(sighting) {
			world.sightings.push(sighting);
		},
		onTrouble(err) {
			world.troubles.push(err);
		},
	});
	void watcher.run(controller.signal);
};

Given('an object API with model {string}', async function (this: WatchWorld, name: string) {
	this.watchedApi = new FakeObjectApi();
	const model: ServedModel = {
		apiVersion: 'citronyard/v1', kind: 'ServedModel', metadata: {name, generation: 1}, spec: {version: 'v1'},
	};
	await this.watchedApi.create('ServedModel', name, model);
});

When('a watch of models has shown {string}', async function (this: WatchWorld, title: string) {
	startWatch(this);
	await until(() => this.sightings.some(sighting => titleOf(sighting) === title));
});

When('model {string} is reported on as in force in {int} nodes', async function (this: WatchWorld, name: string, nodesInForce: number) {
	const status: ResourceStatus = {
		observedGeneration: 1, conditions: [], nodesInForce, nodesKnown: nodesInForce,
	};
	await this.watchedApi.create('ResourceStatus', `ServedModel/${name}`, status);
});

When('the object API has an outage, during which {string} is deleted and the history lost', async function (this: WatchWorld, name: string) {
	const api = this.watchedApi;
	await api.remove('ServedModel', name);
	api.compact();
	api.down = true;
	await until(() => this.troubles.length > 0 || api.calls.watch > 1);
	api.down = false;
});

Then('the watch shows {string} in force in {int} nodes', async function (this: WatchWorld, title: string, nodes: number) {
	await until(() => this.sightings.length > 1);
	const [, second] = this.sightings;
	assert.equal(second && titleOf(second), title);
	assert.equal(second?.resource?.status?.nodesInForce, nodes);
});

Then('the watch tells of trouble, then shows {string}', async function (this: WatchWorld, title: string) {
	await until(() => this.sightings.length > 1);
	assert.deepEqual(this.troubles.map(({kind}) => kind), ['unavailable']);
	assert.equal(this.sightings[1] && titleOf(this.sightings[1]), title);
});

const jobName = 'batch_a1';
const [earlier, again] = ['2026-01-01T00:00:00.000Z', '2026-01-02T00:00:00.000Z'];

const progressOf = (jobCreatedTime: string, completed: number): JobStatus => ({
	jobId: branded<JobId>(jobName), jobCreatedTime, state: 'in_progress', total: 8, completed, failed: 0, fence: branded<Fence>(1),
});

const shownOf = (resource: ReadResource | undefined): string => {
	const progress = resource?.status?.progress as JobStatus | undefined;
	return progress ? `${progress.completed} completed` : 'no progress';
};

const writeProgress = async (world: WatchWorld, status: JobStatus) => {
	const before = await world.watchedApi.get<JobStatus>('JobStatus', jobName);
	await world.watchedApi.update('JobStatus', jobName, status, before.unsafeCoerce().version);
};

Given('a job that was deleted when it had completed {int} items, and sent again under its key', async function (this: WatchWorld, completed: number) {
	this.watchedApi = new FakeObjectApi();
	const job: BatchJob = {
		apiVersion: 'citronyard/v1',
		kind: 'BatchJob',
		metadata: {name: jobName, generation: 1},
		spec: {
			jobKey: 'k', account: 'pit', inputFileId: 'file-1', endpoint: '/v1/completions', createdTime: again, dueTime: '2099-01-01T00:00:00.000Z',
		},
	};
	await this.watchedApi.create('JobStatus', jobName, progressOf(earlier, completed));
	await this.watchedApi.create('BatchJob', jobName, job);
});

When('a watch of jobs has shown it', async function (this: WatchWorld) {
	startWatch(this, 'BatchJob');
	await until(() => this.sightings.length > 0);
});

When('the earlier job\'s progress is written once more', async function (this: WatchWorld) {
	await writeProgress(this, progressOf(earlier, 7));
});

When('the new job\'s progress is written, {int} items completed', async function (this: WatchWorld, completed: number) {
	await writeProgress(this, progressOf(again, completed));
	await until(() => this.sightings.some(({resource}) => shownOf(resource) === `${completed} completed`));
});

Then('the watch has shown the job with {string}', function (this: WatchWorld, shown: string) {
	assert.equal(this.sightings.map(({resource}) => shownOf(resource)).join(', '), shown);
});

Then('it is read with {string}', async function (this: WatchWorld, shown: string) {
	const reader = new ResourceReader(this.watchedApi);
	const one = await reader.read('BatchJob', jobName);
	const all = await reader.readAll('BatchJob');
	assert.deepEqual([one.unsafeCoerce(), ...all.unsafeCoerce().resources].map(resource => shownOf(resource)), [shown, shown]);
});
