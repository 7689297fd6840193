/**
Steps for addresses that are not available yet.
*/
import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer as createHttpServer, get, type Server as HttpServerOfNode} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {bindAddress, type AddressAwaited} from './bind-address.js';
import {DatagramChannel} from './datagram-channel.js';
import {HttpServer} from './http-server.js';
import {listen} from './listen.js';
import type {StartError} from './program.js';

type ListenWorld = TestWorld & {
	address: string;
	heldAt: number;
	listeningAt: number;
	awaited: string[];
	outcome: Either<StartError, unknown>;
	server: HttpServerOfNode;
};

const loopback = '127.0.0.1';

/** Holds a port, and returns it with what releases it. */
type PortHolder = () => Promise<{readonly port: number; readonly release: () => void}>;

const holdByServer: PortHolder = async () => {
	const server = createServer(accepted => {
		accepted.on('error', () => undefined);
	}).listen(0, loopback);
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		release() {
			server.close();
		},
	};
};

const holders: Readonly<Record<string, PortHolder>> = {
	'a TCP server': holdByServer,
	async 'a UDP socket'() {
		const socket = createSocket('udp4').bind(0, loopback);
		await once(socket, 'listening');
		return {
			port: socket.address().port,
			release() {
				socket.close();
			},
		};
	},
	// The local port of an outgoing connection that its system has drawn.
	async 'a connection'() {
		const {port, release} = await holdByServer();
		const socket: Socket = connect(port, loopback);
		await once(socket, 'connect');
		return {
			port: socket.localPort!,
			release() {
				socket.resetAndDestroy();
				release();
			},
		};
	},
};

const listeners: Readonly<Record<string, (world: ListenWorld, onAwaited: AddressAwaited) => Promise<Either<StartError, unknown>>>> = {
	async 'HTTP server'(world, onAwaited) {
		const server = new HttpServer([], {
			notFound: () => undefined, wrongMethod: () => undefined, broken: () => undefined,
		});
		world.register(server);
		return server.listen(world.address, onAwaited);
	},
	async 'datagram channel'(world, onAwaited) {
		const channel = new DatagramChannel({});
		world.register(channel);
		return channel.listen(world.address, onAwaited);
	},
};

Given('a port that is in use for {int} ms by {string}', async function (this: ListenWorld, ms: number, holder: string) {
	const {port, release} = await holders[holder]!();
	this.address = `${loopback}:${port}`;
	this.heldAt = performance.now();
	setTimeout(release, ms);
});

Given('an HTTP server that listens', async function (this: ListenWorld) {
	this.server = createHttpServer((_req, res) => {
		res.end('here');
	});
	this.register({
		dispose: () => {
			this.server.close();
		},
	});
	const listening = await listen(this.server, `${loopback}:0`);
	this.address = listening.unsafeCoerce();
});

When('the {string} starts to listen on it', async function (this: ListenWorld, server: string) {
	this.awaited = [];
	this.outcome = await listeners[server]!(this, (_address, reason) => {
		this.awaited.push(reason);
	});
	this.listeningAt = performance.now();
});

When('an address is bound that fails with {string}', async function (this: ListenWorld, code: string) {
	this.outcome = await bindAddress(`${loopback}:1`, async () => {
		throw Object.assign(new Error(code), {code});
	});
});

When('two connections to it cannot be accepted', function (this: ListenWorld) {
	Array.from({length: 2}, () => Object.assign(new Error('accept ENFILE'), {code: 'ENFILE', syscall: 'accept'})).forEach(err => {
		this.server.emit('error', err);
	});
});

Then('it listens after at least {int} ms', function (this: ListenWorld, ms: number) {
	assert.ok(this.outcome.isRight());
	assert.ok(this.listeningAt - this.heldAt >= ms);
});

Then('it was told once that it waits, because of {string}', function (this: ListenWorld, reason: string) {
	assert.deepEqual(this.awaited, [reason]);
});

Then('the start fails at once with exit code {int}', function (this: ListenWorld, code: number) {
	assert.equal((this.outcome.extract() as StartError).exitCode, code);
});

Then('it still answers', async function (this: ListenWorld) {
	const [res] = await once(get(`http://${this.address}/`), 'response') as [{statusCode?: number; resume: () => void}];
	res.resume();
	assert.equal(res.statusCode, 200);
});
