/**
Steps for what the store of jobs tells callers.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {BatchJob} from '../../typings/resources.js';
import {resultName, resultPrefix, type ChunkResult} from '../common/batch-types.js';
import {branded, type AccountName, type Fence} from '../common/ids.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import type {ApiError} from './api-error.js';
import type {JobStore, JobView} from './job-store.js';
import {now, storeOf, submit} from './testing/batch-world.js';

type StoreWorld = TestWorld & {api: FakeObjectApi; store: JobStore; job: JobView; answer: Either<ApiError, unknown>};

const account = {name: branded<AccountName>('pit'), share: 1, maxInFlight: 1};

Given('a stored job', async function (this: StoreWorld) {
	this.api = new FakeObjectApi();
	this.store = storeOf(this.api);
	const job = await submit(this.store, 'file-1');
	this.job = job.unsafeCoerce();
});

When('it is cancelled, the answer is lost and the object API goes down', async function (this: StoreWorld) {
	this.api.loseNextAnswer();
	let isWritten = false;
	this.api.beforeCall = call => {
		this.api.down = isWritten;
		isWritten ||= call === 'update';
	};

	this.answer = await this.store.cancelJob(account, this.job.id, now);
});

When('it is cancelled while the object API is down', async function (this: StoreWorld) {
	this.api.down = true;
	this.answer = await this.store.cancelJob(account, this.job.id, now);
});

When('the results of a chunk are read and its {word} is gone', async function (this: StoreWorld, kind: string) {
	const prefix = resultPrefix(this.job.id, this.job.job.spec);
	const result: ChunkResult = {
		writer: 'w', fence: branded<Fence>(1), completed: 1, failed: 0, items: [], parts: ['gone'],
	};
	if (kind === 'ResultPart') {
		await this.api.create('Result', resultName(prefix, 0), result);
	}

	this.answer = await this.store.readResults(prefix, 0);
});

Then('the object API has the job as cancelled', function (this: StoreWorld) {
	assert.equal(this.api.all<BatchJob>('BatchJob')[0]?.value.spec.cancelled, true);
});

Then('the client hears {string} and {string}', function (this: StoreWorld, code: string, run: string) {
	const err = this.answer.swap().unsafeCoerce();
	assert.deepEqual([err.code, err.run], [code, run]);
});

Given('{int} stored jobs', async function (this: StoreWorld, count: number) {
	this.api = new FakeObjectApi();
	this.store = storeOf(this.api);
	const wish = {inputFileId: 'file-1', endpoint: '/v1/completions', dueTime: '2099-01-01T00:00:00.000Z'} as const;
	await Promise.all(Array.from({length: count}, async (_, i) => this.store.createJob(account, {...wish, jobKey: `k${i}`, createdTime: `2026-01-0${i + 1}T00:00:00.000Z`})));
});

When('a client reads {int} of them, the last of these is removed, and it reads the next {int}', async function (this: StoreWorld, first: number, next: number) {
	const page = await this.store.listJobs(account, {limit: first});
	const after = page.unsafeCoerce().views.at(-1)!.id;
	await this.api.remove('BatchJob', after);
	this.answer = await this.store.listJobs(account, {limit: next, after});
});
