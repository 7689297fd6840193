/**
Steps for reading event streams.
*/
import assert from 'node:assert/strict';
import type {RequestListener, ServerResponse} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {HttpClient} from './http-client.js';
import {followEvents, type StreamEnd, type StreamPause} from './sse-reader.js';
import {pauseProcess} from './testing/pause-process.js';
import {serveOnLoopback} from './testing/serve-on-loopback.js';

type StreamWorld = TestWorld & {
	address: string;
	/** Times at which events were read, in milliseconds of `performance.now()`. */
	readAt: number[];
	end: StreamEnd;
	endedAt: number;
};

/** Timeout in milliseconds for the head of the response; longer than any takes on loopback. */
const headTimeoutMs = 10_000;

const event = 'data: {}\n\n';

const sleep = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const serve = async (world: StreamWorld, sendRest: (res: ServerResponse) => void) => {
	const listener: RequestListener = (_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'}).write(event);
		void until(() => world.readAt.length > 0, 'the first event is read').then(() => {
			// Timers run directly after immediates, sockets only after the timers.
			setImmediate(sendRest, res);
		});
	};

	world.readAt = [];
	world.address = await serveOnLoopback(world, listener);
};

Given('a stream that sends a second event once the first is read, and then pauses this process for {int} ms', async function (this: StreamWorld, ms: number) {
	await serve(this, res => {
		res.end(event, () => {
			assert.equal(this.readAt.length, 1);
			pauseProcess(ms);
		});
	});
});

Given('a stream that, once its first event is read, sends a second one {int} ms after this process was paused for {int} ms', async function (this: StreamWorld, afterMs: number, ms: number) {
	await serve(this, res => {
		pauseProcess(ms);
		setTimeout(() => {
			res.end(event);
		}, afterMs);
	});
});

Given('a stream that sends one event only', async function (this: StreamWorld) {
	await serve(this, () => undefined);
});

const follow = async (world: StreamWorld, silenceMs: number, pause?: StreamPause) => {
	const client = world.register(new HttpClient());
	const sent = await client.send({
		address: world.address, method: 'GET', path: '/', timeoutMs: headTimeoutMs,
	});
	world.end = await followEvents(sent.unsafeCoerce().body, silenceMs, () => {
		world.readAt.push(performance.now());
	}, pause);
	world.endedAt = performance.now();
};

When('it is read with an idle timeout of {int} ms', async function (this: StreamWorld, ms: number) {
	await follow(this, ms);
});

When('it is read with an idle timeout of {int} ms, and paused for {int} ms after its first event', async function (this: StreamWorld, ms: number, pauseMs: number) {
	await follow(this, ms, async () => {
		await sleep(pauseMs);
	});
});

Then('{int} events were read, and the stream ended as {string}', function (this: StreamWorld, count: number, end: StreamEnd) {
	assert.deepEqual({count: this.readAt.length, end: this.end}, {count, end});
});

Then('{int} events were read, and the stream ended as {string} no sooner than {int} ms after its first event', function (this: StreamWorld, count: number, end: StreamEnd, ms: number) {
	assert.deepEqual({count: this.readAt.length, end: this.end}, {count, end});
	assert.ok(this.endedAt - this.readAt[0]! >= ms, `${Math.round(this.endedAt - this.readAt[0]!)} ms`);
});
