/**
Steps for following event streams.
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
	/** When events were read, in milliseconds of `performance.now()`. */
	readAt: number[];
	end: StreamEnd;
	endedAt: number;
};

/** Longer than any head takes on loopback, in milliseconds. */
const longMs = 10_000;

const event = 'data: {}\n\n';

const sleep = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const serve = async (world: StreamWorld, goOn: (res: ServerResponse) => void) => {
	const listener: RequestListener = (_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'}).write(event);
		void until(() => world.readAt.length > 0, 'the first event is read').then(() => {
			// After immediates come the timers, and only then the sockets.
			setImmediate(goOn, res);
		});
	};

	world.readAt = [];
	world.address = await serveOnLoopback(world, listener);
};

Given('a stream that sends an event, and once it is read a second one, after which this process is paused for {int} ms', async function (this: StreamWorld, ms: number) {
	await serve(this, res => {
		res.end(event, () => {
			assert.equal(this.readAt.length, 1);
			pauseProcess(ms);
		});
	});
});

Given('a stream that sends an event, and once it is read a second one {int} ms after this process was paused for {int} ms', async function (this: StreamWorld, afterMs: number, ms: number) {
	await serve(this, res => {
		pauseProcess(ms);
		setTimeout(() => {
			res.end(event);
		}, afterMs);
	});
});

Given('a stream that sends an event, and nothing more', async function (this: StreamWorld) {
	await serve(this, () => undefined);
});

const follow = async (world: StreamWorld, silenceMs: number, pause?: StreamPause) => {
	const client = world.register(new HttpClient());
	const sent = await client.send({
		address: world.address, method: 'GET', path: '/', timeoutMs: longMs,
	});
	world.end = await followEvents(sent.unsafeCoerce().body, silenceMs, () => {
		world.readAt.push(performance.now());
	}, pause);
	world.endedAt = performance.now();
};

When('it is followed, and may be silent for {int} ms', async function (this: StreamWorld, ms: number) {
	await follow(this, ms);
});

When('it is followed, may be silent for {int} ms, and is not read for {int} ms after its first event', async function (this: StreamWorld, ms: number, stillMs: number) {
	await follow(this, ms, async () => {
		await sleep(stillMs);
	});
});

Then('{int} events were read, and the stream {string}', function (this: StreamWorld, count: number, end: StreamEnd) {
	assert.deepEqual({count: this.readAt.length, end: this.end}, {count, end});
});

Then('{int} events were read, and the stream {string} no sooner than {int} ms after its first event', function (this: StreamWorld, count: number, end: StreamEnd, ms: number) {
	assert.deepEqual({count: this.readAt.length, end: this.end}, {count, end});
	assert.ok(this.endedAt - this.readAt[0]! >= ms, `${Math.round(this.endedAt - this.readAt[0]!)} ms`);
});
