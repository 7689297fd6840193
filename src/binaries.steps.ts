/**
Steps for the built programs as separate processes.
*/
import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {ProcessFleet} from '../bench/process-fleet.js';
import type {ProcessEnd} from '../bench/program-process.js';
import type {TestWorld} from './common/testing/test-world.js';
import {BatchClient, type ItemLine} from './load/batch-job.js';
import {Caller, type CallerAnswer, type GenerationCall} from './load/caller.js';
import {runToEnd} from './io/testing/run-process.js';
import {expectedTokens} from './standins/expected-tokens.js';
import {promptTextOf} from './standins/prompt-text.js';

type Asked = GenerationCall & {readonly entry: string};

type BinariesWorld = TestWorld & {
	fleet: ProcessFleet;
	caller: Caller;
	answers: Array<{readonly asked: Asked; readonly answer: CallerAnswer}>;
	jobResults: ItemLine[];
	stream: Promise<CallerAnswer>;
	ends: ProcessEnd[];
};

const apiKey = 'key-of-nodibandh';
const model = 'tyre-scribe';
const service = 'gate-desk';
const marker = 'gate-3';
const batchItems = 30;
const pollMs = 20;
const batchWaitMs = 15_000;
const engines = [{vm: 'vm-1', failureDomain: 'durgapur-hall'}, {vm: 'vm-2', failureDomain: 'asansol-hall'}] as const;
const serviceVm = {vm: 'vm-3', failureDomain: 'kolkata-hall'} as const;
const entries = [{vm: 'entry-1', failureDomain: 'durgapur-hall'}, {vm: 'entry-2', failureDomain: 'asansol-hall'}] as const;
const longStream: Asked = {
	entry: entries[0].vm, model, prompt: 'A long summary of the shift.', maxTokens: 200, stream: true,
};

const resources = [
	{kind: 'ModelVersion', metadata: {name: 'tyre-scribe-1'}, spec: {weights: 'tyre-scribe-1'}},
	{kind: 'ServedModel', metadata: {name: model}, spec: {version: 'tyre-scribe-1'}},
	{kind: 'OnlineService', metadata: {name: service}, spec: {}},
	...engines.map(({vm}) => ({kind: 'BackendServer', metadata: {name: vm}, spec: {type: 'engine', models: [model]}})),
	{kind: 'BackendServer', metadata: {name: serviceVm.vm}, spec: {type: 'service', service}},
	{kind: 'ClientAccount', metadata: {name: 'nodibandh'}, spec: {apiKeys: [apiKey]}},
].map(resource => ({apiVersion: 'citronyard/v1', ...resource}));

const options = (world: BinariesWorld, entry: string) => ({address: world.fleet.get(entry).address, apiKey});

const expectedText = ({prompt, maxTokens}: GenerationCall) => expectedTokens(promptTextOf({messages: [{role: 'user', content: prompt}]}), maxTokens).join('');

const startPlatform = async (fleet: ProcessFleet) => {
	const [objectApi, vmList] = await Promise.all([fleet.startStandin('object-api', 'object-api'), fleet.startStandin('vm-list', 'vm-list')]);
	fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
};

const startBackends = async (fleet: ProcessFleet) => {
	await Promise.all(engines.map(async place => {
		const engine = await fleet.startStandin(`engine-${place.vm}`, 'engine', {models: [{model, version: 'tyre-scribe-1'}]});
		const agent = await fleet.startAgent(place, {type: 'engine', address: engine.address});
		await fleet.listVm(place, 'backend', agent.address);
	}));
	const plain = await fleet.startStandin('service', 'service');
	const agent = await fleet.startAgent(serviceVm, {type: 'service', address: plain.address, service});
	await fleet.listVm(serviceVm, 'backend', agent.address);
};

const startEntries = async (fleet: ProcessFleet) => {
	await Promise.all(entries.map(async place => {
		const entry = await fleet.startEntry(place);
		await fleet.listVm(place, 'entry', entry.address);
	}));
};

/** Waits until the entry knows the account, the model and the service. */
const awaitReady = async (world: BinariesWorld, entry: string) => {
	const isReady = async () => {
		const models = await world.caller.request('GET', '/v1/models', options(world, entry));
		const called = await world.caller.call({service, method: 'GET', path: '/ready'}, options(world, entry));
		return models.kind === 'whole' && models.text.includes(model) && called.kind === 'whole';
	};

	while (!await isReady()) {
		await sleep(pollMs);
	}
};

const ask = async (world: BinariesWorld, asked: Asked, onToken?: () => void) => {
	const answer = await world.caller.generate(asked, {...options(world, asked.entry), onToken});
	world.answers.push({asked, answer});
	return answer;
};

/** The VM that the entry's log says it sent its last attempt to. */
const routedTo = (world: BinariesWorld, entry: string): string => {
	const routed = world.fleet.get(entry).log.split('\n').findLast(line => line.includes('"event":210')) ?? '{}';
	return (JSON.parse(routed) as {vm: string}).vm;
};

Given('two entries and three agents run as separate processes', async function (this: BinariesWorld) {
	this.fleet = this.register(new ProcessFleet('binaries'));
	this.caller = this.register(new Caller());
	this.answers = [];
	await startPlatform(this.fleet);
	await startBackends(this.fleet);
	await startEntries(this.fleet);
});

Given('an operator applies the fleet\'s resources with citronctl', async function (this: BinariesWorld) {
	const file = path.join(this.fleet.folder, 'resources.jsonc');
	writeFileSync(file, JSON.stringify(resources));
	const ended = await runToEnd(['dist/citronctl.js', 'apply', '-f', file, '--object-api', this.fleet.platform.objectApi]);
	assert.equal(ended.code, 0, ended.stderr);
	await Promise.all(entries.map(async ({vm}) => awaitReady(this, vm)));
});

When('a caller asks each entry for a stream, a whole answer and a plain call', async function (this: BinariesWorld) {
	const asked = entries.flatMap(({vm}) => [true, false].map((stream): Asked => ({
		entry: vm, model, prompt: `Is the tyre safe, says ${vm}, ${stream ? 'streamed' : 'at once'}?`, maxTokens: 20, stream,
	})));
	await Promise.all(asked.map(async one => ask(this, one)));
	const called = await this.caller.call({
		service, method: 'POST', path: '/gates/3/open', headers: {'x-marker': marker}, body: '{"truck":7}',
	}, options(this, entries[0].vm));
	assert.equal(called.kind, 'whole');
});

When('a caller submits a batch job of 30 items at one entry and reads it at the other', async function (this: BinariesWorld) {
	const until = performance.now() + batchWaitMs;
	const clientAt = (entry: string) => new BatchClient(this.caller, {apiKey, address: () => this.fleet.get(entry).address});
	const items = Array.from({length: batchItems}, (_, item) => ({
		customId: `note-${item}`, model, prompt: `Inspection note ${item}`, maxTokens: 8,
	}));
	const accepted = await clientAt(entries[0].vm).submit(items, 'job-1', until);
	assert.ok(accepted, 'the job was not accepted');
	const reader = clientAt(entries[1].vm);
	const ended = await reader.awaitEnd(accepted.id, until);
	assert.equal(ended?.status, 'completed');
	this.jobResults = await reader.results(ended, until) ?? [];
});

Then('every answer is the one that belongs to its prompt', function (this: BinariesWorld) {
	assert.deepEqual(
		this.answers.map(({answer}) => answer.kind === 'whole' ? answer.text : answer),
		this.answers.map(({asked}) => expectedText(asked)),
	);
});

Then('the plain call ran once', async function (this: BinariesWorld) {
	const res = await fetch(`http://${this.fleet.get('service').address}/control/runs`);
	const {runs} = await res.json() as {runs: Record<string, number>};
	assert.equal(runs[marker], 1);
});

Then('the batch job has each of its 30 items once', function (this: BinariesWorld) {
	const found = this.jobResults.map(({custom_id: id, response}) => `${id}: ${response?.body.choices?.[0]?.message?.content}`);
	const wanted = Array.from({length: batchItems}, (_, item) => `note-${item}: ${expectedText({
		model, prompt: `Inspection note ${item}`, maxTokens: 8, stream: false,
	})}`);
	assert.deepEqual(found.toSorted(), wanted.toSorted());
});

When('a caller reads a long stream through the first entry', async function (this: BinariesWorld) {
	await new Promise<void>(resolve => {
		this.stream = ask(this, longStream, resolve);
	});
});

When('the first entry and the agent that serves the stream receive SIGTERM', async function (this: BinariesWorld) {
	const stopping = [longStream.entry, routedTo(this, longStream.entry)].map(name => this.fleet.get(name));
	this.ends = await Promise.all(stopping.map(async process => process.stop()));
});

Then('the caller\'s stream is whole', async function (this: BinariesWorld) {
	const answer = await this.stream;
	assert.equal(answer.kind === 'whole' && answer.text, expectedText(longStream));
});

Then('both processes end with exit code 0', function (this: BinariesWorld) {
	assert.deepEqual(this.ends, [{code: 0, signal: null}, {code: 0, signal: null}]);
});

Then('the second entry still answers', async function (this: BinariesWorld) {
	const asked: Asked = {
		entry: entries[1].vm, model, prompt: 'Who is still there?', maxTokens: 8, stream: false,
	};
	const answer = await ask(this, asked);
	assert.equal(answer.kind === 'whole' && answer.text, expectedText(asked));
});
