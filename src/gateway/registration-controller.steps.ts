/**
Steps for registrations that are missing after an outage, with an in-memory object API that can fail the calls for one kind.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {EventLog} from '../common/services.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {HttpClient} from '../io/http-client.js';
import {RpcClient} from '../io/rpc-client.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import {pauseProcess} from '../io/testing/pause-process.js';
import {ObjectFeed} from './object-feed.js';
import {ObjectRelay} from './peers/object-relay.js';
import {RegistrationController} from './registration-controller.js';
import {ReplicaDirectory} from './replica-directory.js';
import {registeredReplicas, registrationOf, replicaRecords} from './testing/registrations.js';

type RegistrationsWorld = TestWorld & {
	api: FakeObjectApi;
	relay: ObjectRelay;
	directory: ReplicaDirectory;
	/** When the object API recovered, in milliseconds of `performance.now()`. */
	recoveredAt: number;
};

const log: EventLog = {emit: () => undefined};
const clock = new SystemClock();

/** Long enough for several consecutive calls to fail, in milliseconds. */
const outageMs = 1200;

const sleep = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const listOf = (names: string): string[] => names.split(', ');

/** While the object API is unavailable, the relay probes it directly, and so detects its recovery. */
const untilProbed = async ({api}: RegistrationsWorld) => {
	const lists = api.calls.list;
	await until(() => api.calls.list > lists, 'the object API is probed');
};

Given('a process that watches the registrations of {string}', async function (this: RegistrationsWorld, names: string) {
	this.api = new FakeObjectApi();
	this.directory = new ReplicaDirectory();
	for (const name of listOf(names)) {
		await this.api.create('Registration', name, registrationOf(name));
	}

	const relay = this.register(new ObjectRelay({
		direct: this.api, rpc: new RpcClient(this.register(new HttpClient())), peerAddresses: () => [], clock, random: new SeededRandom(1), log,
	}));
	this.relay = relay;
	const feed = this.register(new ObjectFeed({
		api: relay, reachability: relay, clock, log,
	}, 'Registration', {waitMs: 50, mayLag: false}));
	this.register(new RegistrationController({
		directory: this.directory, feed, records: replicaRecords, clock, log, drainMs: 2000,
	}));
	feed.start();
	await until(() => this.directory.size === listOf(names).length, 'all replicas are cached');
});

When('the object API is unavailable, and {string} is removed meanwhile', async function (this: RegistrationsWorld, name: string) {
	this.api.down = true;
	await sleep(outageMs);
	this.api.down = false;
	await this.api.remove('Registration', name);
	this.api.down = true;
});

When('it recovers, but fails the calls for registrations for {int} ms more', async function (this: RegistrationsWorld, ms: number) {
	const {api} = this;
	api.beforeCall = (_call, kind) => {
		api.down = kind === 'Registration';
	};

	this.recoveredAt = performance.now();
	await sleep(ms);
	api.beforeCall = undefined;
	api.down = false;
});

When('it recovers {int} ms after it was probed, and the process is paused for {int} ms', async function (this: RegistrationsWorld, ms: number, pauseMs: number) {
	await untilProbed(this);
	await sleep(ms);
	this.api.down = false;
	this.recoveredAt = performance.now();
	pauseProcess(pauseMs);
});

When('the object API is unavailable, answers once, and is unavailable for {int} ms more', async function (this: RegistrationsWorld, ms: number) {
	this.api.down = true;
	await sleep(outageMs);
	this.api.beforeCall = (_call, kind) => {
		this.api.down = kind === 'Registration';
	};

	await untilProbed(this);
	this.api.beforeCall = undefined;
	this.api.down = true;
	await sleep(ms);
});

When('all registrations have expired when it recovers', async function (this: RegistrationsWorld) {
	this.api.down = false;
	for (const {name} of this.api.all('Registration')) {
		await this.api.remove('Registration', name);
	}
});

Then('the process has cached {string} within {int} ms of the object API\'s recovery', async function (this: RegistrationsWorld, names: string, ms: number) {
	await until(() => registeredReplicas(this.directory).join(', ') === names, `only ${names} are cached`);
	const elapsedMs = performance.now() - this.recoveredAt;
	assert.ok(elapsedMs <= ms, `${Math.round(elapsedMs)} ms`);
});

Then('the process has {string} cached for {int} ms more', async function (this: RegistrationsWorld, names: string, ms: number) {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		assert.equal(registeredReplicas(this.directory).join(', '), names);
		await sleep(20);
	}
});
