/**
Steps for the validation of RPC messages and VM lists.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from './http-client.js';
import {HttpServer, type Route} from './http-server.js';
import {HttpVmList} from './http-vm-list.js';
import {RpcClient} from './rpc-client.js';
import {rpcRoute} from './rpc-route.js';

type MessageWorld = TestWorld & {address: string; method: string; runs: number; answer: Either<unknown, unknown>};

const timeoutMs = 5000;

const serve = async (world: MessageWorld, route: Route) => {
	const server = world.register(new HttpServer([route], {
		notFound() {
			assert.fail('no such path');
		},
		wrongMethod() {
			assert.fail('wrong method');
		},
		broken(err) {
			throw err;
		},
	}));
	await server.listen('127.0.0.1:0');
	world.address = server.address;
};

Given('a node that offers {string}', async function (this: MessageWorld, method: string) {
	this.method = method;
	this.runs = 0;
	await serve(this, rpcRoute({
		[method]: () => {
			this.runs += 1;
			return true;
		},
	}));
});

When('it is called with {string}', async function (this: MessageWorld, params: string) {
	const rpc = new RpcClient(this.register(new HttpClient()));
	this.answer = await rpc.call({address: this.address, timeoutMs}, this.method, JSON.parse(params) as object);
});

When('the VM list returns {string}', async function (this: MessageWorld, body: string) {
	await serve(this, {
		method: 'GET',
		pattern: /^\/v1\/vms$/v,
		handle(_req, res) {
			res.end(body);
		},
	});
	this.answer = await new HttpVmList(this.register(new HttpClient()), this.address, timeoutMs).read();
});

Then('the call is rejected and the method was not run', function (this: MessageWorld) {
	assert.ok(this.answer.isLeft());
	assert.equal(this.runs, 0);
});

Then('the method was run', function (this: MessageWorld) {
	assert.ok(this.answer.isRight());
	assert.equal(this.runs, 1);
});

Then('reading the list fails', function (this: MessageWorld) {
	assert.ok(this.answer.isLeft());
});
