/**
Steps for what the clients of a server may hold.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {clientLimitsOf, type ClientLimits} from './client-limits.js';
import {ClientLoad} from './client-load.js';
import {NoMetrics} from './no-metrics.js';
import {readBody} from './read-body.js';
import {boundedServerOptions, ServerConnections} from './server-connections.js';

type Client = {
	readonly socket: Socket;
	received: string;
	isClosed: boolean;
};

type ServerPlan = {
	/** Answers a request that has been received. */
	readonly answer: (res: ServerResponse) => Promise<void> | void;
	readonly limits?: Partial<ClientLimits>;
	readonly maxBodyBytes?: number;
};

type ConnectionsWorld = TestWorld & {
	server: Server;
	load: ClientLoad;
	connections: ServerConnections;
	handled: string[];
	parsed: number;
	atOnce: number;
	mostAtOnce: number;
	bodies: Array<Buffer | 'tooLarge' | 'cut'>;
	peakBytes: number;
	clients: Client[];
};

const defaultLimits = clientLimitsOf({memoryMb: 256, maxDescriptors: 4096});

/** A request for a path. */
const get = (path: string, lines = '') => `GET ${path} HTTP/1.1\r\nHost: a\r\n${lines}\r\n`;

const ahead = (count: number) => Array.from({length: count}, (_, i) => get(`/${i}`)).join('');

const startServer = async (world: ConnectionsWorld, {answer, limits = {}, maxBodyBytes = 1_000_000}: ServerPlan) => {
	world.handled = [];
	world.bodies = [];
	world.clients = [];
	world.atOnce = 0;
	world.mostAtOnce = 0;
	world.peakBytes = 0;
	world.load = world.register(new ClientLoad({limits: {...defaultLimits, ...limits}, log: {emit: () => undefined}, metrics: new NoMetrics()}));
	world.parsed = 0;
	world.server = createServer(boundedServerOptions);
	world.server.on('request', () => {
		world.parsed += 1;
	});
	const handle = async (req: IncomingMessage, res: ServerResponse) => {
		world.handled.push(req.url!);
		world.atOnce += 1;
		world.mostAtOnce = Math.max(world.mostAtOnce, world.atOnce);
		res.once('finish', () => {
			world.atOnce -= 1;
		});
		req.on('data', () => {
			world.peakBytes = Math.max(world.peakBytes, world.load.heldBytes);
		});
		const body = await readBody(req, maxBodyBytes);
		world.bodies.push(body.caseOf<Buffer | 'tooLarge' | 'cut'>({Left: ({kind}) => kind, Right: bytes => bytes}));
		await answer(res);
	};

	world.connections = world.register(new ServerConnections(world.server, (req, res) => {
		void handle(req, res);
	}, {load: world.load, maxBodyBytes: () => maxBodyBytes}));
	world.server.listen(0, '127.0.0.1');
	await once(world.server, 'listening');
};

const connectClient = async (world: ConnectionsWorld, isRead = true): Promise<Client> => {
	const socket = connect({port: (world.server.address() as AddressInfo).port, host: '127.0.0.1', noDelay: true});
	const client: Client = {socket, received: '', isClosed: false};
	socket.on('error', () => undefined);
	socket.once('close', () => {
		client.isClosed = true;
	});
	world.clients.push(client);
	world.register(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	if (isRead) {
		socket.on('data', (bytes: Buffer) => {
			client.received += bytes.toString('latin1');
		});
	}

	return client;
};

const send = async (world: ConnectionsWorld, text: string): Promise<Client> => {
	const client = await connectClient(world);
	client.socket.write(text);
	return client;
};

const last = ({clients}: ConnectionsWorld): Client => clients.at(-1)!;

const afterMs = (ms: number) => async (res: ServerResponse) => {
	await pause(ms);
	res.end(res.req.url);
};

const never = () => undefined;

const linesOf = (text: string) => `${text.split(' ~ ').join('\r\n')}\r\n\r\n`;

Given('a server that takes {int} ms for each request', async function (this: ConnectionsWorld, ms: number) {
	await startServer(this, {answer: afterMs(ms)});
});

Given('a server that takes {int} ms for each request, with bodies of {int} bytes at most', async function (this: ConnectionsWorld, ms: number, maxBodyBytes: number) {
	await startServer(this, {answer: afterMs(ms), maxBodyBytes});
});

Given('a server that takes {int} ms for each request, with {int} connections at most', async function (this: ConnectionsWorld, ms: number, count: number) {
	await startServer(this, {answer: afterMs(ms), limits: {connections: {...defaultLimits.connections, callers: count}}});
});

Given('a server that does not answer', async function (this: ConnectionsWorld) {
	await startServer(this, {answer: never});
});

Given('a server that does not answer, whose process may hold {int} bytes', async function (this: ConnectionsWorld, heldBytes: number) {
	await startServer(this, {answer: never, limits: {heldBytes}});
});

Given('a server whose answers have {int} bytes', async function (this: ConnectionsWorld, bytes: number) {
	await startServer(this, {
		answer(res) {
			res.end(Buffer.alloc(bytes));
		},
	});
});

Given('clients hold {int} bytes of it', function (this: ConnectionsWorld, bytes: number) {
	this.load.note(bytes);
});

Given('a connection with a request in progress, one that is idle, and one that has sent nothing', async function (this: ConnectionsWorld) {
	const idle = await send(this, get('/idle'));
	await until(() => idle.received.endsWith('/idle'), 'the first request is answered');
	await send(this, get('/busy'));
	await connectClient(this);
	await until(() => this.handled.length === 2 && this.connections.size === 3, 'all are connected');
});

When('a client sends {int} requests ahead on one connection', async function (this: ConnectionsWorld, count: number) {
	await send(this, ahead(count));
});

When('a client sends {int} requests ahead on one connection, and closes it', async function (this: ConnectionsWorld, count: number) {
	const {socket} = await send(this, ahead(count));
	await until(() => this.handled.length === 1, 'the first request is handled');
	socket.destroy();
	await until(() => this.connections.size === 0, 'the connection is closed');
});

When('a client sends 2 requests ahead, the first with "Connection: close"', async function (this: ConnectionsWorld) {
	await send(this, `${get('/0', 'Connection: close\r\n')}${get('/1')}`);
});

When('a client sends {string}', async function (this: ConnectionsWorld, lines: string) {
	await send(this, linesOf(lines));
});

When('a client sends {string} and awaits {string} before the body {string}', async function (this: ConnectionsWorld, lines: string, awaited: string, body: string) {
	const client = await send(this, linesOf(lines));
	await until(() => client.received.includes(awaited), `the client has received ${awaited}`);
	client.received = '';
	client.socket.write(body);
});

When('a client sends a body of {int} bytes in chunks of one byte', async function (this: ConnectionsWorld, bytes: number) {
	await send(this, `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`);
});

When('a client announces a body of {int} bytes', async function (this: ConnectionsWorld, bytes: number) {
	await send(this, `POST /announced HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`);
	await until(() => this.handled.includes('/announced') || last(this).received !== '', 'the request was handled or refused');
});

When('a/another client sends {int} bytes of a body without a length', async function (this: ConnectionsWorld, bytes: number) {
	const handled = this.handled.length;
	await send(this, `POST /part HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
	await until(() => this.handled.length > handled, 'the request is handled');
});

When('a client sends a request and reads nothing', async function (this: ConnectionsWorld) {
	const client = await connectClient(this, false);
	client.socket.write(get('/'));
	await until(() => this.handled.length === 1, 'the request is handled');
});

When('{int} seconds pass at the server', async function (this: ConnectionsWorld, seconds: number) {
	// What the client's side has taken by then is progress.
	await pause(200);
	const now = performance.now();
	this.connections.endStalled(now);
	this.connections.endStalled(now + (1000 * seconds));
});

When('a client connects', async function (this: ConnectionsWorld) {
	await send(this, get('/new'));
});

Then('it receives {int} answers in the order of its requests', async function (this: ConnectionsWorld, count: number) {
	const client = last(this);
	const answered = () => [...client.received.matchAll(/\r\n\r\n(?<path>\/\d+)/gv)].map(({groups}) => groups!.path);
	await until(() => answered().length === count, 'all answers are received');
	assert.deepEqual(answered(), Array.from({length: count}, (_, i) => `/${i}`));
});

Then('each was handled once, and never two at a time', function (this: ConnectionsWorld) {
	assert.equal(new Set(this.handled).size, this.handled.length);
	assert.equal(this.mostAtOnce, 1);
});

Then('the server closes its connection', async function (this: ConnectionsWorld) {
	const {socket} = last(this);
	// A client that reads nothing learns of the end only when it reads.
	socket.resume();
	await until(() => last(this).isClosed, 'the connection is closed');
});

Then('{int} request(s) was/were handled', async function (this: ConnectionsWorld, count: number) {
	// What waits behind a handled request would be handled within this time.
	await pause(200);
	assert.equal(this.handled.length, count);
});

Then('it receives status {int}', async function (this: ConnectionsWorld, status: number) {
	const client = last(this);
	await until(() => client.received.includes('\r\n\r\n'), 'the answer is received');
	assert.match(client.received, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
});

Then('the server has received the body {string}', function (this: ConnectionsWorld, text: string) {
	assert.deepEqual(this.bodies.map(body => body.toString()), [text]);
});

Then('the server has received it whole, and held at most {int} bytes for it', function (this: ConnectionsWorld, bytes: number) {
	assert.equal((this.bodies[0] as Buffer).toString(), 'x'.repeat(100_000));
	assert.ok(this.peakBytes <= bytes, `${this.peakBytes} bytes`);
});

Then('the server has rejected the body as too large, and held at most {int} bytes for it', async function (this: ConnectionsWorld, bytes: number) {
	await until(() => this.bodies.length > 0, 'the body is received');
	assert.deepEqual(this.bodies, ['tooLarge']);
	const {heldBytes} = this.load;
	assert.ok(this.peakBytes - requestOverhead <= bytes, `${this.peakBytes} bytes, ${heldBytes} at the end`);
});

/** What the load counts for a request without a body, in bytes. */
const requestOverhead = 17_000;

Then('it is refused with 503 and a time to retry', async function (this: ConnectionsWorld) {
	const client = last(this);
	await until(() => client.received.includes('\r\n\r\n'), 'the answer is received');
	assert.match(client.received, /^HTTP\/1\.1 503 /v);
	assert.match(client.received, /^retry-after: 1\r$/imv);
});

Then('nothing is held any more', async function (this: ConnectionsWorld) {
	await until(() => this.connections.size === 0, 'the connection is gone');
	assert.equal(this.load.heldBytes, 0);
	assert.deepEqual(this.connections.openResponses, []);
});

Then('at most {int} requests were parsed', function (this: ConnectionsWorld, count: number) {
	assert.ok(this.parsed <= count, `${this.parsed} requests`);
});

Then('its request is handled', function (this: ConnectionsWorld) {
	assert.ok(this.handled.includes('/announced'));
	assert.equal(last(this).received, '');
});

Then('the first client\'s connection is closed, with 1 request handled', async function (this: ConnectionsWorld) {
	await until(() => this.clients[0]!.isClosed, 'the connection is closed');
	assert.deepEqual(this.handled, ['/0', '/announced']);
});

Then('the first one\'s body is still received', function (this: ConnectionsWorld) {
	const [first] = this.clients;
	assert.equal(first!.received, '');
	assert.equal(first!.isClosed, false);
});

Then('the connection that has sent nothing is closed', async function (this: ConnectionsWorld) {
	await until(() => this.clients[2]!.isClosed, 'the connection is closed');
	assert.deepEqual(this.clients.map(({isClosed}) => isClosed), [false, false, true, false]);
});

Then('when another client connects, the idle one is closed', async function (this: ConnectionsWorld) {
	await send(this, get('/newest'));
	await until(() => this.clients[0]!.isClosed, 'the idle connection is closed');
});

Then('both clients\' requests and the one in progress are answered', async function (this: ConnectionsWorld) {
	const answered = [this.clients[1]!, this.clients[3]!, this.clients[4]!];
	await until(() => answered.every(({received}) => received.startsWith('HTTP/1.1 200 ')), 'all are answered');
});
