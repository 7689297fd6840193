/**
Steps for watching resources through trouble.
*/
import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {ResourceStatus, ServedModel} from '../../typings/resources.js';
import {type ApiError} from '../common/types.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import {type TestWorld} from '../common/testing/test-world.js';
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

const startWatch = (world: WatchWorld): void => {
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
		kind: 'ServedModel',
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
