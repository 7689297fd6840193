/**
Steps for the placement, with a whole fleet in this process.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {ResourceStatus} from '../../typings/resources.js';
import {placementLeaseName, type PlacedModel} from '../common/placement.js';
import type {LeaseValue} from '../common/lease.js';
import type {StoredObject} from '../common/types.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {fleetResources, LocalFleet, type FleetPlan} from '../demo/local-fleet.js';
import {HttpClient} from '../io/http-client.js';
import {HttpObjectApi} from '../io/http-object-api.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import {EngineModels} from '../agent/engine-models.js';
import {keyHash} from './accounts.js';

type PlacementWorld = TestWorld & {
	fleet: LocalFleet;
	api: HttpObjectApi;
	engines: EngineModels[];
	fence: number;
};

const model = 'tyre-scribe';
const clock = new SystemClock();
const apiVersion = 'citronyard/v1' as const;

/** Polls an outcome that takes a call to learn. */
const untilCalled = async (call: () => Promise<boolean>, text: string) => {
	let holds = false;
	const look = async () => {
		while (!holds) {
			holds = await call();
			await clock.sleep(20);
		}
	};

	void look();
	await until(() => holds, text);
};

const lease = async (world: PlacementWorld): Promise<LeaseValue | undefined> => {
	const read = await world.api.get<LeaseValue>('Lease', placementLeaseName);
	return read.map((stored: StoredObject<LeaseValue>): LeaseValue | undefined => stored.value).orDefault(undefined);
};

const loaded = async (world: PlacementWorld): Promise<PlacedModel[]> => {
	const models = await Promise.all(world.engines.map(async engine => engine.loaded()));
	return models.flatMap(list => list ?? []);
};

const isTrue = ({conditions}: ResourceStatus, wanted: string) => conditions.some(({type, status}) => type === wanted && status === 'True');

const holderVm = (world: PlacementWorld, holder: string) => [...world.fleet.entries.keys()].find(vm => holder.startsWith(vm));

Given('a fleet of {int} engines in {int} failure domains with version {string} loaded', async function (this: PlacementWorld, count: number, domains: number, version: string) {
	const plan: FleetPlan = {
		engines: Array.from({length: count}, (_, index) => ({
			vm: `engine-${index}`, failureDomain: `d${index % domains}`, models: [model], engine: {models: [{model, version}]},
		})),
		entries: ['entry-a', 'entry-b'].map((vm, index) => ({vm, failureDomain: `d${index}`})),
		entry: {placement: {leaseMs: 1500, tickMs: 50}},
	};
	this.fleet = this.register(await LocalFleet.start(plan, {
		clock, random: new SeededRandom(1), log: {emit: () => undefined}, metrics: new NoMetrics(),
	}));
	const http = this.register(new HttpClient());
	this.api = new HttpObjectApi(http, {address: this.fleet.objectApi.address, timeoutMs: 2000});
	this.engines = [...this.fleet.engines.values()].map(({address}) => new EngineModels(http, address));
	await this.fleet.apply(fleetResources(plan, [{name: 'gate', keySha256: keyHash('key')}]));
	await untilCalled(async () => {
		const first = await lease(this);
		this.fence = first?.fence ?? 0;
		return this.fence > 0;
	}, 'an entry holds the placement');
});

When('version {string} is wanted', async function (this: PlacementWorld, version: string) {
	await this.fleet.apply([
		{
			apiVersion, kind: 'ModelVersion', metadata: {name: version}, spec: {weights: version},
		},
		{
			apiVersion, kind: 'ServedModel', metadata: {name: model, generation: 2}, spec: {version},
		},
	]);
});

When('the entry that places is lost', async function (this: PlacementWorld) {
	const held = await lease(this);
	const vm = holderVm(this, held!.holder)!;
	this.fleet.entries.get(vm)!.dispose();
	this.fleet.entries.delete(vm);
	this.fleet.vmList.removeVm(vm);
});

Then('all engines have version {string} and the status says so', async function (this: PlacementWorld, version: string) {
	await untilCalled(async () => {
		const models = await loaded(this);
		return models.length === this.engines.length && models.every(row => row.version === version);
	}, `all engines have ${version}`);
	await untilCalled(async () => {
		const status = await this.api.get<ResourceStatus>('ResourceStatus', `ServedModel/${model}`);
		return status.map(({value}) => value.observedGeneration === 2 && isTrue(value, 'Ready') && isTrue(value, 'RolledOut')).orDefault(false);
	}, 'the status says that it is ready and rolled out');
});

Then('assignments were written at most {int} times', function (this: PlacementWorld, count: number) {
	const {create = 0, update = 0} = this.fleet.objectApi.calls().byKind.Assignment ?? {};
	assert.ok(create + update <= count, `${create} created, ${update} updated`);
});

Then('another entry holds the placement under a higher number', async function (this: PlacementWorld) {
	await untilCalled(async () => {
		const held = await lease(this);
		return held !== undefined && held.fence > this.fence && holderVm(this, held.holder) !== undefined;
	}, 'another entry holds the placement');
});
