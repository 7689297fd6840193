/**
Steps for the connection pool of one replica, on loopback.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import {pauseProcess} from '../io/testing/pause-process.js';
import {serveOnLoopback} from '../io/testing/serve-on-loopback.js';
import {ReplicaConnectionPool, type ReplicaConnection} from './replica-connection-pool.js';

type ConnectionsWorld = TestWorld & {connections: ReplicaConnectionPool};

const answered = async (connection: ReplicaConnection) => new Promise<void>((resolve, reject) => {
	connection.dispatch({method: 'GET', path: '/'}, {
		onRequestStart: () => undefined,
		onResponseEnd() {
			connection.release();
			resolve();
		},
		onResponseError(_controller, err) {
			reject(err);
		},
	});
});

const turn = async () => new Promise(resolve => {
	setImmediate(resolve);
});

Given('a connection to a replica that has answered a request', async function (this: ConnectionsWorld) {
	const address = await serveOnLoopback(this, (_req, res) => {
		res.end('ok');
	});
	this.connections = this.register(new ReplicaConnectionPool(address, new SystemClock()));
	await answered(this.connections.acquire(8)!);
	await turn();
});

When('the process is paused for {int} ms and another request is sent at once', async function (this: ConnectionsWorld, ms: number) {
	pauseProcess(ms);
	await answered(this.connections.acquire(8)!);
});

When('a request that needs a new connection is sent, with {int} allowed', async function (this: ConnectionsWorld, limit: number) {
	await answered(this.connections.acquire(limit, true)!);
});

Then('{int} of them is/are open', function (this: ConnectionsWorld, count: number) {
	assert.equal(this.connections.size, count);
});

Then('{int} connections were made', function (this: ConnectionsWorld, count: number) {
	assert.equal(this.connections.createdCount, count);
});
