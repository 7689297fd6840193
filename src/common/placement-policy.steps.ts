/**
Steps for the placement, with simulated engines that take two steps to load.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {PlacedModel} from './placement.js';
import {placeModels, type PlacementServer, type DesiredModel} from './placement-policy.js';
import type {TestWorld} from './testing/test-world.js';

type Engine = {vm: string; failureDomain: string; loaded: PlacedModel[]; assigned: PlacedModel[] | undefined; loading: {model: PlacedModel; steps: number} | undefined; isLost: boolean};
type StepStats = {readonly ready: number; readonly loads: number};
type PlacementWorld = TestWorld & {engines: Engine[]; wanted: DesiredModel; maxLoads: number; stepStats: StepStats[]};

const model = 'tyre-scribe';
const loadSteps = 2;
const live = (world: PlacementWorld) => world.engines.filter(({isLost}) => !isLost);
const isReady = ({loaded, loading}: Engine) => loaded.length > 0 && loading === undefined;

const startLoads = (engine: Engine) => {
	const wanted = engine.assigned?.[0];
	if (wanted && engine.loaded[0]?.version !== wanted.version && engine.loading?.model.version !== wanted.version) {
		engine.loading = {model: wanted, steps: loadSteps};
	}
};

const advance = (engine: Engine) => {
	if (engine.loading && engine.loading.steps > 0) {
		engine.loading.steps -= 1;
		return;
	}

	engine.loaded = engine.loading ? [engine.loading.model] : engine.loaded;
	engine.loading = undefined;
};

const step = (world: PlacementWorld) => {
	const servers = live(world).map(({vm, failureDomain, loaded, assigned}): PlacementServer => ({
		vm, failureDomain, loaded, assigned, allowed: [model],
	}));
	const {choices} = placeModels([world.wanted], servers, world.maxLoads);
	choices.forEach(({vm, models, unload}) => {
		const engine = world.engines.find(candidate => candidate.vm === vm)!;
		engine.assigned = [...models];
		engine.loaded = engine.loaded.filter(loaded => !unload.includes(loaded.model));
		startLoads(engine);
	});
	world.stepStats.push({ready: live(world).filter(engine => isReady(engine)).length, loads: live(world).filter(({loading}) => loading).length});
	live(world).forEach(engine => {
		advance(engine);
	});
};

const take = (world: PlacementWorld, steps: number) => {
	world.stepStats = [];
	Array.from({length: steps}).forEach(() => {
		step(world);
	});
};

const build = (world: PlacementWorld, domains: number, engines: number, version?: string) => {
	world.engines = Array.from({length: domains * engines}, (_, index) => ({
		vm: `vm-${index}`, failureDomain: `d${Math.floor(index / engines)}`, loaded: version === undefined ? [] : [{model, version}], assigned: undefined, loading: undefined, isLost: false,
	}));
	world.maxLoads = 4;
};

Given('{int} failure domain(s) with {int} engine(s) each, with nothing loaded', function (this: PlacementWorld, domains: number, engines: number) {
	build(this, domains, engines);
});

Given('{int} failure domain(s) with {int} engine(s) each, with version {string} loaded', function (this: PlacementWorld, domains: number, engines: number, version: string) {
	build(this, domains, engines, version);
});

When('{string} is wanted and {int} steps are taken', function (this: PlacementWorld, text: string, steps: number) {
	const [replicas, version, minReady, maxLoads] = text.match(/\d+/gv)!.map(Number);
	this.wanted = {
		model, version: String(version), replicas, minReady,
	};
	this.maxLoads = maxLoads ?? this.maxLoads;
	take(this, steps);
});

When('the failure domain {string} is lost and {int} step(s) is/are taken', function (this: PlacementWorld, domain: string, steps: number) {
	this.engines.filter(({failureDomain}) => failureDomain === domain).forEach(engine => {
		engine.isLost = true;
		engine.loading = undefined;
	});
	take(this, steps);
});

When('the failure domain {string} is back and {int} steps are taken', function (this: PlacementWorld, domain: string, steps: number) {
	this.engines.filter(({failureDomain}) => failureDomain === domain).forEach(engine => {
		engine.isLost = false;
	});
	take(this, steps);
});

Then('each failure domain has {int} replica', function (this: PlacementWorld, count: number) {
	const domains = new Set(this.engines.map(({failureDomain}) => failureDomain));
	domains.forEach(domain => {
		assert.equal(this.engines.filter(({failureDomain, loaded}) => failureDomain === domain && loaded.length > 0).length, count, domain);
	});
});

const assertReady = (world: PlacementWorld, count: number) => {
	assert.ok(Math.min(...world.stepStats.map(({ready}) => ready)) >= count, JSON.stringify(world.stepStats));
};

Then('at least {int} replicas were ready in each step', function (this: PlacementWorld, count: number) {
	assertReady(this, count);
});

Then('at least {int} replicas were ready in each step since', function (this: PlacementWorld, count: number) {
	assertReady(this, count);
});

Then('at least {int} of the {int} remaining engines were ready in each step since', function (this: PlacementWorld, count: number, left: number) {
	assert.equal(live(this).length, left);
	// Engines that were loading when the failure domain was lost continue to load.
	const settled = this.stepStats.slice(loadSteps + 1);
	assert.ok(Math.min(...settled.map(({ready}) => ready)) >= count, JSON.stringify(this.stepStats));
});

Then('at most {int} loads were in progress in each step', function (this: PlacementWorld, count: number) {
	assert.ok(Math.max(...this.stepStats.map(({loads}) => loads)) <= count, JSON.stringify(this.stepStats));
});

Then('all engines (that remain )have version {string}', function (this: PlacementWorld, version: string) {
	assert.ok(live(this).every(({loaded}) => loaded[0]?.version === version), JSON.stringify(this.engines));
});

Then('{int} engines have version {string} loaded', function (this: PlacementWorld, count: number, version: string) {
	assert.equal(live(this).filter(({loaded}) => loaded[0]?.version === version).length, count);
});
