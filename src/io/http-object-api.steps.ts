import assert from 'node:assert/strict';
import type {RequestListener} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import type {ApiError} from '../common/types.js';
import {HttpClient} from './http-client.js';
import {HttpObjectApi} from './http-object-api.js';
import {freeAddress, serveOnLoopback} from './testing/serve-on-loopback.js';

type ApiWorld = TestWorld & {address: string; outcome: string};

const timeoutMs = 200;

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
