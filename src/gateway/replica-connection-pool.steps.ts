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

type PoolWorld = TestWorld & {pool: ReplicaConnectionPool};

const untilAnswered = async (connection: ReplicaConnection) => new Promise<void>((resolve, reject) => {
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

const nextTick = async () => new Promise(resolve => {
	setImmediate(resolve);
});

Given('a connection to a replica that has answered a request', async function (this: PoolWorld) {
	const address = await serveOnLoopback(this, (_req, res) => {
		res.end('ok');
	});
	this.pool = this.register(new ReplicaConnectionPool(address, new SystemClock()));
	await untilAnswered(this.pool.acquire(8)!);
	await nextTick();
});

When('the process is paused for {int} ms and another request is sent at once', async function (this: PoolWorld, ms: number) {
	pauseProcess(ms);
	await untilAnswered(this.pool.acquire(8)!);
});

When('a request that needs a new connection is sent, with {int} allowed', async function (this: PoolWorld, limit: number) {
	await untilAnswered(this.pool.acquire(limit, true)!);
});

Then('{int} of them is/are open', function (this: PoolWorld, count: number) {
	assert.equal(this.pool.size, count);
});

Then('{int} connections were made', function (this: PoolWorld, count: number) {
	assert.equal(this.pool.createdCount, count);
});
