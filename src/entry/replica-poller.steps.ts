/**
Steps for an entry's poller on a clock that the steps set, with agents that never answer.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left} from 'purify-ts/Either';
import {branded, type Revision} from '../common/ids.js';
import type {LoadReport} from '../common/protocol.js';
import {ReplicaTable} from '../common/replica-table.js';
import {ManualClock} from '../common/testing/manual-clock.js';
import type {TestWorld} from '../common/testing/test-world.js';
import type {VmEntry} from '../common/types.js';
import type {RpcClient} from '../io/rpc-client.js';
import {ReplicaPoller} from './replica-poller.js';

type PollerWorld = TestWorld & {clock: ManualClock; table: ReplicaTable};

const target = 'model:tyre-scribe';
const silenceMs = 1000;
const loadPollMs = 250;

const namesIn = (text: string) => text.split(', ');

const vmEntry = (name: string): VmEntry => ({
	name: branded(name), role: 'backend', address: '127.0.0.1:1', failureDomain: branded('durgapur-hall'), state: 'live',
});

const report = (name: string): LoadReport => ({
	vm: branded(name), incarnation: branded('1'), at: 0, draining: false, serves: [target], running: 0, queued: 0, pendingTokens: 0, batchRunning: 0, batchRoom: 0, maxRunning: 8, configRevision: branded<Revision>(0),
});

const pass = async ({clock}: PollerWorld, ms: number) => {
	clock.advance(ms);
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};

Given('an entry that has heard its replicas {string}', function (this: PollerWorld, names: string) {
	this.clock = new ManualClock();
	this.table = new ReplicaTable(this.clock, silenceMs);
	this.table.applyVmList(namesIn(names).map(vmEntry));
	namesIn(names).forEach(name => {
		this.table.heard(branded(name), report(name));
	});
	const poller = this.register(new ReplicaPoller({
		clock: this.clock,
		log: {emit: () => undefined},
		vmList: {read: async () => Left({kind: 'unavailable', reason: 'away'})},
		rpc: {
			call: async () => new Promise<void>(() => {
			// It never answers.
			}),
		} as unknown as RpcClient,
		replicas: this.table,
		loadPollMs,
		vmListPollMs: 60_000,
		loadTimeoutMs: 1000,
		silenceMs,
		loadPollsPerSecond: 100,
		subset: () => new Set(this.table.all.map(({vm}) => vm)),
	}));
	void poller.run();
});

When('the entry stands still for {int} ms', async function (this: PollerWorld, ms: number) {
	await pass(this, ms);
});

When('no report comes for {int} ms', async function (this: PollerWorld, ms: number) {
	for (let left = ms; left > 0; left -= loadPollMs) {
		await pass(this, loadPollMs);
	}
});

When('only {string} is heard for {int} ms', async function (this: PollerWorld, name: string, ms: number) {
	for (let left = ms; left > 0; left -= loadPollMs) {
		await pass(this, loadPollMs);
		this.table.heard(branded(name), report(name));
	}
});

Then('it sends work to {string}', function (this: PollerWorld, names: string) {
	assert.deepEqual(this.table.routable(target).map(({vm}) => String(vm)).toSorted(), namesIn(names));
});

Then('it sends work to no replica', function (this: PollerWorld) {
	assert.deepEqual(this.table.routable(target), []);
});
