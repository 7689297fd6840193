/**
Steps for an entry's poller on a clock that the steps set, with agents that never answer, or answer late.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left, Right} from 'purify-ts/Either';
import {branded, type Revision} from '../common/ids.js';
import type {LoadReport} from '../common/protocol.js';
import {ReplicaTable} from '../common/replica-table.js';
import {ManualClock} from '../common/testing/manual-clock.js';
import type {TestWorld} from '../common/testing/test-world.js';
import type {VmEntry} from '../common/types.js';
import type {RpcClient, RpcTarget} from '../io/rpc-client.js';
import {ReplicaPoller} from './replica-poller.js';

type PollerWorld = TestWorld & {clock: ManualClock; table: ReplicaTable; poller: ReplicaPoller};

const target = 'model:tyre-scribe';
const silenceMs = 1000;
const loadPollMs = 250;

const namesIn = (text: string) => text.split(', ');

const vmEntry = (name: string): VmEntry => ({
	name: branded(name), role: 'backend', address: name, failureDomain: branded('durgapur-hall'), state: 'live',
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

const startPoller = (world: PollerWorld, names: string, call: RpcClient['call']) => {
	world.clock = new ManualClock();
	world.table = new ReplicaTable(world.clock, silenceMs);
	world.table.applyVmList(namesIn(names).map(name => vmEntry(name)));
	namesIn(names).forEach(name => {
		world.table.applyReport(branded(name), report(name));
	});
	world.poller = world.register(new ReplicaPoller({
		clock: world.clock,
		log: {emit: () => undefined},
		vmList: {read: async () => Left({kind: 'unavailable', reason: 'away'})},
		rpc: {call} as unknown as RpcClient,
		renewConnections: () => undefined,
		replicas: world.table,
		loadPollMs,
		vmListPollMs: 60_000,
		loadTimeoutMs: 1000,
		silenceMs,
		loadPollsPerSecond: 100,
		subset: () => new Set(world.table.all.map(({vm}) => vm)),
	}));
	void world.poller.run();
};

Given('an entry that has heard its replicas {string}', function (this: PollerWorld, names: string) {
	startPoller(this, names, async () => new Promise(() => {
		// It never answers.
	}));
});

Given('an entry that has heard its replicas {string}, whose reports now take {int} ms', function (this: PollerWorld, names: string, ms: number) {
	startPoller(this, names, async <T>({address, timeoutMs}: RpcTarget) => {
		if (ms > 0) {
			await this.clock.sleep(Math.min(ms, timeoutMs));
		}

		return ms > timeoutMs ? Left({kind: 'silent', reason: 'no answer in time'}) : Right(report(address) as T);
	});
});

Given('{string} have said that they serve nothing', function (this: PollerWorld, names: string) {
	namesIn(names).forEach(name => {
		this.table.applyReport(branded(name), {...report(name), serves: []});
	});
});

When('a request finds no replica', async function (this: PollerWorld) {
	await this.poller.askAnew(target);
});

When('the entry\'s process is paused for {int} ms', async function (this: PollerWorld, ms: number) {
	await pass(this, ms);
});

const passInPolls = async (world: PollerWorld, ms: number) => {
	for (let left = ms; left > 0; left -= loadPollMs) {
		await pass(world, loadPollMs);
	}
};

When('no report comes for {int} ms', async function (this: PollerWorld, ms: number) {
	await passInPolls(this, ms);
});

When('{int} ms pass', async function (this: PollerWorld, ms: number) {
	await passInPolls(this, ms);
});

When('only {string} is heard for {int} ms', async function (this: PollerWorld, name: string, ms: number) {
	for (let left = ms; left > 0; left -= loadPollMs) {
		await pass(this, loadPollMs);
		this.table.applyReport(branded(name), report(name));
	}
});

Then('it sends work to {string}', function (this: PollerWorld, names: string) {
	assert.deepEqual(this.table.routable(target).map(({vm}) => String(vm)).toSorted(), namesIn(names));
});

Then('it sends work to no replica', function (this: PollerWorld) {
	assert.deepEqual(this.table.routable(target), []);
});
