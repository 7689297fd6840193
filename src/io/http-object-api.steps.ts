import assert from 'node:assert/strict';
import type {RequestListener} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import type {ApiError} from '../common/types.js';
import {HttpClient} from './http-client.js';
import {HttpObjectApi} from './http-object-api.js';
import {freeAddress, serveOnLoopback} from './testing/serve-on-loopback.js';

type ApiWorld = TestWorld & {address: string; outcome: string; api: HttpObjectApi; answerMs: number; reads: number; failedAfterMs: number[]};

const timeoutMs = 200;

/** More reads than a slow object API may take. */
const maxReads = 20;

const answering = (status: number): RequestListener => (_req, res) => {
	res.writeHead(status).end('{}');
};

const listeners: Readonly<Record<string, RequestListener>> = {
	'a cut connection'(_req, res) {
		res.destroy();
	},
	silence: () => undefined,
};

Given('an object API that answers with status {int}', async function (this: ApiWorld, status: number) {
	this.address = await serveOnLoopback(this, answering(status));
});

Object.entries(listeners).forEach(([answer, listener]) => {
	Given(`an object API that answers with ${answer}`, async function (this: ApiWorld) {
		this.address = await serveOnLoopback(this, listener);
	});
});

Given('an object API that answers with no listener', async function (this: ApiWorld) {
	this.address = await freeAddress();
});

When('an object is created through it', async function (this: ApiWorld) {
	const client = new HttpClient();
	this.register(client);
	const created = await new HttpObjectApi(client, {address: this.address, timeoutMs}).create('File', 'f', {});
	this.outcome = created.isLeft() ? (created.extract()).kind : 'done';
});

Then('the outcome of the change is {string}', function (this: ApiWorld, kind: string) {
	assert.equal(this.outcome, kind);
});

When('a list is read from it', async function (this: ApiWorld) {
	const client = this.register(new HttpClient());
	const page = await new HttpObjectApi(client, {address: this.address, timeoutMs}).list('BatchJob');
	this.outcome = page.isLeft() ? page.extract().kind : 'read';
});

Then('the outcome of the read is {string}', function (this: ApiWorld, kind: string) {
	assert.equal(this.outcome, kind);
});

Given('a time limit of {int} ms', function (this: ApiWorld, ms: number) {
	this.api = new HttpObjectApi(this.register(new HttpClient()), {address: this.address, timeoutMs: ms});
});

Given('an object API that answers after {int} ms, and a time limit of {int} ms', async function (this: ApiWorld, answerMs: number, limitMs: number) {
	this.answerMs = answerMs;
	this.address = await serveOnLoopback(this, (_req, res) => {
		setTimeout(() => {
			res.writeHead(200).end('{"items":[],"version":1,"more":false}');
		}, this.answerMs);
	});
	this.api = new HttpObjectApi(this.register(new HttpClient()), {address: this.address, timeoutMs: limitMs});
});

When('lists are read from it one after the other until one succeeds', {timeout: 20_000}, async function (this: ApiWorld) {
	this.reads = 0;
	while (this.reads < maxReads) {
		this.reads += 1;
		const page = await this.api.list('BatchJob');
		if (page.isRight()) {
			return;
		}
	}
});

When('it answers at once to {int} reads, and then not at all', async function (this: ApiWorld, reads: number) {
	this.answerMs = 0;
	for (let i = 0; i < reads; i += 1) {
		await this.api.list('BatchJob');
	}

	this.answerMs = 60_000;
});

When('{int} list(s) is/are read from it', async function (this: ApiWorld, reads: number) {
	this.failedAfterMs = [];
	for (let i = 0; i < reads; i += 1) {
		const startedAt = performance.now();
		const page = await this.api.list('BatchJob');
		assert.ok(page.isLeft());
		this.failedAfterMs.push(performance.now() - startedAt);
	}
});

Then('one of the first {int} reads has succeeded', function (this: ApiWorld, reads: number) {
	assert.ok(this.reads <= reads, `${this.reads} reads`);
});

Then('each read has failed within {int} ms', function (this: ApiWorld, ms: number) {
	assert.deepEqual(this.failedAfterMs.filter(taken => taken > ms), []);
});
