/**
Steps for the TCP connection check.
*/
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {dial} from './dial.js';
import {pauseProcess} from './testing/pause-process.js';

type DialWorld = TestWorld & {
	server: Server;
	address: string;
};

/** Connect timeout in milliseconds; longer than any connection on loopback takes. */
const timeoutMs = 10_000;

Given('a listener', async function (this: DialWorld) {
	this.server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.resume();
	});
	this.register({
		dispose: () => {
			this.server.close();
		},
	});
	await new Promise<void>(resolve => {
		this.server.listen(0, '127.0.0.1', resolve);
	});
	this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
});

When('the listener is closed', async function (this: DialWorld) {
	await new Promise(resolve => {
		this.server.close(resolve);
	});
});

Then('a connection to it can be established', async function (this: DialWorld) {
	assert.equal(await dial(this.address, timeoutMs), true);
});

Then('no connection to it can be established', async function (this: DialWorld) {
	assert.equal(await dial(this.address, timeoutMs), false);
});

Then('a connection to it can be established within {int} ms though this process is paused for {int} ms', async function (this: DialWorld, limitMs: number, pauseMs: number) {
	const dialled = dial(this.address, limitMs);
	pauseProcess(pauseMs);
	assert.equal(await dialled, true);
});

Then('no connection to {string} can be established', async (address: string) => {
	assert.equal(await dial(address, timeoutMs), false);
});
