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

Then('it is classified as not sent', function (this: FailureWorld) {
	assert.equal(this.notSent, true);
});

Then('it is classified as possibly sent', function (this: FailureWorld) {
	assert.equal(this.notSent, false);
});

/** Pauses this process as soon as the complete response has been handed to the operating system. */
const endAndPause = (world: AnswerWorld, res: ServerResponse, text: string, ms: number) => {
	res.end(text, () => {
		assert.equal(world.isSettled, false);
		pauseProcess(ms);
	});
};

Given('a server that pauses this process for {int} ms after its response', async function (this: AnswerWorld, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		endAndPause(this, res, 'ok', ms);
	});
});

Given('a server that pauses this process for {int} ms after the second half of its response', async function (this: AnswerWorld, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
		void until(() => this.hasHead, 'the head has been read').then(() => {
			// Timers run directly after immediates, sockets only after the timers.
			setImmediate(endAndPause, this, res, 'k', ms);
		});
	});
});

Given('a server that responds {int} ms after this process was paused for {int} ms', async function (this: AnswerWorld, afterMs: number, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		pauseProcess(ms);
		setTimeout(() => {
			res.end('ok');
		}, afterMs);
	});
});

Given('a server that sends the second half of its response {int} ms after this process was paused for {int} ms', async function (this: AnswerWorld, afterMs: number, ms: number) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
		void until(() => this.hasHead, 'the head has been read').then(() => {
			pauseProcess(ms);
			setTimeout(() => {
				res.end('k');
			}, afterMs);
		});
	});
});

Given('a server that sends only the first half of its response', async function (this: AnswerWorld) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.write('o');
	});
});

Given('a server that never responds', async function (this: AnswerWorld) {
	this.address = await serveOnLoopback(this, () => undefined);
});

const send = async (world: AnswerWorld, limits: Pick<HttpRequest, 'timeoutMs' | 'responseTimeoutMs' | 'signal'>) => {
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

When('a request is sent to it with a timeout of {int} ms', async function (this: AnswerWorld, ms: number) {
	await send(this, {timeoutMs: ms});
});

When('a request is sent to it with a timeout of {int} ms and an abort signal of {int} ms', async function (this: AnswerWorld, ms: number, limitMs: number) {
	await send(this, {timeoutMs: ms, signal: AbortSignal.timeout(limitMs)});
});

When('a request is sent to it with a timeout of {int} ms, and {int} ms for the complete response', async function (this: AnswerWorld, timeoutMs: number, responseTimeoutMs: number) {
	await send(this, {timeoutMs, responseTimeoutMs}).catch((err: unknown) => {
		this.bodyError = err;
	});
});

Then('the response is aborted before it is complete', function (this: AnswerWorld) {
	assert.equal((this.bodyError as Error).name, 'AbortError');
});

Then('the response text is {string}', function (this: AnswerWorld, text: string) {
	assert.equal(this.failure, undefined);
	assert.equal(this.text, text);
});

Then('the request is aborted', function (this: AnswerWorld) {
	assert.equal(this.failure?.kind, 'aborted');
});
