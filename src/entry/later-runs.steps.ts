/**
Steps in which the engine that is asked to go on with an answer sends something else than its rest.
*/
import assert from 'node:assert/strict';
import {Given, Then, type DataTable} from '@cucumber/cucumber';
import {
	generate, saidBy, startScripted, type EngineWorld,
} from './poison-request.steps.js';
import {
	deltaEvent, doneEvent, endOfAnswer, openStream, type EngineScript,
} from './testing/scripted-engine.js';

type LaterWorld = EngineWorld & {later: EngineScript; hasBegun: boolean};

const role = deltaEvent({role: 'assistant', content: ''});
const half = deltaEvent({content: 'now'}).slice(0, -20);
const hanging = 'a head and nothing more';
/** Only the deadline ends the wait for a run that brings nothing. */
const deadlineMs = (answer: string) => answer === hanging ? '250' : '10000';

const withStatus = (status: number): EngineScript => res => {
	res.writeHead(status, {'content-type': 'application/json'}).end(status < 400 ? undefined : '{"error":{"message":"not this one"}}');
};

const laters: Readonly<Record<string, EngineScript>> = {
	'the rest'(res) {
		openStream(res).end(`${role}${deltaEvent({content: 'now'})}${endOfAnswer}`);
	},
	...Object.fromEntries([400, 422, 500, 204, 304].map(status => [String(status), withStatus(status)])),
	'200 with an object'(res) {
		res.writeHead(200, {'content-type': 'application/json'}).end('{"choices":[{"index":0,"message":{"content":"now"},"finish_reason":"stop"}]}');
	},
	'200 without a body'(res) {
		openStream(res).end();
	},
	'200 and an end marker alone'(res) {
		openStream(res).end(doneEvent);
	},
	'200, a role and an end marker'(res) {
		openStream(res).end(`${role}${doneEvent}`);
	},
	'200, ended within its first event'(res) {
		openStream(res).end(half);
	},
	'200, its length told, ended there'(res) {
		res.writeHead(200, {'content-type': 'text/event-stream', 'content-length': half.length}).end(half);
	},
	[hanging](res) {
		openStream(res).flushHeaders();
	},
};

/** What ends an answer that was told with status 200: the end marker, or the code of an error. */
const endOf = (text: string) => text.includes('[DONE]') ? '[DONE]' : saidBy(text, 'code');

Given('a relayed fleet whose {int} engines send "do BRAKE " and are lost, and answer otherwise when asked to go on', async function (this: LaterWorld, replicas: number) {
	await startScripted(this, replicas, (res, run) => {
		if (this.hasBegun) {
			this.later(res, run);
			return;
		}

		this.hasBegun = true;
		openStream(res).write(`${role}${deltaEvent({content: 'do '})}${deltaEvent({content: 'BRAKE '})}`, () => {
			res.destroy();
		});
	});
});

Then('this is what the callers are told, and the text they have:', async function (this: LaterWorld, table: DataTable) {
	const told: string[][] = [];
	for (const [answer = ''] of table.rows()) {
		this.later = laters[answer]!;
		const headers = {'x-citronyard-deadline-ms': deadlineMs(answer)};
		this.hasBegun = false;
		await generate(this, {stream: true}, headers);
		assert.equal(this.text.match(/"role"/gv)?.length, 1, this.text);
		const stream = [endOf(this.text), saidBy(this.text, 'content').trim()];
		this.hasBegun = false;
		await generate(this, {}, headers);
		told.push([answer, ...stream, String(this.res.status)]);
	}

	assert.deepEqual(told, table.rows());
});
