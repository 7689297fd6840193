/**
Steps for the intake of jobs, on an object API in memory that lets another writer in before a call.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left} from 'purify-ts/Either';
import {branded} from '../../common/ids.js';
import type {EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {PrometheusMetrics} from '../../io/prometheus-metrics.js';
import {SystemClock} from '../../io/system-clock.js';
import type {KeeperPool} from '../keeping/keeper-pool.js';
import {ObjectFeed} from '../object-feed.js';
import type {BatchItemId, BatchJobId, GatewayRoute} from '../types.js';
import {JobIndex} from './job-index.js';
import {recordNames, type JobRecord} from './batch-records.js';
import {ContentStore} from './content-store.js';
import {JobIntake, type SubmissionOutcome} from './job-intake.js';

type IntakeWorld = TestWorld & {
	api: FakeObjectApi;
	jobIndex: JobIndex;
	intake: JobIntake;
	limit: number;
	outcome: SubmissionOutcome;
};

const log: EventLog = {emit: () => undefined};
const clock = new SystemClock();
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);
const noKeepers: Pick<KeeperPool, 'isSufficient' | 'hold'> = {isSufficient: false, hold: async () => 'none'};

const foreignRecord = (job: string, tokens: number, limit: number): JobRecord => ({
	type: 'job', job: jobId(job), route: 'notes', host: 'h', target: '/', submittedAt: 0, maxWaitingTokens: limit, isRoomy: false, items: [{id: branded<BatchItemId>(`${job}-0`), tokens}], content: `foreign-${job}`,
});

const routeOf = (limit: number): GatewayRoute => ({
	name: 'notes', host: 'h', pathPrefix: '/', kind: 'batch', timeoutMs: 1000, latencyTargetMs: 500, maxRuns: 3, isResumable: true, isAnonymous: false, priority: 0, targets: [], batch: {dueMs: 1000, giveUpMs: 1000, maxWaitingTokens: limit},
});

/** Runs a write of another front just before this front's record of a job is created, once. */
const beforeOwnRecord = (api: FakeObjectApi, write: () => Promise<unknown>) => {
	api.beforeCall = async (call, kind, name) => {
		if (call === 'create' && kind === 'BatchRecord' && name === recordNames.job(jobId('a'))) {
			api.beforeCall = undefined;
			await write();
		}
	};
};

const willingKeepers: typeof noKeepers = {isSufficient: true, hold: async () => 'held'};

const startIntake = async (world: IntakeWorld, limit: number, keeperPool: typeof noKeepers) => {
	world.api = new FakeObjectApi();
	world.limit = limit;
	const feed = world.register(new ObjectFeed({api: world.api, clock, log}, 'BatchRecord', {waitMs: 50, mayLag: false}));
	world.jobIndex = new JobIndex(feed);
	const metrics = world.register(new PrometheusMetrics());
	feed.start();
	await until(() => world.jobIndex.hasLoaded, 'the records are loaded');
	world.intake = new JobIntake({
		api: world.api, feed, jobIndex: world.jobIndex, contents: new ContentStore(world.api), heldJobs: {add: () => undefined}, keeperPool, processCount: () => 1, clock, log, metrics,
	});
};

Given('an intake with a limit of {int} tokens', async function (this: IntakeWorld, limit: number) {
	await startIntake(this, limit, noKeepers);
});

Given('an intake with a limit of {int} tokens, and keepers that hold any job', async function (this: IntakeWorld, limit: number) {
	await startIntake(this, limit, willingKeepers);
});

Given('the object API is unavailable to the intake', function (this: IntakeWorld) {
	this.api.down = true;
});

Given('another front writes a record of {string} with {int} tokens that does not fit, just before this one does', function (this: IntakeWorld, job: string, tokens: number) {
	beforeOwnRecord(this.api, async () => this.api.create('BatchRecord', recordNames.job(jobId(job)), foreignRecord(job, tokens, tokens - 1)));
});

Given('a job of {int} tokens waits', async function (this: IntakeWorld, tokens: number) {
	await this.api.create('BatchRecord', recordNames.job(jobId('b')), foreignRecord('b', tokens, this.limit));
	await until(() => this.jobIndex.job(jobId('b')) !== undefined, 'the job is in the index');
});

Given('another front\'s job of {int} tokens is written just before this one', function (this: IntakeWorld, tokens: number) {
	beforeOwnRecord(this.api, async () => this.api.create('BatchRecord', recordNames.job(jobId('c')), foreignRecord('c', tokens, this.limit)));
});

Given('the answer to the next record of a job is lost', function (this: IntakeWorld) {
	beforeOwnRecord(this.api, async () => {
		this.api.loseNextAnswer();
	});
});

Given('the first attempt to write a record gets no answer and has no effect', function (this: IntakeWorld) {
	const create = this.api.create.bind(this.api);
	this.api.create = async (kind, name, value) => {
		if (kind !== 'BatchRecord' || name !== recordNames.job(jobId('a'))) {
			return create(kind, name, value);
		}

		this.api.create = create;
		return Left({kind: 'unknown', reason: 'no answer'});
	};
});

Given('the waiting job is asked to end here, and the record of its end is written {int} ms later', function (this: IntakeWorld, delayMs: number) {
	this.jobIndex.requestEnd(jobId('b'));
	setTimeout(() => {
		void this.api.create('BatchRecord', recordNames.end(jobId('b')), {type: 'end', job: jobId('b')});
	}, delayMs);
});

Given('the waiting job is asked to end here, and the record of its end is not written', function (this: IntakeWorld) {
	this.jobIndex.requestEnd(jobId('b'));
});

const submit = async ({intake, limit}: IntakeWorld, job: string, item: {readonly tokens: number; readonly body: string}): Promise<SubmissionOutcome> => intake.submit({
	job: jobId(job), route: routeOf(limit), host: 'h', target: '/', items: [{
		id: branded<BatchItemId>(`${job}-0`), path: '/', headers: [], ...item,
	}],
});

When('{string} is submitted with {int} tokens', async function (this: IntakeWorld, job: string, tokens: number) {
	this.outcome = await submit(this, job, {tokens, body: ''});
});

When('{string} is submitted with {int} tokens and a body of {int} bytes', async function (this: IntakeWorld, job: string, tokens: number, bytes: number) {
	this.outcome = await submit(this, job, {tokens, body: 'a'.repeat(bytes)});
});

Then('the submission is {string}', function (this: IntakeWorld, outcome: string) {
	assert.equal(this.outcome, outcome);
});

Then('the submission is not accepted', function (this: IntakeWorld) {
	assert.notEqual(this.outcome, 'accepted');
});

Then('no record of {string} exists', function (this: IntakeWorld, job: string) {
	assert.ok(!this.api.all('BatchRecord').some(({name}) => name === recordNames.job(jobId(job))));
});

Then('the record of the end precedes that of {string}', function (this: IntakeWorld, job: string) {
	const versionOf = (record: string) => this.api.all('BatchRecord').find(({name}) => name === record)!.version;
	assert.ok(versionOf(recordNames.end(jobId('b'))) < versionOf(recordNames.job(jobId(job))));
});
