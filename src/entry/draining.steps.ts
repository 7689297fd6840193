/**
Steps for VMs and processes that leave under load.
*/
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request, type IncomingMessage} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import {expectedTokens} from '../standins/expected-tokens.js';
import {entryEvents} from './log-events.js';
import {call, type CallWorld} from './service-calls.steps.js';
import {
	apiKey, modelName, until, type RelayedFleet,
} from './testing/relayed-fleet.js';

type DrainWorld = CallWorld & {
	statuses: number[];
	streams: Promise<string[]>;
	kept: Agent;
	callers: Agent[];
	endings: unknown[][];
	stopped: Promise<void>;
};

const leavingVm = 'service-1';
/** Calls in a row that must go elsewhere before the leaving VM counts as known. */
const callsInARow = 20;
const pauseMs = 60;
const marker = 'tyre change of truck 7';

const routedTo = ({relayed}: CallWorld, vm: string) => relayed.events(entryEvents.routed).filter(routed => routed.vm === vm).length;

const witnesses: Readonly<Record<string, (fleet: RelayedFleet) => void>> = {
	'the agent'({fleet}) {
		void fleet.agents.get(leavingVm)!.drain();
	},
	'the VM list'({fleet, relays}) {
		fleet.vmList.setVm(leavingVm, {
			role: 'backend', address: relays.get(leavingVm)!.address, failureDomain: 'durgapur-hall', state: 'leaving',
		});
	},
};

When('{} learns that the first of them is leaving and {int} calls are made', async function (this: DrainWorld, witness: string, calls: number) {
	witnesses[witness]!(this.relayed);
	this.statuses = [];
	for (let i = 0; i < calls; i++) {
		const {status} = await call(this);
		this.statuses.push(status);
	}
});

Then('all calls are answered, and at last none is sent to it any more', async function (this: DrainWorld) {
	assert.deepEqual(new Set(this.statuses), new Set([200]));
	await until(async () => {
		const before = routedTo(this, leavingVm);
		await Promise.all(Array.from({length: callsInARow}, async () => call(this)));
		return routedTo(this, leavingVm) === before;
	});
});

Then('none of them ran there', function (this: DrainWorld) {
	assert.equal(this.relayed.fleet.services.get(leavingVm)!.runs()[marker] ?? 0, 0);
	assert.equal(this.relayed.runs(marker), this.statuses.length);
});

const open = async (world: DrainWorld, path: string, body: unknown, agent?: Agent): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	const req = request(`http://${world.relayed.fleet.entryAddress()}${path}`, {
		method: body ? 'POST' : 'GET', headers: {authorization: `Bearer ${apiKey}`}, agent,
	}, resolve);
	req.on('error', reject);
	req.end(body ? JSON.stringify(body) : undefined);
});

const textOf = async (res: IncomingMessage): Promise<string> => {
	res.setEncoding('utf8');
	let text = '';
	for await (const piece of res as AsyncIterable<string>) {
		text += piece;
	}

	return text;
};

const startStreams = async (world: DrainWorld, count: number, tokens: number) => {
	const streams = Array.from({length: count}, async (_, i) => textOf(await open(world, '/v1/completions', {
		model: modelName, prompt: `shift ${i}`, max_tokens: tokens, stream: true,
	})));
	world.streams = Promise.all(streams);
	await until(() => [...world.relayed.fleet.engines.values()].every(engine => engine.stats().tokens > 0));
};

When('{int} streams of {int} tokens run and the agent of one is stopped', async function (this: DrainWorld, count: number, tokens: number) {
	await startStreams(this, count, tokens);
	await this.relayed.fleet.agents.get('engine-1')!.drain();
});

const keepConnection = async (world: DrainWorld): Promise<Agent> => {
	const kept = new Agent({keepAlive: true, maxSockets: 1});
	world.register(() => {
		kept.destroy();
	});
	await textOf(await open(world, '/v1/models', undefined, kept));
	return kept;
};

Given('a caller with a kept connection', async function (this: DrainWorld) {
	this.kept = await keepConnection(this);
});

Given('{int} callers with a kept connection each', async function (this: DrainWorld, count: number) {
	this.callers = await Promise.all(Array.from({length: count}, async () => keepConnection(this)));
});

When('their entry is stopped, and they send their next requests one after another', async function (this: DrainWorld) {
	this.stopped = this.relayed.fleet.entries.get('entry-1')!.drain();
	this.endings = [];
	for (const kept of this.callers) {
		// Long enough for an entry that does not wait to have closed before the last caller comes.
		await delay(pauseMs);
		const res = await open(this, '/v1/models', undefined, kept);
		await textOf(res);
		this.endings.push([res.statusCode, res.headers.connection]);
	}
});

Then('all of them are answered with {int} and asked to close their connections', function (this: DrainWorld, status: number) {
	assert.deepEqual(this.endings, this.callers.map(() => [status, 'close']));
});

When('{int} streams of {int} tokens run and their entry is stopped', async function (this: DrainWorld, count: number, tokens: number) {
	await startStreams(this, count, tokens);
	this.stopped = this.relayed.fleet.entries.get('entry-1')!.drain();
});

Then('a request on the kept connection is answered with {int} and asked to close it', async function (this: DrainWorld, status: number) {
	const res = await open(this, '/v1/models', undefined, this.kept);
	await textOf(res);
	assert.deepEqual([res.statusCode, res.headers.connection], [status, 'close']);
});

Then('all streams are whole, and the engines were given each once', async function (this: DrainWorld) {
	const texts = await this.streams;
	texts.forEach((text, i) => {
		const tokens = [...text.matchAll(/"text":"(?<token>[^"]+)"/gv)].map(({groups}) => groups!.token).join('');
		assert.equal(tokens, expectedTokens(`shift ${i}`, 100).join(''));
		assert.ok(text.endsWith('data: [DONE]\n\n'));
	});
	assert.equal(this.relayed.generations, texts.length);
});

Then('the entry has stopped', async function (this: DrainWorld) {
	await this.stopped;
	await assert.rejects(open(this, '/v1/models', undefined));
});

When('a non-idempotent call of 400 ms is made, and its agent stops and its connections go silent during it', async function (this: DrainWorld) {
	const answer = call(this, {query: '?delayMs=400'});
	await until(() => this.relayed.runs(marker) > 0);
	void this.relayed.fleet.agents.get(leavingVm)!.drain();
	this.relayed.relays.get(leavingVm)!.silence();
	this.answer = await answer;
});
