/**
Steps for batch jobs through the official client library.
*/
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import OpenAI, {toFile} from 'openai';
import type {TestWorld} from '../common/testing/test-world.js';
import {fleetResources, LocalFleet, type FleetPlan} from '../demo/local-fleet.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import {keyHash} from './accounts.js';

type ClientWorld = TestWorld & {
	fleet: LocalFleet;
	client: OpenAI;
	jobs: string[];
	online: Array<Promise<OpenAI.ChatCompletion>>;
};

type ResultLine = {custom_id: string; response: {status_code: number} | null; error: {code: string} | null};

const apiKey = 'pit-key';
const model = 'tyre-scribe';
const pollMs = 50;
const polls = 300;
const longTokens = 300;
const endpoint = '/v1/chat/completions';

const plan: FleetPlan = {
	engines: ['gpu-1', 'gpu-2'].map(vm => ({
		vm, failureDomain: 'durgapur-hall', models: [model], engine: {stepMs: 1},
	})),
	entries: ['entry-1', 'entry-2'].map(vm => ({vm, failureDomain: 'durgapur-hall'})),
	agent: {maxRunning: 8},
	entry: {batch: {tickMs: 50}},
};

const chat = (content: string, maxTokens: number) => ({model, messages: [{role: 'user' as const, content}], max_tokens: maxTokens});

const upload = async ({client}: ClientWorld, contents: readonly string[], maxTokens = 4) => {
	const lines = contents.map((content, index) => JSON.stringify({
		custom_id: `note-${index}`, method: 'POST', url: endpoint, body: chat(content, maxTokens),
	}));
	return client.files.create({file: await toFile(new Blob([lines.join('\n')]), 'logs.jsonl'), purpose: 'batch'});
};

const submit = async ({client}: ClientWorld, fileId: string, jobKey?: string) => client.batches.create({
	input_file_id: fileId, endpoint, completion_window: '24h', ...(jobKey !== undefined && {metadata: {job_key: jobKey}}),
});

const logs = (items: number) => Array.from({length: items}, (_, index) => `Write the note for log ${index}.`);

const awaitJob = async ({client}: ClientWorld, id: string, isDone: (job: OpenAI.Batch) => boolean) => {
	for (let poll = 0; poll < polls; poll += 1) {
		const job = await client.batches.retrieve(id);
		if (isDone(job)) {
			return job;
		}

		await sleep(pollMs);
	}

	return assert.fail(`job ${id} did not get there`);
};

const read = async ({client}: ClientWorld, fileId: string | null | undefined): Promise<ResultLine[]> => {
	const content = await client.files.content(fileId ?? '');
	const text = await content.text();
	return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ResultLine);
};

const submitItems = async (world: ClientWorld, contents: readonly string[], maxTokens?: number) => {
	const file = await upload(world, contents, maxTokens);
	const job = await submit(world, file.id);
	world.jobs = [job.id];
};

const assertCompletes = async (world: ClientWorld, completed: number, failed: number) => {
	const job = await awaitJob(world, world.jobs[0]!, ({status}) => status === 'completed');
	assert.deepEqual(job.request_counts, {total: completed + failed, completed, failed});
	const done = await read(world, job.output_file_id);
	assert.equal(new Set(done.map(line => line.custom_id)).size, completed);
	assert.equal(done.length, completed);
	return job;
};

Given('a fleet of 2 entries and 2 engines, and a client', async function (this: ClientWorld) {
	this.fleet = this.register(await LocalFleet.start(plan, {
		clock: new SystemClock(), random: new SeededRandom(1), log: {emit: () => undefined}, metrics: new NoMetrics(),
	}));
	await this.fleet.apply(fleetResources(plan, [{name: 'pit', keySha256: keyHash(apiKey)}]));
	await this.fleet.awaitModels(apiKey);
	this.client = new OpenAI({apiKey, baseURL: `http://${this.fleet.entryAddress()}/v1`, maxRetries: 0});
});

When('the client uploads {int} items and submits them twice', async function (this: ClientWorld, items: number) {
	const file = await upload(this, logs(items));
	const other = new OpenAI({apiKey, baseURL: `http://${this.fleet.entryAddress('entry-2')}/v1`, maxRetries: 0});
	const jobs = await Promise.all([this.client, other].map(async client => submit({...this, client} as ClientWorld, file.id)));
	this.jobs = jobs.map(({id}) => id);
});

When('the client has submitted {int} jobs', async function (this: ClientWorld, count: number) {
	const file = await upload(this, logs(3));
	this.jobs = [];
	for (let job = 0; job < count; job += 1) {
		const {id} = await submit(this, file.id, `job-${job}`);
		this.jobs.push(id);
		// Jobs are listed by the time of their creation, in milliseconds.
		await sleep(2);
	}
});

When('the client submits {int} long items and cancels once some are completed', async function (this: ClientWorld, items: number) {
	await submitItems(this, logs(items), longTokens);
	await awaitJob(this, this.jobs[0]!, job => (job.request_counts?.completed ?? 0) > 0);
	await this.client.batches.cancel(this.jobs[0]!);
});

When('the client submits {int} items of which one crashes its engine, and sends online requests meanwhile', async function (this: ClientWorld, items: number) {
	await submitItems(this, logs(items).map((log, index) => index === 7 ? '[[crash]]' : log), 30);
	this.online = [];
	for (let request = 0; request < 20; request += 1) {
		this.online.push(this.client.chat.completions.create(chat(`Is truck ${request} safe?`, 20)));
		await sleep(pollMs);
	}
});

When('the client has submitted {int} items and the object API goes down', async function (this: ClientWorld, items: number) {
	await submitItems(this, logs(items), longTokens);
	await awaitJob(this, this.jobs[0]!, ({status}) => status === 'in_progress');
	this.fleet.objectApi.faults({down: true});
});

Then('both answers name one job', function (this: ClientWorld) {
	assert.equal(this.jobs[0], this.jobs[1]);
});

Then('the job completes with {int} items, and its output file has each once', async function (this: ClientWorld, items: number) {
	await assertCompletes(this, items, 0);
});

Then('listing them {int} a page shows each once, the newest first', async function (this: ClientWorld, limit: number) {
	const listed: string[] = [];
	for await (const job of this.client.batches.list({limit})) {
		listed.push(job.id);
	}

	assert.deepEqual(listed, this.jobs.toReversed());
});

Then('a file that the client deletes is not found any more, and its job completes', async function (this: ClientWorld) {
	const {input_file_id: file} = await this.client.batches.retrieve(this.jobs[0]!);
	const deleted = await this.client.files.delete(file);
	assert.equal(deleted.deleted, true);
	await assert.rejects(async () => this.client.files.retrieve(file), {status: 404});
	await awaitJob(this, this.jobs[0]!, ({status}) => status === 'completed');
});

Then('the job is shown as cancelled, and its output file has the items it counts', async function (this: ClientWorld) {
	const job = await awaitJob(this, this.jobs[0]!, ({status}) => status === 'cancelled');
	const done = await read(this, job.output_file_id);
	assert.ok(done.length > 0);
	assert.equal(done.length, job.request_counts?.completed);
});

Then('no engine runs a batch item any more', async function (this: ClientWorld) {
	const isIdle = () => [...this.fleet.agents.values()].every(agent => agent.load().batchRunning === 0);
	for (let poll = 0; poll < polls && !isIdle(); poll += 1) {
		await sleep(pollMs);
	}

	assert.ok(isIdle());
});

Then('the job completes with {int} items and {int} failed item(s)', async function (this: ClientWorld, completed: number, failed: number) {
	const job = await assertCompletes(this, completed, failed);
	const errors = await read(this, job.error_file_id);
	assert.deepEqual(errors.map(({custom_id, error}) => [custom_id, error?.code]), [['note-7', 'backend_crashed']]);
});

Then('every online request was answered', async function (this: ClientWorld) {
	const answers = await Promise.all(this.online);
	assert.ok(answers.every(({choices}) => choices[0]?.finish_reason === 'length' || choices[0]?.finish_reason === 'stop'));
});

Then('another submission is refused with 503, as not run, with a time to come back', async function (this: ClientWorld) {
	const failure = await upload(this, logs(2)).then(async ({id}) => submit(this, id)).catch((err: unknown) => err);
	assert.ok(failure instanceof OpenAI.APIError);
	assert.equal(failure.status, 503);
	const headers = failure.headers as Headers;
	assert.equal(headers.get('x-citronyard-run'), 'not-run');
	assert.ok(Number(headers.get('retry-after')) > 0);
});

Then('an online request is answered', async function (this: ClientWorld) {
	const answer = await this.client.chat.completions.create(chat('Is truck 7 safe?', 4));
	assert.ok((answer.choices[0]?.message.content ?? '').length > 0);
});

Then('the job completes with {int} items once the object API is back', async function (this: ClientWorld, items: number) {
	this.fleet.objectApi.faults({down: false});
	await assertCompletes(this, items, 0);
});
