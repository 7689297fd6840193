/**
Steps for the items of a job, with contents from the steps and runs that do nothing.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../../common/ids.js';
import {jsonBytes} from '../../common/json-size.js';
import type {Clock} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {
	BatchItemId, BatchJobId, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import type {BatchJob} from './batch-job.js';
import type {BatchItem, ItemProgress, ItemResult} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import {FailedRuns, type FailedRunId} from './failed-runs.js';
import type {ItemRun} from './item-run.js';
import {portionsOf, type JobHandover} from './job-handover.js';
import {JobRun, type ItemState} from './job-run.js';
import type {ResultWriter} from './result-writer.js';

type JobRunWorld = TestWorld & {
	items: BatchItem[];
	run: JobRun;
	failedRuns: FailedRuns;
	cancelCount: number;
	results: Map<BatchItemId, ItemResult>;
	/** The states of items that were made to run here. */
	states: Map<string, ItemState>;
	portions: readonly JobHandover[];
};

const itemId = (name: string): BatchItemId => branded<BatchItemId>(name);
const clock: Clock = {now: () => 0, wall: () => 0, sleep: async () => undefined};
const route = {maxRuns: 3};
const megabyte = 1_000_000;

const eventsOf = (count: number, run = 'this run'): string[] => Array.from({length: count}, (_, i) => `event ${i + 1} of ${run}`);

const createRun = (world: JobRunWorld, stored: ReadonlyMap<string, readonly ItemProgress[]> = new Map()) => {
	const job = {
		isOpen: true, isCommitted: () => false, handoverContents: [...stored.keys()], record: {items: world.items, content: 'items'},
	} as unknown as BatchJob;
	world.results = new Map();
	const writer = {
		has: (id: BatchItemId) => world.results.has(id),
		add(result: ItemResult) {
			world.results.set(result.id, result);
		},
		dispose: () => undefined,
	} as unknown as ResultWriter;
	const contents = {read: async (type: string, name: string) => Right({type, items: type === 'items' ? world.items : stored.get(name)})} as unknown as ContentStore;
	world.failedRuns = new FailedRuns({self: branded<MemberName>('front-1'), clock});
	world.run = new JobRun({
		job: () => job, writer, contents, failedRuns: world.failedRuns, clock, log: {emit: () => undefined},
	});
};

const handOver = ({run}: JobRunWorld, progress: ItemProgress) => {
	run.receive({job: branded<BatchJobId>('j1'), items: [progress], results: []});
};

/** The version of the replicas that generated the texts. */
const softwareVersion = branded<SoftwareVersion>('v1');

const waitingState = ({run}: JobRunWorld, name: string): ItemState | undefined => run.waiting().find(({item}) => item.id === itemId(name));

Given('a process that runs a job with items {string}', async function (this: JobRunWorld, names: string) {
	this.items = names.split(', ').map(name => ({
		id: itemId(name), path: '/', headers: [], body: '', tokens: 1,
	}));
	this.cancelCount = 0;
	createRun(this);
	await this.run.load();
});

Given('the items are not read yet', function (this: JobRunWorld) {
	createRun(this);
});

Given('the items are not read yet, and {int} events of item {string} and {int} of another run are stored', function (this: JobRunWorld, events: number, name: string, others: number) {
	const id = itemId(name);
	createRun(this, new Map([
		['left by one', [{
			id, events: eventsOf(events), softwareVersion, failedRuns: [],
		}]],
		['left by another', [{
			id, events: eventsOf(others, 'another run'), softwareVersion, failedRuns: [],
		}]],
	]));
});

When('the items are read', async function (this: JobRunWorld) {
	await this.run.load();
});

Given('item {string} runs here with {int} events', function (this: JobRunWorld, name: string, events: number) {
	const state = waitingState(this, name)!;
	this.states = new Map([[name, state]]);
	state.events.push(...eventsOf(events));
	state.softwareVersion = softwareVersion;
	state.run = {
		dispose: () => {
			this.cancelCount += 1;
			this.run.recordRunEnd(state, 'cut', {replica: branded<ReplicaId>('r1'), route});
		},
	} as unknown as ItemRun;
});

When('{int} events of item {string} are handed over', function (this: JobRunWorld, events: number, name: string) {
	handOver(this, {
		id: itemId(name), events: eventsOf(events), softwareVersion, failedRuns: [],
	});
});

When('{int} events of item {string} are handed over by another run', function (this: JobRunWorld, events: number, name: string) {
	handOver(this, {
		id: itemId(name), events: eventsOf(events, 'another run'), softwareVersion, failedRuns: [],
	});
});

When('{int} events of item {string} are handed over by a process that does not state their version', function (this: JobRunWorld, events: number, name: string) {
	handOver(this, {id: itemId(name), events: eventsOf(events), failedRuns: []});
});

When('item {string} is handed over with 1 failure at replica {string}', function (this: JobRunWorld, name: string, replica: string) {
	handOver(this, {
		id: itemId(name), events: [], failedRuns: [{run: branded<FailedRunId>('front-2/1/1'), item: itemId(name), replica: branded<ReplicaId>(replica)}],
	});
});

When('the result of item {string} is handed over', function (this: JobRunWorld, name: string) {
	this.run.receive({job: branded<BatchJobId>('j1'), items: [], results: [{id: itemId(name), state: 'completed', output: 'whole'}]});
});

When('a run of item {string} here ends as hopeless', function (this: JobRunWorld, name: string) {
	this.run.recordRunEnd(this.states.get(name)!, 'hopeless', {replica: branded<ReplicaId>('r1'), route});
});

Then('the result of item {string} is the one that was handed over', function (this: JobRunWorld, name: string) {
	assert.deepEqual(this.results.get(itemId(name)), {id: itemId(name), state: 'completed', output: 'whole'});
});

Then('its run has been cancelled', function (this: JobRunWorld) {
	assert.equal(this.cancelCount, 1);
});

Then('item {string} waits with {int} events', function (this: JobRunWorld, name: string, events: number) {
	assert.deepEqual(waitingState(this, name)?.events, eventsOf(events));
});

Then('item {string} waits with {int} events of another run', function (this: JobRunWorld, name: string, events: number) {
	assert.deepEqual(waitingState(this, name)?.events, eventsOf(events, 'another run'));
});

Then('item {string} runs with {int} events', function (this: JobRunWorld, name: string, events: number) {
	const running = this.run.running.find(({item}) => item.id === itemId(name));
	assert.deepEqual(running?.events, eventsOf(events));
	assert.equal(this.cancelCount, 0);
});

Then('item {string} waits and has failed at {string}', function (this: JobRunWorld, name: string, replica: string) {
	assert.ok(waitingState(this, name));
	assert.ok(this.failedRuns.of(itemId(name)).some(run => run.replica === branded<ReplicaId>(replica)));
});

When('40 items and 3 results with {int} times {string} each are split for messages of at most a megabyte', function (this: JobRunWorld, count: number, escapedText: string) {
	const event = (JSON.parse(`"${escapedText}"`) as string).repeat(count);
	this.portions = portionsOf({
		job: branded<BatchJobId>('j1'),
		items: Array.from({length: 40}, (_, i) => ({id: itemId(`i${i}`), events: [event], failedRuns: []})),
		results: Array.from({length: 3}, (_, i) => ({id: itemId(`r${i}`), state: 'completed', output: event})),
	}, megabyte);
});

Then('each portion has at most a megabyte, and together they have all items and results once', function (this: JobRunWorld) {
	this.portions.forEach(({items, results}) => {
		assert.ok([...items, ...results].reduce((sum, entry) => sum + jsonBytes(entry), 0) <= megabyte);
	});
	assert.deepEqual(this.portions.flatMap(({items}) => items.map(({id}) => id)), Array.from({length: 40}, (_, i) => itemId(`i${i}`)));
	assert.deepEqual(this.portions.flatMap(({results}) => results.map(({id}) => id)), Array.from({length: 3}, (_, i) => itemId(`r${i}`)));
});
