import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {
	HttpClient, isBeforeSending, type HttpFailure, type HttpRequest,
} from './http-client.js';
import {pauseProcess} from './testing/pause-process.js';
import {serveOnLoopback} from './testing/serve-on-loopback.js';

type FailureWorld = TestWorld & {notSent: boolean};

type AnswerWorld = TestWorld & {address: string; isSettled: boolean; hasHead: boolean; text: string | undefined; failure: HttpFailure | undefined; bodyError: unknown};

When('a request fails with code {string} in the system call {string}', function (this: FailureWorld, code: string, syscall: string) {
	const err = Object.assign(new Error(code), {code, ...(syscall !== '' && {syscall})});
	this.notSent = isBeforeSending(err);
});

Then('it counts as not sent', function (this: FailureWorld) {
	assert.equal(this.notSent, true);
});

Then('it counts as possibly sent', function (this: FailureWorld) {
	assert.equal(this.notSent, false);
});

/** Pauses this process as soon as the operating system has the whole answer. */
const endAndPause = (world: AnswerWorld, res: ServerResponse, text: string, ms: number) => {
	res.end(text, () => {
		assert.equal(world.isSettled, false);
		pauseProcess(ms);
	});
};

Given('a server after whose answer this process is paused for {int} ms', async function (this: AnswerWorld, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		endAndPause(this, res, 'ok', ms);
	});
});

Given('a server after the second half of whose answer this process is paused for {int} ms', async function (this: AnswerWorld, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
		void until(() => this.hasHead, 'the head was read').then(() => {
			// Timers come next after immediates, sockets only after the timers.
			setImmediate(endAndPause, this, res, 'k', ms);
		});
	});
});

Given('a server that answers {int} ms after this process was paused for {int} ms', async function (this: AnswerWorld, afterMs: number, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		pauseProcess(ms);
		setTimeout(() => {
			res.end('ok');
		}, afterMs);
	});
});

Given('a server that answers the second half {int} ms after this process was paused for {int} ms', async function (this: AnswerWorld, afterMs: number, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
		void until(() => this.hasHead, 'the head was read').then(() => {
			pauseProcess(ms);
			setTimeout(() => {
				res.end('k');
			}, afterMs);
		});
	});
});

Given('a server that answers only the first half', async function (this: AnswerWorld) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
	});
});

Given('a server that never answers', async function (this: AnswerWorld) {
	this.address = await serveOnLoopback(this, () => undefined);
});

const send = async (world: AnswerWorld, limits: Pick<HttpRequest, 'timeoutMs' | 'wholeMs' | 'signal'>) => {
	const client = world.register(new HttpClient());
	world.isSettled = false;
	world.hasHead = false;
	const sent = await client.send({
		address: world.address, method: 'GET', path: '/', ...limits,
	});
	world.hasHead = true;
	world.failure = sent.isLeft() ? sent.extract() : undefined;
	world.text = sent.isRight() ? await sent.extract().body.text() : undefined;
	world.isSettled = true;
};

When('a request is sent to it that may take {int} ms', async function (this: AnswerWorld, ms: number) {
	await send(this, {timeoutMs: ms});
});

When('a request is sent to it that may take {int} ms, under a limit of {int} ms', async function (this: AnswerWorld, ms: number, limitMs: number) {
	await send(this, {timeoutMs: ms, signal: AbortSignal.timeout(limitMs)});
});

When('a request is sent to it that may take {int} ms, and {int} ms for the whole answer', async function (this: AnswerWorld, timeoutMs: number, wholeMs: number) {
	await send(this, {timeoutMs, wholeMs}).catch((err: unknown) => {
		this.bodyError = err;
	});
});

Then('the request has no whole answer', function (this: AnswerWorld) {
	assert.equal((this.bodyError as Error).name, 'AbortError');
});

Then('the request is answered with {string}', function (this: AnswerWorld, text: string) {
	assert.equal(this.failure, undefined);
	assert.equal(this.text, text);
});

Then('the request is aborted', function (this: AnswerWorld) {
	assert.equal(this.failure?.kind, 'aborted');
});
