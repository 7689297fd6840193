/**
Steps for the reconciliation of an engine with its assignment.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ConfigTable} from '../common/config-table.js';
import type {Fence, Revision} from '../common/ids.js';
import {placementEpochName, type Assignment, type PlacementEpoch} from '../common/placement.js';
import type {EventLog} from '../common/services.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {HttpClient} from '../io/http-client.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import {EngineStandin} from '../standins/engine-standin.js';
import {WeightStoreStandin} from '../standins/weight-store-standin.js';
import {EngineBackend} from './engine-backend.js';
import {agentConfigEvents} from './config-log-events.js';
import {ModelReconciler} from './model-reconciler.js';
import {OrderFence} from './order-fence.js';

type Place = {readonly vm: string; readonly table: ConfigTable; readonly backend: EngineBackend; reconciler: ModelReconciler};
type ReconcilerWorld = TestWorld & {
	api: FakeObjectApi;
	places: Place[];
	checks: boolean;
	heldBack: number;
	weights: WeightStoreStandin;
};

const model = 'tyre-scribe';
const clock = new SystemClock();

const startAgent = (world: ReconcilerWorld, {vm, table, backend}: Omit<Place, 'reconciler'>): ModelReconciler => {
	const log: EventLog = {
		emit(event) {
			world.heldBack += event.number === agentConfigEvents.orderHeldBack.number ? 1 : 0;
		},
	};
	const reconciler = world.register(new ModelReconciler({
		clock, random: new SeededRandom(1), log, table, vm, control: backend.models, fence: new OrderFence(world.api, () => world.checks),
	}));
	void reconciler.run();
	return reconciler;
};

const startPlace = async (world: ReconcilerWorld, vm: string, weightStore?: string): Promise<Place> => {
	const engine = world.register(await EngineStandin.start({checksFence: world.checks, weightStore}));
	const backend = new EngineBackend(world.register(new HttpClient()), engine.address);
	const place = {vm, table: new ConfigTable(), backend};
	return {...place, reconciler: startAgent(world, place)};
};

const begin = (world: ReconcilerWorld, checks: boolean) => {
	world.api = new FakeObjectApi();
	world.checks = checks;
	world.heldBack = 0;
};

/** Puts an assignment in force at an agent's table, as its follower would. */
const deliver = (table: ConfigTable, vm: string, value: Assignment, version: Revision) => {
	table.apply({
		full: false,
		since: table.revision,
		revision: version,
		head: version,
		events: [{
			type: 'put', kind: 'Assignment', name: vm, version, value,
		}],
	});
};

const assign = async (world: ReconcilerWorld, {vm, table}: Place, fence: number, version: string) => {
	const value: Assignment = {fence: fence as Fence, models: [{model, version}], unload: []};
	const known = await world.api.get('Assignment', vm);
	const written = known.isRight() ? await world.api.update('Assignment', vm, value, known.unsafeCoerce().version) : await world.api.create('Assignment', vm, value);
	deliver(table, vm, value, written.unsafeCoerce().version);
};

const hasVersion = async ({backend}: Place, version: string) => {
	const loaded = await backend.models.loaded();
	return loaded?.[0]?.version === version;
};

const awaitVersion = async (place: Place, version: string) => {
	let has = false;
	const look = async () => {
		while (!has) {
			has = await hasVersion(place, version);
			await clock.sleep(20);
		}
	};

	void look();
	await until(() => has, `the engine has ${version}`);
};

Given('an engine and its agent, where it is {string} that the engine checks fencing numbers', async function (this: ReconcilerWorld, checks: string) {
	begin(this, checks === 'true');
	this.places = [await startPlace(this, 'vm-1')];
});

Given('{int} engines and agents that share a weight store for {int} load at once', async function (this: ReconcilerWorld, count: number, maxConcurrent: number) {
	begin(this, false);
	this.weights = this.register(await WeightStoreStandin.start({maxConcurrent, bytes: 1_000_000, bytesPerSecond: 5_000_000}));
	this.places = await Promise.all(Array.from({length: count}, async (_, index) => startPlace(this, `vm-${index}`, this.weights.address)));
});

Given('the holder {int} of the placement assigns version {string}', async function (this: ReconcilerWorld, fence: number, version: string) {
	await assign(this, this.places[0]!, fence, version);
});

Given('the agent is stopped', function (this: ReconcilerWorld) {
	this.places[0]!.reconciler.dispose();
});

Given('the object API is down for the agent', function (this: ReconcilerWorld) {
	this.api.down = true;
});

When('the object API is up again for the agent', function (this: ReconcilerWorld) {
	this.api.down = false;
});

When('holder {int} takes the placement over', async function (this: ReconcilerWorld, fence: number) {
	const current = await this.api.list('Assignment');
	const epoch: PlacementEpoch = {fence: fence as Fence, knownUpTo: current.unsafeCoerce().version};
	await this.api.create('Assignment', placementEpochName, epoch);
});

When('holder {int} wakes up and assigns version {string}', async function (this: ReconcilerWorld, fence: number, version: string) {
	await assign(this, this.places[0]!, fence, version);
});

When('the holder {int} of the placement assigns version {string} by way of a peer', function (this: ReconcilerWorld, fence: number, version: string) {
	const {table, vm} = this.places[0]!;
	deliver(table, vm, {fence: fence as Fence, models: [{model, version}], unload: []}, (table.revision + 1) as Revision);
});

When('the agent is restarted', function (this: ReconcilerWorld) {
	const place = this.places[0]!;
	place.reconciler.dispose();
	this.heldBack = 0;
	place.reconciler = startAgent(this, place);
});

When('the holder {int} of the placement assigns version {string} to all of them', async function (this: ReconcilerWorld, fence: number, version: string) {
	await Promise.all(this.places.map(async place => assign(this, place, fence, version)));
});

Then('the engine has version {string}', async function (this: ReconcilerWorld, version: string) {
	await awaitVersion(this.places[0]!, version);
});

Then('the agent holds the orders back and the engine still has version {string}', async function (this: ReconcilerWorld, version: string) {
	const before = this.heldBack;
	await until(() => this.heldBack > before, 'the agent has held the orders back');
	assert.ok(await hasVersion(this.places[0]!, version));
});

Then('every engine has version {string} and the weight store never gave more than {int} at once', async function (this: ReconcilerWorld, version: string, count: number) {
	await Promise.all(this.places.map(async place => awaitVersion(place, version)));
	assert.equal(this.weights.loads().peak, count);
});
