import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from './http-client.js';
import {RpcClient} from './rpc-client.js';
import {freeAddress, serveOnLoopback} from './testing/serve-on-loopback.js';

type RpcWorld = TestWorld & {address: string; ending: string};

const timeoutMs = 500;

Given('a process that responds to calls with status {int} and {string}', async function (this: RpcWorld, status: number, body: string) {
	this.address = await serveOnLoopback(this, (_req, res) => {
		res.writeHead(status).end(body);
	});
});

Given('no process at the address', async function (this: RpcWorld) {
	this.address = await freeAddress();
});

When('a method is called there', async function (this: RpcWorld) {
	const rpc = new RpcClient(this.register(new HttpClient()));
	const answer = await rpc.call({address: this.address, timeoutMs}, 'agent.load', {});
	this.ending = answer.isLeft() ? answer.extract().kind : 'answered';
});

Then('the call ends as {string}', function (this: RpcWorld, ending: string) {
	assert.equal(this.ending, ending);
});
