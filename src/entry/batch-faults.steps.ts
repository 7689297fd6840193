/**
Steps for batch jobs through failures, on the batch path in memory.
*/
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BatchJob} from '../../typings/resources.js';
import {resultName} from '../common/batch-types.js';
import {branded, type Revision} from '../common/ids.js';
import {batchEvents} from './batch-log-events.js';
import {BatchFleet, shortGrants, usualTimes} from './testing/batch-fleet.js';
import {atCall, losses} from './testing/batch-losses.js';
import {
	awaitHeld, cancel, chunkItems, committed, heldChunks, holder, later, resultsOf, resultsPrefix, stateOf, statusOf, storeOf, submit, submitJob, until, upload, type FaultWorld,
} from './testing/batch-world.js';

/** Meets the next commits with one fault after the other. */
const commitFaults = (world: FaultWorld, faults: ReadonlyArray<'lost' | 'refused'>) => {
	const left = [...faults];
	world.fleet.api.beforeCall = (call, kind) => {
		const isCommit = call === 'create' && kind === 'Result';
		const fault = isCommit ? left.shift() : undefined;
		world.fleet.api.down = fault === 'refused';
		if (fault === 'lost') {
			world.fleet.api.loseNextAnswer();
		}
	};
};

Given('{int} entries and {int} agents', function (this: FaultWorld, entries: number, agents: number) {
	this.fleet = this.register(new BatchFleet(entries, agents, usualTimes));
});

Given('{int} entries and {int} agents whose grants are short', function (this: FaultWorld, entries: number, agents: number) {
	this.fleet = this.register(new BatchFleet(entries, agents, shortGrants));
});

Given('a job of {int} items', async function (this: FaultWorld, items: number) {
	await submitJob(this, items);
});

Given('a job of {int} items of which item {int} crashes the engine', async function (this: FaultWorld, items: number, poisoned: number) {
	await submitJob(this, items, poisoned);
});

Given('engines that take a while for an item', function (this: FaultWorld) {
	this.fleet.agents.forEach(({engine}) => {
		// The last chunk is under way long enough to be met.
		engine.itemMs = 200;
	});
});

Given('the engines hold their items', function (this: FaultWorld) {
	this.fleet.agents.forEach(({engine}) => {
		engine.held = true;
	});
});

Given('each call of the object API takes longer than a grant lasts, but less than a lease', function (this: FaultWorld) {
	this.fleet.entries.forEach(({api}) => {
		api.delayMs = this.fleet.outlastMs;
	});
});

When('the engines let their items go', function (this: FaultWorld) {
	this.fleet.agents.forEach(({engine}) => {
		engine.release();
	});
});

When('the {word} is lost as it {}', async function (this: FaultWorld, vm: string, step: string) {
	await losses[`${vm} ${step}`]!(this);
});

When('the answer to a commit is lost', function (this: FaultWorld) {
	commitFaults(this, ['lost']);
});

When('the answers to two commits in a row are lost', function (this: FaultWorld) {
	commitFaults(this, ['lost', 'lost']);
});

When('a commit is refused', function (this: FaultWorld) {
	commitFaults(this, ['refused']);
});

When('a commit is refused twice in a row', function (this: FaultWorld) {
	commitFaults(this, ['refused', 'refused']);
});

When('a commit is refused, then the answer to the next one is lost', function (this: FaultWorld) {
	commitFaults(this, ['refused', 'lost']);
});

When('an agent is paused in a commit until another has committed that chunk', async function (this: FaultWorld) {
	await atCall(this, this.fleet.agents, {moment: 'before', method: 'create', kind: 'Result'}, async (node, name) => {
		node.isPaused = true;
		await until(() => committed(this).some(result => result.name === name), 'another agent committed the chunk');
		node.isPaused = false;
	});
});

When('an agent is paused in a commit until the job is cancelled', async function (this: FaultWorld) {
	let paused: Promise<void> | undefined;
	await atCall(this, this.fleet.agents, {moment: 'before', method: 'create', kind: 'Result'}, async () => {
		paused = new Promise(resolve => {
			this.wake = resolve;
		});
		void cancel(this);
		await paused;
	});
});

When('the coordinator is cut off from the object API until another takes over', async function (this: FaultWorld) {
	await awaitHeld(this);
	const first = holder(this);
	first.api.cut = true;
	await until(() => this.fleet.holderOf(this.jobId) !== undefined && this.fleet.holderOf(this.jobId) !== first, 'another took over');
});

When('the client cancels the job', async function (this: FaultWorld) {
	await cancel(this);
});

When('the coordinator is lost while agents hold chunks', async function (this: FaultWorld) {
	await awaitHeld(this);
	holder(this).lose();
});

When('another coordinator has taken over', async function (this: FaultWorld) {
	await until(() => this.fleet.holderOf(this.jobId) !== undefined, 'another took over');
});

When('a job is accepted, its entry is lost, and the client sends it through two others at once', async function (this: FaultWorld) {
	this.items = 40;
	const [first, second, third] = this.fleet.entries;
	const file = await upload(this, this.items);
	const accepted = await submit(storeOf(first!.api), file);
	first!.lose();
	const resent = await Promise.all([second!, third!].map(async ({api}) => submit(storeOf(api), file)));
	this.jobId = accepted.unsafeCoerce().id;
	assert.deepEqual(resent.map(job => job.unsafeCoerce().id), [this.jobId, this.jobId]);
});

When('the job is deleted and {int} items are sent under its key', async function (this: FaultWorld, items: number) {
	await this.fleet.api.remove('BatchJob', this.jobId);
	await submitJob(this, items, undefined, later);
});

When('the object API is down until every lease has lapsed and every held chunk has been run', async function (this: FaultWorld) {
	await awaitHeld(this);
	this.fleet.api.down = true;
	await until(() => this.fleet.entries.every(({shards}) => shards.held.length === 0), 'the leases lapsed');
	await until(() => this.fleet.agents.every(({worker}) => worker.size === 0 || worker.isCommitting), 'the chunks were run');
	// Grants outlive the leases by far more than their own time only when they are renewed.
	await sleep(this.fleet.outlastMs);
	this.fleet.api.down = false;
});

When('the object API is down and a client sends a job', async function (this: FaultWorld) {
	const file = await upload(this, 4);
	this.fleet.api.down = true;
	this.answer = await submit(storeOf(this.fleet.api), file);
	this.fleet.api.down = false;
});

const cancelMoments: Record<string, (world: FaultWorld) => Promise<void>> = {
	async 'while chunks run'(world) {
		await until(() => committed(world).length > 1, 'chunks were committed');
		await cancel(world);
	},
	async 'as the last chunk is committed'(world) {
		const begun = new Set<string>();
		let cancelled = false;
		world.fleet.agents.forEach(({api}) => {
			api.hook = async (moment, method, kind, name) => {
				if (moment === 'before' && method === 'create' && kind === 'Result' && begun.add(name).size === world.items / chunkItems) {
					await cancel(world);
					cancelled = true;
				}
			};
		});
		await until(() => cancelled, 'the last chunk was about to be committed');
	},
	async 'right after the object API came back'(world) {
		await until(() => committed(world).length > 1, 'chunks were committed');
		world.fleet.api.down = true;
		await until(() => world.fleet.entries.every(({shards}) => shards.held.length === 0), 'the leases lapsed');
		world.fleet.api.down = false;
		await cancel(world);
	},
};

When('the job is cancelled {}', async function (this: FaultWorld, moment: string) {
	await cancelMoments[moment]!(this);
});

When('the job has completed and is cancelled', async function (this: FaultWorld) {
	await until(() => stateOf(this) === 'completed', 'completed');
	const view = await cancel(this);
	assert.equal(view.status?.state, 'completed');
});

Then('the job completes', async function (this: FaultWorld) {
	await until(() => stateOf(this) === 'completed', 'completed');
});

Then('the new job completes', async function (this: FaultWorld) {
	await until(() => stateOf(this) === 'completed' && statusOf(this)?.jobCreatedTime === later, 'the new job completed');
});

Then('the job is cancelled', async function (this: FaultWorld) {
	await until(() => stateOf(this) === 'cancelled', 'cancelled');
});

Then('each item has one result', async function (this: FaultWorld) {
	const results = await resultsOf(this);
	const ids = results.map(result => result.custom_id).toSorted();
	assert.deepEqual(ids, Array.from({length: this.items}, (_, index) => `note-${index}`).toSorted());
	const {completed, failed} = statusOf(this)!;
	assert.equal(completed + failed, this.items);
	// Nor was a result replaced after it could be read.
	const history = await this.fleet.api.watch(['Result'], branded<Revision>(0), 0);
	const written = history.unsafeCoerce().events.map(({name}) => name);
	assert.equal(written.length, new Set(written).size);
});

Then('the new coordinator knew of the chunks that agents held', function (this: FaultWorld) {
	const adopted = this.fleet.events.filter(({event}) => event === batchEvents.jobAdopted);
	assert.equal(adopted.length, 2);
	assert.ok(Number(adopted[1]?.fields.inherited) > 0);
});

Then('no item was run twice', function (this: FaultWorld) {
	const prompts = this.fleet.agents.flatMap(({engine}) => engine.begun);
	assert.equal(prompts.length, new Set(prompts).size);
});

Then('{int} items have been run', function (this: FaultWorld, items: number) {
	assert.equal(this.fleet.agents.reduce((sum, {engine}) => sum + engine.begun.length, 0), items);
});

Then('nothing is added to the job after that', async function (this: FaultWorld) {
	const before = await resultsOf(this);
	const sealed = JSON.stringify(statusOf(this));
	const results = committed(this).length;
	this.wake?.();
	await (this.wake ? until(() => committed(this).length > results, 'the paused commit took effect') : sleep(this.fleet.outlastMs));
	assert.deepEqual(await resultsOf(this), before);
	assert.equal(JSON.stringify(statusOf(this)), sealed);
});

Then('no agent holds a chunk any more', async function (this: FaultWorld) {
	await until(() => heldChunks(this) === 0, 'the agents dropped their chunks');
});

Then('its results are those of whole chunks that were committed', async function (this: FaultWorld) {
	const status = statusOf(this)!;
	const names = new Set(committed(this).map(({name}) => name));
	assert.ok(status.sealedChunks?.every(chunk => names.has(resultName(resultsPrefix(this), chunk))));
	const results = await resultsOf(this);
	assert.equal(results.length, status.completed + status.failed);
	assert.ok(results.length > 0);
});

Then('there is one job', function (this: FaultWorld) {
	assert.equal(this.fleet.api.all<BatchJob>('BatchJob').length, 1);
});

Then('there are no jobs', function (this: FaultWorld) {
	assert.equal(this.fleet.api.all<BatchJob>('BatchJob').length, 0);
});

Then('the job is refused as not run, with a time to come back', function (this: FaultWorld) {
	const err = this.answer.extract() as {status: number; run: string; retryAfterMs: number};
	assert.deepEqual([err.status, err.run, err.retryAfterMs > 0], [503, 'not-run', true]);
});

Then('item {int} has failed with the code {string}, all others are completed', async function (this: FaultWorld, item: number, code: string) {
	const results = await resultsOf(this);
	const failed = results.filter(({error}) => error !== null);
	assert.deepEqual(failed.map(({custom_id, error}) => [custom_id, error?.code]), [[`note-${item}`, code]]);
	assert.equal(statusOf(this)?.failed, 1);
});
