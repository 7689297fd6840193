import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {HttpClient, isBeforeSending, type HttpFailure} from './http-client.js';
import {serveOnLoopback} from './testing/serve-on-loopback.js';

type FailureWorld = TestWorld & {notSent: boolean};

type AnswerWorld = TestWorld & {address: string; isSettled: boolean; hasHead: boolean; text: string | undefined; failure: HttpFailure | undefined};

/** Runs nothing of this process meanwhile. */
const pauseFor = (ms: number) => {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Stands still.
	}
};

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
		pauseFor(ms);
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

Given('a server that never answers', async function (this: AnswerWorld) {
	this.address = await serveOnLoopback(this, () => undefined);
});

const send = async (world: AnswerWorld, timeoutMs: number, signal?: AbortSignal) => {
	const client = world.register(new HttpClient());
	world.isSettled = false;
	world.hasHead = false;
	const sent = await client.send({
		address: world.address, method: 'GET', path: '/', timeoutMs, signal,
	});
	world.hasHead = true;
	world.failure = sent.isLeft() ? sent.extract() : undefined;
	world.text = sent.isRight() ? await sent.extract().body.text() : undefined;
	world.isSettled = true;
};

When('a request is sent to it that may take {int} ms', async function (this: AnswerWorld, ms: number) {
	await send(this, ms);
});

When('a request is sent to it that may take {int} ms, under a limit of {int} ms', async function (this: AnswerWorld, ms: number, limitMs: number) {
	await send(this, ms, AbortSignal.timeout(limitMs));
});

Then('the request is answered with {string}', function (this: AnswerWorld, text: string) {
	assert.equal(this.failure, undefined);
	assert.equal(this.text, text);
});

Then('the request is aborted', function (this: AnswerWorld) {
	assert.equal(this.failure?.kind, 'aborted');
});
