/**
Steps for the jobs that keepers hold, on a temporary folder and an object API in memory.
*/
import assert from 'node:assert/strict';
import {
	mkdir, mkdtemp, rm, symlink, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../../common/ids.js';
import type {EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {HttpClient} from '../../io/http-client.js';
import {RpcClient} from '../../io/rpc-client.js';
import {SystemClock} from '../../io/system-clock.js';
import {
	recordNames, type JobRecord, type PageRecord,
} from '../batch/batch-records.js';
import {Keeper} from '../keeper.js';
import {gatewayEvents} from '../log-events.js';
import {keeperSettingsSchema} from '../settings.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import {holdJobMethod, type HeldJob, type HoldAnswer} from './held-job.js';
import {HeldJobs} from './held-jobs.js';
import {noJournal} from './no-journal.js';
import {JobJournal} from './job-journal.js';

type HoldingWorld = TestWorld & {
	api: FakeObjectApi;
	folder: string;
	journal: JobJournal;
	jobs: HeldJobs;
	keeper: Keeper;
	answer: HoldAnswer;
};

/** What was logged, by number of the event. */
const logged: number[] = [];
const log: EventLog = {
	emit({number}) {
		logged.push(number);
	},
};
const clock = new SystemClock();
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);
const itemId = (name: string): BatchItemId => branded<BatchItemId>(`${name}-0`);
const keeperName = 'keeper-1';

const record = (job: string, writer: string, isRoomy: boolean): JobRecord => ({
	type: 'job', job: jobId(job), route: 'notes', host: 'h', target: '/', submittedAt: 0, maxWaitingTokens: 1, isRoomy, items: [{id: itemId(job), tokens: 9}], content: `${writer}-${job}`,
});

const heldJob = (job: string): HeldJob => ({
	record: record(job, 'held', true),
	content: {
		type: 'items', items: [{
			id: itemId(job), path: '/', headers: [], body: '', tokens: 9,
		}],
	},
});

const recordOf = ({api}: HoldingWorld, job: string): JobRecord | undefined => api.all<JobRecord>('BatchRecord').find(({name}) => name === recordNames.job(jobId(job)))?.value;

const setUp = async (world: HoldingWorld) => {
	logged.length = 0;
	world.folder = await mkdtemp(path.join(tmpdir(), 'held-jobs-'));
	world.register(async () => rm(world.folder, {recursive: true, force: true}));
	world.api = new FakeObjectApi();
	world.journal = new JobJournal(path.join(world.folder, 'jobs'));
	world.jobs = world.register(new HeldJobs({
		journal: world.journal, api: world.api, clock, log,
	}));
	await world.jobs.start();
};

Given('a keeper\'s jobs, and a record of {string} by another front that {word} it( too large)', async function (this: HoldingWorld, job: string, judgement: string) {
	await setUp(this);
	await this.api.create('BatchRecord', recordNames.job(jobId(job)), record(job, 'foreign', judgement === 'accepted'));
});

Given('a keeper\'s jobs', async function (this: HoldingWorld) {
	await setUp(this);
});

When('the keeper holds {string} of {int} bytes', async function (this: HoldingWorld, job: string, bytes: number) {
	const {record: held, content} = heldJob(job);
	this.answer = await this.jobs.hold({record: held, content: {...content, items: content.items.map(item => ({...item, body: 'a'.repeat(bytes)}))}});
});

Given('a front\'s held jobs of at most {int} bytes, and an object API that is unavailable', function (this: HoldingWorld, maxBytes: number) {
	this.api = new FakeObjectApi();
	this.api.down = true;
	this.jobs = this.register(new HeldJobs({
		journal: noJournal, maxBytes, api: this.api, clock, log,
	}));
});

const namesOf = (text: string): string[] => text.split(', ');

When('jobs {string} of {int} bytes each are added', function (this: HoldingWorld, names: string, bytes: number) {
	namesOf(names).forEach(name => {
		const {record: held, content} = heldJob(name);
		this.jobs.add({record: held, content: {...content, items: content.items.map(item => ({...item, body: 'a'.repeat(bytes)}))}});
	});
});

Then('{int} jobs are held', function (this: HoldingWorld, count: number) {
	assert.equal(this.jobs.size, count);
});

When('the object API is available again to the front', function (this: HoldingWorld) {
	this.api.down = false;
});

const assertWritten = async (world: HoldingWorld, names: string) => {
	await until(() => namesOf(names).every(name => recordOf(world, name) !== undefined) && world.jobs.size === 0, `${names} are written`);
};

Then('the records of {string} are written, those of {string} are not, and nothing is held any more', async function (this: HoldingWorld, written: string, others: string) {
	await assertWritten(this, written);
	assert.deepEqual(namesOf(others).filter(name => recordOf(this, name) !== undefined), []);
});

Then('the records of {string} are written', async function (this: HoldingWorld, names: string) {
	await assertWritten(this, names);
});

Then('{string} is still held, and was logged as refused once', async function (this: HoldingWorld, job: string) {
	const before = this.api.calls.create;
	await until(() => this.api.calls.create > before + 1, 'the keeper has tried again');
	const {jobs: remaining} = await this.journal.load();
	assert.deepEqual(remaining.map(({record: held}) => held.job), [jobId(job)]);
	assert.equal(logged.filter(number => number === gatewayEvents.heldJobRefused.number).length, 1);
});

Given('a page of results of {string}', async function (this: HoldingWorld, job: string) {
	const page: PageRecord = {
		type: 'page', job: jobId(job), number: 0, results: [], content: 'text',
	};
	await this.api.create('BatchRecord', recordNames.page(jobId(job), 0), page);
});

Given('a keeper\'s disk that is full for {string}', async function (this: HoldingWorld, job: string) {
	await setUp(this);
	await symlink('/dev/full', path.join(this.folder, 'jobs', `held-${job}.json`));
});

Given('a keeper\'s disk that has failed', async function (this: HoldingWorld) {
	await setUp(this);
	await rm(path.join(this.folder, 'jobs'), {recursive: true});
	await writeFile(path.join(this.folder, 'jobs'), '');
});

Given('a keeper whose object API is unavailable for a while', async function (this: HoldingWorld) {
	await setUp(this);
	const settings = keeperSettingsSchema.parse({
		name: keeperName, failureDomain: 'hall', peerListen: '127.0.0.1:0', dataDir: this.folder, objectApi: {address: '127.0.0.1:1'},
	});
	await mkdir(path.join(this.folder, 'held-jobs'), {recursive: true});
	this.keeper = this.register(new Keeper(settings, {
		api: this.api, clock, log, records: {readRetirement: () => Right({withinMs: 1000}), retirementDone: {state: 'done'}},
	}));
	await this.keeper.start();
});

When('operators request that the keeper\'s VM be emptied', async function (this: HoldingWorld) {
	await until(() => this.api.calls.watch > 0, 'the keeper watches the retirements');
	const update = this.api.update.bind(this.api);
	this.api.update = async (kind, name, value, version) => {
		this.api.down = kind === 'Retirement';
		const outcome = await update(kind, name, value, version);
		this.api.down = false;
		this.api.update = update;
		return outcome;
	};

	await this.api.create('Retirement', keeperName, {});
});

Then('the keeper refuses to hold {string}', async function (this: HoldingWorld, job: string) {
	const http = this.register(new HttpClient());
	const ask = async () => new RpcClient(http).call<HoldAnswer>({address: this.keeper.addresses.peers!, timeoutMs: 1000}, holdJobMethod, heldJob(job));
	const answered = await ask();
	assert.equal(answered.unsafeCoerce(), 'refused');
});

Then('the request is answered once the object API is available again', async function (this: HoldingWorld) {
	await until(() => (this.api.all<{state?: string}>('Retirement')[0]?.value.state) === 'done', 'the request is answered');
});

When('the keeper holds {string}', async function (this: HoldingWorld, job: string) {
	this.answer = await this.jobs.hold(heldJob(job));
});

When('the other front removes its record', async function (this: HoldingWorld) {
	await this.api.remove('BatchRecord', recordNames.job(jobId('a')));
});

Then('{string} is still held, and the other record exists', async function (this: HoldingWorld, job: string) {
	const before = this.api.calls.get;
	await until(() => this.api.calls.get > before, 'the keeper has read the record');
	assert.equal(this.jobs.size, 1);
	assert.equal(recordOf(this, job)?.content, `foreign-${job}`);
});

const assertWriter = async (world: HoldingWorld, job: string, writer: string) => {
	await until(() => world.jobs.size === 0, 'nothing is held');
	assert.equal(recordOf(world, job)?.content, `${writer}-${job}`);
	const {jobs: remaining} = await world.journal.load();
	assert.equal(remaining.length, 0);
};

Then('the record of {string} is the keeper\'s, and nothing is held any more', async function (this: HoldingWorld, job: string) {
	await assertWriter(this, job, 'held');
});

Then('the record of {string} is the other front\'s, and nothing is held any more', async function (this: HoldingWorld, job: string) {
	await assertWriter(this, job, 'foreign');
});

Then('the record of {string} is the keeper\'s', async function (this: HoldingWorld, job: string) {
	await until(() => recordOf(this, job)?.content === `held-${job}`, 'the record exists');
});

Then('the answer is {string}, and the disk holds no job', async function (this: HoldingWorld, answer: HoldAnswer) {
	assert.equal(this.answer, answer);
	const {jobs: remaining} = await this.journal.load();
	assert.equal(remaining.length, 0);
});

Then('the answer is {string}', function (this: HoldingWorld, answer: HoldAnswer) {
	assert.equal(this.answer, answer);
});

Given('a keeper\'s disk with the held job {string}, a torn file and one that cannot be read', async function (this: HoldingWorld, job: string) {
	await setUp(this);
	await this.journal.load();
	await this.journal.hold(heldJob(job));
	const dir = path.join(this.folder, 'jobs');
	await writeFile(path.join(dir, 'torn.json'), '{"record":{"job":');
	// Reading a folder fails as reading damaged blocks does.
	await mkdir(path.join(dir, 'unreadable.json'));
});

When('a keeper starts on that disk', async function (this: HoldingWorld) {
	await this.jobs.start();
});

Then('its log has event {int} once', (number: number) => {
	assert.equal(logged.filter(one => one === number).length, 1);
});

Then('it denies no job, since the unreadable file may hold it', function (this: HoldingWorld) {
	assert.ok(this.jobs.knows(jobId('never-heard-of')));
});
