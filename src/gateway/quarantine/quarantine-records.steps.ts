/**
Steps for the quarantine records, on an object API in memory.
*/
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {SystemClock} from '../../io/system-clock.js';
import {LoadBoard} from '../load-board.js';
import {ObjectFeed} from '../object-feed.js';
import {PeerTable} from '../peers/peer-table.js';
import {ReplicaDirectory} from '../replica-directory.js';
import {testPartQuarantine} from '../testing/part-quarantines.js';
import {registrationOf} from '../testing/registrations.js';
import type {MemberName} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import type {PartQuarantine} from './part-quarantine.js';
import {partKeysOf, type PartKey} from './prompt-part-keys.js';
import {Quarantine} from './quarantine.js';
import {QuarantineRecords} from './quarantine-records.js';

type Process = {readonly quarantine: Quarantine; readonly partQuarantine: PartQuarantine; readonly peers: PeerTable};

type RecordsWorld = TestWorld & {
	api: FakeObjectApi;
	processes: Map<string, Process>;
};

const log: EventLog = {emit: () => undefined};
const clock = new SystemClock();
const content = 'c0ffee' as ContentDigest;

/** Longer than the pause between two attempts, in milliseconds. */
const twoAttemptsMs = 1300;

/** Within this time, in milliseconds, a feed receives a change. */
const feedDelayMs = 200;

/** Longer than the time within which crashes count as one, in milliseconds. */
const betweenCrashesMs = 100;

/** @returns The key of a part that is followed by a request's own part. */
const partOf = (id: string): PartKey => partKeysOf([{id, tokens: 1}, {id: 'own', tokens: 1}])[0]!;

const processOf = ({processes}: RecordsWorld, name: string): Process => processes.get(name)!;

const crashReplicas = ({quarantine}: Process, count: number) => {
	Array.from({length: count}).forEach((_, i) => {
		quarantine.noteCrash(content, registrationOf(`r${i}`));
	});
};

const isHeld = (world: RecordsWorld, name: string): boolean => processOf(world, name).quarantine.heldMs(content) > 0;

const recordsIn = ({api}: RecordsWorld) => api.all('Quarantine').filter(({name}) => name === content);

const receiveState = (peers: PeerTable, member: string) => {
	peers.receive({
		member: branded<MemberName>(member), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq: 1, isLeaving: false, loads: [], jobs: [],
	});
};

const start = (world: RecordsWorld, name: string) => {
	world.api ??= new FakeObjectApi();
	world.processes ??= new Map();
	const quarantine = new Quarantine({clock, log});
	const self = branded<MemberName>(name);
	const partQuarantine = testPartQuarantine(clock, self);
	const peers = new PeerTable({
		self, directory: new ReplicaDirectory(), loads: new LoadBoard(), quarantine, partQuarantine, clock, log,
	});
	world.processes.forEach((other, otherName) => {
		receiveState(other.peers, name);
		receiveState(peers, otherName);
	});
	const feed = world.register(new ObjectFeed({api: world.api, clock, log}, 'Quarantine', {waitMs: 50, mayLag: true}));
	const records = world.register(new QuarantineRecords({
		self, quarantine, partQuarantine, feed, api: world.api, peers, clock, log,
	}));
	feed.start();
	records.start();
	world.processes.set(name, {quarantine, partQuarantine, peers});
};

Given('a process {string} that follows the records', function (this: RecordsWorld, name: string) {
	start(this, name);
});

When('a process {string} starts that follows the records', function (this: RecordsWorld, name: string) {
	start(this, name);
});

When('{int} replicas crash during a request of {string}', function (this: RecordsWorld, count: number, name: string) {
	crashReplicas(processOf(this, name), count);
});

When('{int} replicas crash during a request of {string}, and {string} receives the announcement', function (this: RecordsWorld, count: number, name: string, other: string) {
	crashReplicas(processOf(this, name), count);
	processOf(this, other).quarantine.receiveCrashes(processOf(this, name).quarantine.announcement().crashes);
});

Given('the object API is unavailable', function (this: RecordsWorld) {
	this.api.down = true;
});

When('the object API is available again after two attempts', async function (this: RecordsWorld) {
	await pause(twoAttemptsMs);
	assert.equal(recordsIn(this).length <= 1, true);
	this.api.down = false;
});

When('the record is deleted', async function (this: RecordsWorld) {
	const removed = await this.api.remove('Quarantine', content);
	assert.ok(removed.isRight());
});

When('a replica completes the request for {string}', function (this: RecordsWorld, name: string) {
	processOf(this, name).quarantine.noteSuccess(content);
});

When('a record is written that lists no replicas', async function (this: RecordsWorld) {
	await this.api.create('Quarantine', content, {starts: 'all'});
	await pause(feedDelayMs);
});

Then('one record of the request is written', async function (this: RecordsWorld) {
	await until(() => recordsIn(this).length === 1, 'the record is stored in the object API');
});

Then('the object API got {int} call(s) to create it', async function (this: RecordsWorld, count: number) {
	await pause(twoAttemptsMs);
	assert.equal(this.api.calls.create, count);
});

Then('{string} holds the request back', async function (this: RecordsWorld, name: string) {
	await until(() => isHeld(this, name), `${name} holds the request back`);
});

Then('{string} releases the request', async function (this: RecordsWorld, name: string) {
	await until(() => !isHeld(this, name), `${name} releases the request`);
});

Then('no record remains', async function (this: RecordsWorld) {
	await until(() => recordsIn(this).length === 0, 'the record is removed');
});

When('{int} replicas crash one after the other at the beginning of answers of {string} to requests with the part {string}', async function (this: RecordsWorld, count: number, name: string, part: string) {
	for (let i = 0; i < count; i += 1) {
		processOf(this, name).partQuarantine.noteCrash([partOf(part)], registrationOf(`r${i}`));
		await pause(betweenCrashesMs);
	}
});

When('a request with the part {string} is answered for a while at {string}', function (this: RecordsWorld, part: string, name: string) {
	processOf(this, name).partQuarantine.noteSound([partOf(part)]);
});

const recordsOfPart = ({api}: RecordsWorld, part: string) => api.all('Quarantine').filter(({name}) => name === partOf(part));

Then('a record of the part {string} is written', async function (this: RecordsWorld, part: string) {
	await until(() => recordsOfPart(this, part).length === 1, 'the record is stored in the object API');
});

Then('the record of the part {string} is removed', async function (this: RecordsWorld, part: string) {
	await until(() => recordsOfPart(this, part).length === 0, 'the record is removed from the object API');
});

Then('{string} holds requests with the part {string} back', async function (this: RecordsWorld, name: string, part: string) {
	await until(() => processOf(this, name).partQuarantine.heldMs([partOf(part)]) > 0, `${name} holds requests with the part back`);
});

Then('{string} sends requests with the part {string} again', async function (this: RecordsWorld, name: string, part: string) {
	await until(() => processOf(this, name).partQuarantine.heldMs([partOf(part)]) === 0, `${name} sends requests with the part`);
});

Given('the object API takes {int} ms', function (this: RecordsWorld, ms: number) {
	this.api.beforeCall = async call => {
		if (call === 'create') {
			await pause(ms);
		}
	};
});

Then('no record of the part {string} exists a second later', async function (this: RecordsWorld, part: string) {
	await pause(1000);
	assert.deepEqual(recordsOfPart(this, part), []);
});

Then('no record of the request exists a second later', async function (this: RecordsWorld) {
	await pause(1000);
	assert.deepEqual(recordsIn(this), []);
	assert.equal(isHeld(this, 'front-1'), false);
});
