/**
Steps for connections that wait to be accepted. The callers are in a process of their own, so that they are not delayed by the server.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {AcceptQueue} from './accept-queue.js';
import {listen} from './listen.js';
import {ServerConnections} from './server-connections.js';
import type {ConnectingCallers, EndedCaller} from './testing/connecting-callers.js';
import {forkModule} from './testing/fork-module.js';
import {pauseProcess} from './testing/pause-process.js';

type QueueWorld = TestWorld & {
	server: Server;
	connections: ServerConnections;
	queue: AcceptQueue;
	address: string;
	callers: Promise<readonly EndedCaller[]>;
};

/** Time for all callers of a rush to send their requests, in milliseconds. */
const rushMs = 300;

const callersModule = new URL('testing/connecting-callers.ts', import.meta.url);

const send = async (world: QueueWorld, plan: Omit<ConnectingCallers, 'port'>): Promise<readonly EndedCaller[]> => {
	const child = forkModule(callersModule);
	world.register({
		dispose() {
			child.kill();
		},
	});
	await once(child, 'message');
	child.send({...plan, port: (world.server.address() as AddressInfo).port});
	const [ended] = await once(child, 'message') as [readonly EndedCaller[]];
	return ended;
};

Given('an HTTP server that takes {int} ms of its event loop for each request', async function (this: QueueWorld, ms: number) {
	this.server = createServer();
	this.connections = new ServerConnections(this.server, (_req, res) => {
		pauseProcess(ms);
		res.end('here');
	});
	this.queue = new AcceptQueue(this.server, () => undefined);
	this.register(this.connections);
	this.register(this.queue);
	await listen(this.server, '127.0.0.1:0');
});

Given('its next attempt to listen fails with {string}', function (this: QueueWorld, code: string) {
	const {server} = this;
	server.listen = () => {
		Reflect.deleteProperty(server, 'listen');
		setImmediate(() => {
			server.emit('error', Object.assign(new Error(code), {code}));
		});
		return server;
	};
});

When('{int} callers connect at once and send a request', async function (this: QueueWorld, number: number) {
	// All requests have arrived before the second connection is accepted.
	this.server.once('connection', () => {
		pauseProcess(rushMs);
	});
	this.callers = send(this, {number, gapMs: 0});
	await once(this.server, 'connection');
});

When('{int} callers connect one after the other for {int} seconds and send a request', function (this: QueueWorld, number: number, seconds: number) {
	this.callers = send(this, {number, gapMs: seconds * 1000 / number});
});

When('the server is closed {int} ms later', async function (this: QueueWorld, ms: number) {
	await pause(ms);
	this.queue.dispose();
	await this.connections.close();
});

Then('each is answered or reset within {int} ms', async function (this: QueueWorld, limitMs: number) {
	const ended = await this.callers;
	const late = ended.filter(({elapsedMs}) => elapsedMs > limitMs);
	assert.deepEqual(late, []);
});

Then('at least {int} are answered', async function (this: QueueWorld, number: number) {
	const ended = await this.callers;
	const answered = ended.filter(({isAnswered}) => isAnswered);
	assert.ok(answered.length >= number, `${answered.length} of ${ended.length} were answered`);
});

Then('a caller that comes then is answered within {int} ms', async function (this: QueueWorld, limitMs: number) {
	const [{isAnswered, elapsedMs}] = await send(this, {number: 1, gapMs: 0}) as [EndedCaller];
	assert.ok(isAnswered && elapsedMs <= limitMs, `${isAnswered ? 'answered' : 'not answered'} after ${Math.round(elapsedMs)} ms`);
});

Then('it does not listen any more', async function (this: QueueWorld) {
	await this.callers;
	assert.equal(this.server.listening, false);
});
