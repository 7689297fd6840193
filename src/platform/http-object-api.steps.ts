import assert from 'node:assert/strict';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import type {ApiError} from '../common/types.js';
import {HttpClient} from './http-client.js';
import {HttpObjectApi} from './http-object-api.js';

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

const serve = async (world: TestWorld, listener: RequestListener): Promise<string> => {
	const server = createServer(listener);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	world.register({
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

Given('an object API that answers with status {int}', async function (this: ApiWorld, status: number) {
	this.address = await serve(this, answering(status));
});

Object.entries(listeners).forEach(([answer, listener]) => {
	Given(`an object API that answers with ${answer}`, async function (this: ApiWorld) {
		this.address = await serve(this, listener);
	});
});

Given('an object API that answers with no listener', async function (this: ApiWorld) {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	await new Promise(resolve => {
		server.close(resolve);
	});
});

When('an object is created through it', async function (this: ApiWorld) {
	const client = new HttpClient();
	this.register(client);
	const created = await new HttpObjectApi(client, {address: this.address, timeoutMs}).create('File', 'f', {});
	this.outcome = created.isLeft() ? (created.extract()).kind : 'done';
});

Then('the change\'s outcome is {string}', function (this: ApiWorld, kind: string) {
	assert.equal(this.outcome, kind);
});
