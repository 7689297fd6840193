/**
Steps for what an entry takes an agent's answer for, over real connections to an agent that is scripted.
*/
import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {Given, Then, type DataTable} from '@cucumber/cucumber';
import type {AttemptRequest} from '../common/protocol.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from '../io/http-client.js';
import {RpcClient} from '../io/rpc-client.js';
import {serveOnLoopback} from '../io/testing/serve-on-loopback.js';
import {AttemptClient} from './attempt-client.js';

type Answer = (res: ServerResponse) => unknown;
type ClientWorld = TestWorld & {client: AttemptClient; address: string; answer: Answer};

const silenceMs = 100;
const stream = (res: ServerResponse) => res.writeHead(200, {'content-type': 'text/event-stream'});
const eventOf = (event: string, data: string, id?: number) => `event: ${event}\n${id === undefined ? '' : `id: ${id}\n`}data: ${data}\n\n`;
const chunks = eventOf('chunk', '{}', 0) + eventOf('chunk', '{}', 1);
const end = eventOf('end', '{"chunks":2}');

const answers: Readonly<Record<string, Answer>> = {
	'200, chunks and an end': res => stream(res).end(chunks + end),
	'200, chunks and an end, then more': res => stream(res).end(`${chunks}${end}${eventOf('load', '{}')}`),
	'200, a refusal': res => stream(res).end(eventOf('refused', '{"reason":"queueFull"}')),
	'200, chunks and a failure': res => stream(res).end(chunks + eventOf('failed', '{"kind":"backendLost"}')),
	'200, chunks, ended': res => stream(res).end(chunks),
	'200, chunks, ended within an end': res => stream(res).end(chunks + end.slice(0, -1)),
	'200, an end that can not be read': res => stream(res).end(chunks + eventOf('end', '{"chunks":')),
	'200, chunks, reset': res => stream(res).write(chunks, () => {
		setTimeout(() => {
			res.socket?.resetAndDestroy();
		}, silenceMs / 5);
	}),
	'200, a chunk left out': res => stream(res).end(eventOf('chunk', '{}', 0) + eventOf('chunk', '{}', 2) + end),
	'200, an event of another kind': res => stream(res).end(eventOf('other', '{}')),
	'200, another kind of body': res => res.writeHead(200, {'content-type': 'application/json'}).end('{"chunks":2}'),
	'200 without a body': res => stream(res).end(),
	'200 and nothing more'(res) {
		stream(res).flushHeaders();
	},
	...Object.fromEntries([204, 404, 500].map(status => [String(status), (res: ServerResponse) => res.writeHead(status).end()])),
};

const attempt = {id: 'r1', attempt: 1} as unknown as AttemptRequest;

Given('an agent whose answers a scenario writes', async function (this: ClientWorld) {
	const http = this.register(new HttpClient());
	this.client = new AttemptClient(http, new RpcClient(http), silenceMs);
	this.address = await serveOnLoopback(this, (req, res) => {
		req.resume();
		this.answer(res);
	});
});

Then('an entry that begins an attempt takes its answers for this:', async function (this: ClientWorld, table: DataTable) {
	const taken: string[][] = [];
	for (const [answer = ''] of table.rows()) {
		this.answer = answers[answer]!;
		let next = 0;
		const {kind} = await this.client.begin(attempt, {
			address: this.address,
			reader: 'r1',
			signal: new AbortController().signal,
			onChunk(index) {
				const isNext = index === next;
				next += isNext ? 1 : 0;
				return isNext;
			},
		});
		taken.push([answer, kind, String(next)]);
	}

	assert.deepEqual(taken, table.rows());
});
