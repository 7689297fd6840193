/**
Steps for a relay whose object API is unavailable and which has no peer to relay through.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left} from 'purify-ts/Either';
import type {EventLog, ObjectApi} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {HttpClient} from '../../io/http-client.js';
import {RpcClient} from '../../io/rpc-client.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import {ObjectRelay} from './object-relay.js';

type RelayWorld = TestWorld & {relay: ObjectRelay; tries: number};

const log: EventLog = {emit: () => undefined};
const clock = new SystemClock();

const sleep = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const relayTo = (world: RelayWorld, failsAfterMs: number) => {
	world.tries = 0;
	const direct = {
		async list() {
			world.tries += 1;
			await sleep(failsAfterMs);
			return Left({kind: 'unavailable', reason: 'away'});
		},
	} as unknown as ObjectApi;
	world.relay = world.register(new ObjectRelay({
		direct, rpc: new RpcClient(world.register(new HttpClient())), peerAddresses: () => [], clock, random: new SeededRandom(1), log,
	}));
};

Given('a relay whose object API fails calls without an answer after {int} ms', function (this: RelayWorld, ms: number) {
	relayTo(this, ms);
});

Given('a relay whose object API rejects calls at once', function (this: RelayWorld) {
	relayTo(this, 0);
});

When('a call fails', async function (this: RelayWorld) {
	const outcome = await this.relay.list('Registration');
	assert.ok(outcome.isLeft());
	this.tries = 0;
});

When('the relay is disposed of during its next attempt', async function (this: RelayWorld) {
	await until(() => this.tries > 0, 'the object API is tried');
	this.relay.dispose();
	this.tries = 0;
});

Then('the object API is tried at least {int} times in the next {int} ms', async function (this: RelayWorld, least: number, ms: number) {
	await sleep(ms);
	assert.ok(this.tries >= least, `${this.tries} times`);
});

Then('the object API is tried at most {int} times in the next {int} ms', async function (this: RelayWorld, most: number, ms: number) {
	await sleep(ms);
	assert.ok(this.tries <= most, `${this.tries} times`);
});
