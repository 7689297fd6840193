/**
Steps for what an agent learns of its engine, over real connections to a server of its own.
*/
import assert from 'node:assert/strict';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {
	deltaEvent, doneEvent, endOfAnswer, openStream,
} from '../entry/testing/scripted-engine.js';
import {HttpClient} from '../io/http-client.js';
import type {BackendRequest, ServesFailure} from './backend.js';
import {EngineBackend} from './engine-backend.js';

type Answer = (res: ServerResponse) => unknown;

type EngineWorld = TestWorld & {
	backend: EngineBackend;
	answer: Answer;
	answers: Array<Either<ServesFailure, readonly string[]>>;
};

const listen = async (world: EngineWorld, server: Server): Promise<Server> => {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	world.register({
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	});
	return server;
};

const startServer = async (world: EngineWorld, model: string): Promise<Server> => {
	const used = new Set<Socket>();
	return listen(world, createServer((req, res) => {
		if (used.has(req.socket)) {
			req.socket.destroy();
			return;
		}

		used.add(req.socket);
		res.end(JSON.stringify({data: [{id: model}]}));
	}));
};

const backendOf = (world: EngineWorld, server: Server): EngineBackend => new EngineBackend(world.register(new HttpClient()), `127.0.0.1:${(server.address() as AddressInfo).port}`);

Given('an engine that serves {string} and breaks the next question on a kept connection', async function (this: EngineWorld, model: string) {
	this.backend = backendOf(this, await startServer(this, model));
});

Given('an engine that has ended', async function (this: EngineWorld) {
	const server = await startServer(this, 'none');
	this.backend = backendOf(this, server);
	await new Promise(resolve => {
		server.close(resolve);
	});
});

When('its agent asks what it serves, {int} times', async function (this: EngineWorld, times: number) {
	this.answers = [];
	while (this.answers.length < times) {
		this.answers.push(await this.backend.serves());
	}
});

Then('all answers name {string}', function (this: EngineWorld, target: string) {
	assert.deepEqual(this.answers.map(answer => answer.extract()), this.answers.map(() => [target]));
});

Then('all answers say {string}', function (this: EngineWorld, kind: string) {
	assert.deepEqual(this.answers.map(answer => (answer.extract() as ServesFailure).kind), this.answers.map(() => kind));
});

const text = deltaEvent({content: 'BRAKE '});

const answers: Readonly<Record<string, Answer>> = {
	'200, a whole stream': res => openStream(res).end(`${text}${endOfAnswer}`),
	'200, a cut stream': res => openStream(res).write(text, () => {
		res.destroy();
	}),
	'200, an end alone': res => openStream(res).end(doneEvent),
	'200, no finish': res => openStream(res).end(`${text}${doneEvent}`),
	'200, one of 2 asked': res => openStream(res).end(`${text}${endOfAnswer}`),
	'200, 2 of 2 asked': res => openStream(res).end(`${text}${deltaEvent({}, 'stop', 1)}${endOfAnswer}`),
	'200, choices a text': res => openStream(res).end(`data: {"choices":"BRAKE"}\n\n${endOfAnswer}`),
	'200, choices of null': res => openStream(res).end(`data: {"choices":[null]}\n\n${endOfAnswer}`),
	'200, another kind': res => res.writeHead(200, {'content-type': 'application/json'}).end('{"choices":[]}'),
	'200 without a body': res => openStream(res).end(),
	...Object.fromEntries([201, 204, 302, 304, 400, 422, 429, 500, 503].map(status => [String(status), (res: ServerResponse) => res.writeHead(status).end()])),
};

const workFor = (answer: string): BackendRequest['work'] => ({
	kind: 'generate', target: 'tyre-scribe', path: '/v1/chat/completions', body: {model: 'tyre-scribe', ...(answer.endsWith('of 2 asked') && {n: 2})},
});

Given('an engine whose answers a scenario writes', async function (this: EngineWorld) {
	this.backend = backendOf(this, await listen(this, createServer((req, res) => {
		req.resume();
		this.answer(res);
	})));
});

Then('its agent takes its answers for this:', async function (this: EngineWorld, table: DataTable) {
	const taken: string[][] = [];
	for (const [answer = ''] of table.rows()) {
		this.answer = answers[answer]!;
		const ended = await this.backend.run({
			key: answer, work: workFor(answer), signal: new AbortController().signal, onChunk: () => undefined,
		});
		taken.push([answer, ended.caseOf<string>({Left: ({kind}) => kind, Right: () => 'whole'})]);
	}

	assert.deepEqual(taken, table.rows());
});
