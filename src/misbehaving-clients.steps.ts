/**
Steps for clients of entries and agents that do not behave.
*/
import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {ProcessFleet} from '../bench/process-fleet.js';
import type {TestWorld} from './common/testing/test-world.js';
import {playCrowd} from './io/testing/client-crowd.js';
import {crowdForms, type CrowdFormName, type CrowdTarget} from './io/testing/crowd-forms.js';
import {ProcessWatch} from './io/testing/process-watch.js';
import {runToEnd} from './io/testing/run-process.js';
import {Caller} from './load/caller.js';

type Program = 'entry' | 'agent';

type CrowdWorld = TestWorld & {
	fleet: ProcessFleet;
	caller: Caller;
	watches: Readonly<Record<Program, ProcessWatch>>;
	memoryMb: number;
	maxDescriptors: number;
};

const timeout = 60_000;

const crowdMs = 4000;

const pollMs = 50;

/** The part of the descriptors that clients may take: the rest is for the process's own connections. */
const clientsShare = 3 / 4;

const apiKey = 'key-of-nodibandh';
const model = 'tyre-scribe';
const weights = 'tyre-scribe-1';
const places = {entry: {vm: 'entry-1', failureDomain: 'durgapur-hall'}, agent: {vm: 'vm-1', failureDomain: 'durgapur-hall'}} as const;

const targets: Readonly<Record<Program, CrowdTarget>> = {
	entry: {host: 'entry', path: '/v1/chat/completions', headers: `Authorization: Bearer ${apiKey}\r\nContent-Type: application/json\r\n`},
	agent: {host: 'agent', path: '/rpc', headers: 'Content-Type: application/json\r\n'},
};

const resources = [
	{kind: 'ModelVersion', metadata: {name: weights}, spec: {weights}},
	{kind: 'ServedModel', metadata: {name: model}, spec: {version: weights}},
	{kind: 'BackendServer', metadata: {name: places.agent.vm}, spec: {type: 'engine', models: [model]}},
	{kind: 'ClientAccount', metadata: {name: 'nodibandh'}, spec: {apiKeys: [apiKey]}},
].map(resource => ({apiVersion: 'citronyard/v1', ...resource}));

const awaitService = async ({fleet, caller}: CrowdWorld) => {
	const isServed = async () => {
		const answer = await caller.generate({
			model, prompt: 'Which tyre?', maxTokens: 3, stream: false,
		}, {address: fleet.get(places.entry.vm).address, apiKey});
		return answer.kind === 'whole';
	};

	while (!await isServed()) {
		await pause(pollMs);
	}
};

Given('an entry and an agent on VMs with {int} MB and {int} descriptors', {timeout}, async function (this: CrowdWorld, memoryMb: number, maxDescriptors: number) {
	this.memoryMb = memoryMb;
	this.maxDescriptors = maxDescriptors;
	this.fleet = this.register(new ProcessFleet('crowd'));
	this.caller = this.register(new Caller());
	const [objectApi, vmList, engine] = await Promise.all([
		this.fleet.startStandin('object-api', 'object-api'),
		this.fleet.startStandin('vm-list', 'vm-list'),
		this.fleet.startStandin('engine', 'engine', {models: [{model, version: weights}]}),
	]);
	this.fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
	const machineLimits = {memoryMb, maxDescriptors};
	const agent = await this.fleet.startAgent(places.agent, {type: 'engine', address: engine.address}, {machineLimits});
	await this.fleet.listVm(places.agent, 'backend', agent.address);
	const entry = await this.fleet.startEntry(places.entry, {machineLimits});
	await this.fleet.listVm(places.entry, 'entry', entry.address);
	const file = path.join(this.fleet.folder, 'resources.jsonc');
	writeFileSync(file, JSON.stringify(resources));
	const applied = await runToEnd(['dist/citronctl.js', 'apply', '-f', file, '--object-api', objectApi.address]);
	assert.equal(applied.code, 0, applied.stderr);
	await awaitService(this);
	this.watches = {entry: this.register(new ProcessWatch(entry.pid)), agent: this.register(new ProcessWatch(agent.pid))};
});

When('{int} connections to the {word} send {string}', {timeout}, async function (this: CrowdWorld, connections: number, program: Program, form: CrowdFormName) {
	const {address} = this.fleet.get(places[program].vm);
	await playCrowd(crowdForms(targets[program])[form], {address, connections, ms: crowdMs});
});

const programs: readonly Program[] = ['entry', 'agent'];

programs.forEach(program => {
	Then(`the ${program} lives, and has stayed within its VM's limits`, function (this: CrowdWorld) {
		const {peakMemoryMb, peakDescriptors} = this.watches[program];
		assert.ok(this.fleet.get(places[program].vm).isRunning);
		assert.ok(peakMemoryMb <= this.memoryMb, `${Math.round(peakMemoryMb)} MB`);
		assert.ok(peakDescriptors <= clientsShare * this.maxDescriptors, `${peakDescriptors} descriptors`);
	});
});

Then('a caller\'s request is served', {timeout}, async function (this: CrowdWorld) {
	await awaitService(this);
});
