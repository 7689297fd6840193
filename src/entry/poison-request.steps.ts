/**
Steps in which a request takes down every engine that gets it.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {apiKey, modelName, RelayedFleet} from './testing/relayed-fleet.js';
import {
	deltaEvent, endOfAnswer, openStream, ScriptedEngine, type EngineScript,
} from './testing/scripted-engine.js';
import type {RelayedWorld} from './whole-answer.steps.js';

export type EngineWorld = RelayedWorld & {engines: ScriptedEngine[]; res: Response; text: string};

/** Starts a fleet whose engines all follow a script. */
export const startScripted = async (world: EngineWorld, replicas: number, script: EngineScript): Promise<void> => {
	world.relayed = world.register(await RelayedFleet.start(replicas));
	const vms = [...world.relayed.fleet.engines.keys()];
	world.engines = await Promise.all(vms.map(async vm => world.register(await ScriptedEngine.replace(world.relayed, vm, script))));
	// An entry may have asked an agent while its engine was being replaced.
	await world.relayed.fleet.awaitModels(apiKey);
};

/** Sends a generation and reads its answer to the end. */
export const generate = async (world: EngineWorld, body: object, headers: Record<string, string> = {}): Promise<void> => {
	world.res = await fetch(`http://${world.relayed.fleet.entryAddress()}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${apiKey}`, ...headers}, body: JSON.stringify({model: modelName, messages: [{role: 'user', content: 'hello'}], ...body}),
	});
	world.text = await world.res.text();
};

/** Generations that the engines were given. */
export const runsOf = (world: EngineWorld) => world.engines.reduce((sum, engine) => sum + engine.runs, 0);

const crashes: Readonly<Record<string, EngineScript>> = {
	'before they answer'(res) {
		res.destroy();
	},
	'after their first token'(res) {
		openStream(res).write(deltaEvent({content: 'BRAKE '}), () => {
			res.destroy();
		});
	},
};

const middles: Readonly<Record<string, string>> = {
	'a chunk over two lines': 'data: {"choices":\ndata: [{"index":0,"delta":{"content":"BRAKE "}}]}\n\n',
	'an event without JSON': 'data: oops\n\n',
	'an error': 'data: { "error": {"message": "generation failed"}}\n\n',
};

Given('a relayed fleet whose engines send {} in the middle', async function (this: EngineWorld, event: string) {
	await startScripted(this, 1, res => {
		openStream(res).end(`${deltaEvent({content: 'do '})}${middles[event]}${deltaEvent({content: 'now'})}${endOfAnswer}`);
	});
});

Given('a relayed fleet whose {int} engines are full for {int} s', async function (this: EngineWorld, replicas: number, seconds: number) {
	await startScripted(this, replicas, res => {
		res.writeHead(429, {'retry-after': String(seconds)}).end('{"error":{"message":"no room"}}');
	});
});

const reasoning = deltaEvent({role: 'assistant', content: ''}) + deltaEvent({reasoning_content: 'R1 '}) + deltaEvent({reasoning_content: 'R2 '});

const reason: EngineScript = res => {
	openStream(res).end(`${reasoning}${deltaEvent({content: 'A1 '})}${deltaEvent({content: 'A2'})}${endOfAnswer}`);
};

Given('a relayed fleet whose {int} engines reason before they answer', async function (this: EngineWorld, replicas: number) {
	await startScripted(this, replicas, reason);
});

Given('a relayed fleet whose {int} engines reason before they answer, the first run lost in its reasoning', async function (this: EngineWorld, replicas: number) {
	await startScripted(this, replicas, (res, run) => {
		if (runsOf(this) > 1) {
			reason(res, run);
			return;
		}

		openStream(res).write(reasoning, () => {
			res.destroy();
		});
	});
});

Given('a relayed fleet whose {int} engines crash {}', async function (this: EngineWorld, replicas: number, when: string) {
	await startScripted(this, replicas, crashes[when]!);
});

When('the engines get a request with stream {word} and a deadline of {int} s', async function (this: EngineWorld, stream: string, seconds: number) {
	await generate(this, {stream: stream === 'true'}, {'x-citronyard-deadline-ms': String(seconds * 1000)});
});

Then('its engines ran it at most {int} times, and the caller is told that it was run', function (this: EngineWorld, times: number) {
	assert.ok(runsOf(this) <= times, `${runsOf(this)} runs`);
	assert.match(this.text, /backend_failed/v);
	if (this.res.status !== 200) {
		assert.deepEqual([this.res.status, this.res.headers.get('x-citronyard-run'), this.res.headers.get('retry-after')], [502, 'run', '1']);
	}
});

When('the engines get a request with the header "X-Citronyard-Idempotent: {word}"', async function (this: EngineWorld, value: string) {
	await generate(this, {}, {'x-citronyard-idempotent': value});
});

Then('the caller is answered with {int} as {string}, and the engines ran it {int} times', function (this: EngineWorld, status: number, run: string, times: number) {
	assert.deepEqual([this.res.status, this.res.headers.get('x-citronyard-run'), runsOf(this)], [status, run, times], this.text);
});

/** The texts of an answer's parts, of one kind of field, put together. */
export const saidBy = (text: string, field: string) => [...text.matchAll(new RegExp(`"${field}":"(?<said>[^"]*)"`, 'gv'))].map(match => match.groups!.said).join('');

Then('the caller is told {string}', function (this: EngineWorld, told: string) {
	const isWhole = this.text.includes('[DONE]') || this.text.includes('"chat.completion"');
	assert.equal(isWhole ? saidBy(this.text, 'content') : saidBy(this.text, 'code'), told, this.text);
});

Then('the caller reads the reasoning {string} and the text {string}', function (this: EngineWorld, reasoned: string, said: string) {
	assert.deepEqual([saidBy(this.text, 'reasoning_content'), saidBy(this.text, 'content')], [reasoned, said], this.text);
});

Then('the caller is answered with {int} as {string}, to come back after {int} s', function (this: EngineWorld, status: number, run: string, seconds: number) {
	const {headers} = this.res;
	assert.deepEqual([this.res.status, headers.get('x-citronyard-run'), headers.get('retry-after')], [status, run, String(seconds)], this.text);
});

Then('the engines were asked at most {int} times', function (this: EngineWorld, times: number) {
	assert.ok(runsOf(this) <= times, `${runsOf(this)} times`);
});
