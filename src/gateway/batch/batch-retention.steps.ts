/**
Steps for the retention of jobs, on an object API in memory that goes away within a removal.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {SystemClock} from '../../io/system-clock.js';
import {ObjectFeed} from '../object-feed.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {BatchItemId, BatchJobId, MemberName} from '../types.js';
import {recordNames, type JobRecord} from './batch-records.js';
import {BatchRetention} from './batch-retention.js';
import {JobIndex} from './job-index.js';

type RetentionWorld = TestWorld & {
	api: FakeObjectApi;
	jobIndex: JobIndex;
	retention: BatchRetention;
};

const log: EventLog = {emit: () => undefined};
const resultRetentionMs = 120_000;
const limit = 100;
const tokens = 60;
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);

const clock: Clock = new SystemClock();
const longAgo = () => clock.wall() - (2 * resultRetentionMs);

const recordOf = (job: string, submittedAt: number): JobRecord => ({
	type: 'job', job: jobId(job), route: 'notes', host: 'h', target: '/', submittedAt, maxWaitingTokens: limit, isRoomy: false, items: [{id: branded<BatchItemId>(`${job}-0`), tokens}], content: `items-${job}`,
});

/** Starts a process that reads the records. */
const startProcess = async (world: RetentionWorld) => {
	const feed = world.register(new ObjectFeed({api: world.api, clock, log}, 'BatchRecord', {waitMs: 50, mayLag: false}));
	const jobIndex = new JobIndex(feed);
	feed.start();
	await until(() => jobIndex.hasLoaded, 'the records are loaded');
	const retention = new BatchRetention({
		self: branded<MemberName>('front-1'), api: world.api, jobIndex, peers: {live: []} as unknown as PeerTable, clock, log, resultRetentionMs,
	});
	return {jobIndex, retention};
};

const createJob = async ({api}: RetentionWorld, job: string, submittedAt: number) => {
	await api.create('BatchContent', `items-${job}`, {type: 'items', items: []});
	await api.create('BatchRecord', recordNames.job(jobId(job)), recordOf(job, submittedAt));
};

Given('a finished job {string} whose retention time is over, and a job {string} that fits since {string} is finished', async function (this: RetentionWorld, finished: string, waiting: string, _same: string) {
	this.api = new FakeObjectApi();
	await createJob(this, finished, longAgo());
	await this.api.create('BatchContent', `text-${finished}`, {type: 'results', results: []});
	await this.api.create('BatchRecord', recordNames.page(jobId(finished), 0), {
		type: 'page', job: jobId(finished), number: 0, results: [{id: branded<BatchItemId>(`${finished}-0`), state: 'completed'}], content: `text-${finished}`,
	});
	await createJob(this, waiting, clock.wall());
	Object.assign(this, await startProcess(this));
});

Given('the object API goes away after {int} removals', function (this: RetentionWorld, calls: number) {
	let left = calls;
	this.api.beforeCall = call => {
		this.api.down = call === 'remove' && left === 0;
		left -= call === 'remove' ? 1 : 0;
	};
});

Given('a refused job {string} that was left', async function (this: RetentionWorld, job: string) {
	await createJob(this, job, longAgo());
	await until(() => this.jobIndex.job(jobId(job)) !== undefined, 'the job is in the index');
	assert.equal(this.jobIndex.job(jobId(job))?.isAdmitted, false);
});

When('the jobs are swept', async function (this: RetentionWorld) {
	await this.retention.removeExpired();
});

When('the object API is back and the jobs are swept by a process that starts now', async function (this: RetentionWorld) {
	this.api.beforeCall = undefined;
	this.api.down = false;
	Object.assign(this, await startProcess(this));
	await this.retention.removeExpired();
});

Then('a process that starts now has no open job {string}, and {string} is admitted there', async function (this: RetentionWorld, removed: string, waiting: string) {
	this.api.beforeCall = undefined;
	this.api.down = false;
	const {jobIndex} = await startProcess(this);
	assert.notEqual(jobIndex.job(jobId(removed))?.isOpen, true);
	assert.equal(jobIndex.job(jobId(waiting))?.isAdmitted, true);
});

Then('no object of {string} is left, and {string} is admitted there', function (this: RetentionWorld, removed: string, waiting: string) {
	const names = [...this.api.all('BatchRecord'), ...this.api.all('BatchContent')].map(({name}) => name);
	assert.deepEqual(names.filter(name => name.split('-').includes(removed)), []);
	assert.equal(this.jobIndex.job(jobId(waiting))?.isAdmitted, true);
});

Then('job {string} is gone, and {string} is removed', async function (this: RetentionWorld, refused: string, removed: string) {
	const names = () => this.api.all('BatchRecord').map(({name}) => name);
	assert.ok(!names().includes(recordNames.job(jobId(refused))));
	await until(() => this.jobIndex.job(jobId(refused)) === undefined, 'the removal is in the index');
	await this.retention.removeExpired();
	assert.ok(!names().includes(recordNames.job(jobId(removed))));
});
