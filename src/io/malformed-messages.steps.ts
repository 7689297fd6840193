/**
Steps for the validation of RPC messages and VM lists.
*/
import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {parseAddress} from './address.js';
import {DatagramChannel} from './datagram-channel.js';
import {HttpClient} from './http-client.js';
import {HttpServer, type Route} from './http-server.js';
import {HttpVmList} from './http-vm-list.js';
import {RpcClient} from './rpc-client.js';
import {rpcRoute} from './rpc-route.js';

type MessageWorld = TestWorld & {
	address: string;
	method: string;
	runs: number;
	answer: Either<unknown, unknown>;
	status: number;
	channel: DatagramChannel;
};

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

When('it is sent {string}', async function (this: MessageWorld, body: string) {
	const res = await fetch(`http://${this.address}/rpc`, {method: 'POST', body});
	this.status = res.status;
});

Then('it answers {int}', function (this: MessageWorld, status: number) {
	assert.equal(this.status, status);
});

Given('a channel that takes {string}', async function (this: MessageWorld, method: string) {
	this.channel = this.register(new DatagramChannel({
		[method]() {
			assert.fail('the datagram was handled');
		},
	}));
	await this.channel.listen('127.0.0.1:0');
});

When('it receives the datagram {string}', async function (this: MessageWorld, bytes: string) {
	const {host, port} = parseAddress(this.channel.address)!;
	const socket = createSocket('udp4');
	this.register(() => {
		socket.close();
	});
	socket.send(bytes, port, host);
	await until(() => this.channel.refused > 0, 'the datagram is rejected');
});

Then('it has rejected {int} datagram, and goes on', function (this: MessageWorld, count: number) {
	assert.equal(this.channel.refused, count);
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
