/**
Steps for the writer of results, on an object API in memory and a clock whose sleeps end when a step says so.
*/
import assert from 'node:assert/strict';
import {setImmediate as immediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import {jsonBytes} from '../../common/json-size.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {SystemClock} from '../../io/system-clock.js';
import {ObjectFeed} from '../object-feed.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import {JobIndex} from './job-index.js';
import {JobReader} from './job-reader.js';
import {recordNames, type JobRecord, type PageRecord} from './batch-records.js';
import {ContentStore} from './content-store.js';
import {ResultWriter} from './result-writer.js';

/** A clock that records the length of each sleep and ends all sleeps on request. */
class ManualClock implements Clock {
	readonly slept: number[] = [];
	readonly #system = new SystemClock();
	#wakers: Array<() => void> = [];

	now(): number {
		return this.#system.now();
	}

	wall(): number {
		return 0;
	}

	async sleep(ms: number): Promise<void> {
		this.slept.push(ms);
		return new Promise(resolve => {
			this.#wakers.push(resolve);
		});
	}

	wakeAll(): void {
		this.#wakers.forEach(wake => {
			wake();
		});
		this.#wakers = [];
	}
}

type WriterWorld = TestWorld & {
	api: FakeObjectApi;
	clock: ManualClock;
	writer: ResultWriter;
	reader: JobReader;
	outputs: Map<BatchItemId, string>;
	flushed: Promise<void>;
};

/** How long a step waits for all results, in milliseconds. */
const resultsTimeoutMs = 4000;

/** The bound on an answer that lists results. */
const maxAnswerBytes = 1_000_000;

const log: EventLog = {emit: () => undefined};
const job = branded<BatchJobId>('j1');
const itemId = (item: number): BatchItemId => branded<BatchItemId>(`j1-${item}`);

const pagesOf = ({api}: WriterWorld): PageRecord[] => api.all<PageRecord>('BatchRecord').filter(({value}) => value.type === 'page').map(({value}) => value);

Given('a job of {int} items that is due in {int} ms', async function (this: WriterWorld, items: number, dueMs: number) {
	this.api = new FakeObjectApi();
	this.clock = new ManualClock();
	const record: JobRecord = {
		type: 'job', job, route: 'notes', host: 'h', target: '/', submittedAt: 0, maxWaitingTokens: 0, isRoomy: true, items: Array.from({length: items}, (_, item) => ({id: itemId(item), tokens: 1})), content: 'items',
	};
	await this.api.create('BatchRecord', recordNames.job(job), record);
	const feed = this.register(new ObjectFeed({api: this.api, clock: new SystemClock(), log}, 'BatchRecord', {waitMs: 50, mayLag: false}));
	const jobIndex = new JobIndex(feed);
	feed.start();
	await until(() => jobIndex.job(job) !== undefined, 'the job is in the index');
	this.writer = this.register(new ResultWriter({
		api: this.api, feed, jobIndex, contents: new ContentStore(this.api), clock: this.clock, log,
	}, () => jobIndex.job(job), () => dueMs));
	this.reader = new JobReader({
		api: this.api, feed, jobIndex, contents: new ContentStore(this.api), heldJobSearch: {mayBeHeld: async () => false}, clock: new SystemClock(), log, confirmedAt: () => feed.currentAsOf,
	});
	this.outputs = new Map();
});

Given('the object API stores values of at most {int} bytes', function (this: WriterWorld, bytes: number) {
	this.api.valueLimitBytes = bytes;
});

Given('the answer to the next content is lost', function (this: WriterWorld) {
	this.api.loseNextAnswer();
});

When('all {int} items are done with {int} times {string} each', function (this: WriterWorld, items: number, count: number, escapedText: string) {
	const output = (JSON.parse(`"${escapedText}"`) as string).repeat(count);
	Array.from({length: items}, (_, item) => itemId(item)).forEach(id => {
		this.outputs.set(id, output);
		this.writer.add({id, state: 'completed', output});
	});
});

When('item {int} is done', function (this: WriterWorld, item: number) {
	this.writer.add({id: itemId(item), state: 'completed', output: 'text'});
});

When('the gathering time is over', function (this: WriterWorld) {
	this.clock.wakeAll();
});

When('the process shuts down', function (this: WriterWorld) {
	this.flushed = this.writer.flush(1000);
});

Then('its writer gathers for {int} ms', function (this: WriterWorld, ms: number) {
	assert.deepEqual(this.clock.slept, [ms]);
});

Then('there is {int} page with {int} result(s)', async function (this: WriterWorld, pages: number, results: number) {
	await until(() => pagesOf(this).length > 0, 'a page is written');
	assert.deepEqual(pagesOf(this).map(page => page.results.length), Array.from({length: pages}, () => results));
});

Then('all results are read back unchanged, in answers of at most a megabyte', async function (this: WriterWorld) {
	const read = new Map<BatchItemId, string>();
	const deadlineAt = performance.now() + resultsTimeoutMs;
	while (read.size < this.outputs.size && performance.now() < deadlineAt) {
		this.clock.wakeAll();
		const answer = await this.reader.results({job, after: read.size, waitMs: 0});
		const results = typeof answer === 'string' ? [] : answer.results;
		assert.ok(results.length <= 1 || jsonBytes(answer) <= maxAnswerBytes);
		results.forEach(({id, output}) => {
			read.set(id, output);
		});
		await immediate();
	}

	assert.equal(read.size, this.outputs.size);
	assert.ok([...this.outputs].every(([id, output]) => read.get(id) === output));
});

Then('each content of the job is named by a record', function (this: WriterWorld) {
	const named = new Set(pagesOf(this).flatMap(({content, parts = []}) => [content, ...parts]));
	assert.deepEqual(this.api.all('BatchContent').map(({name}) => name).filter(name => !named.has(name)), []);
});
