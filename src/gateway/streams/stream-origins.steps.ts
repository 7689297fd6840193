/**
Steps for the origins of streams, in virtual time.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../../common/ids.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {NoMetrics} from '../../io/no-metrics.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import type {Peer, PeerTable} from '../peers/peer-table.js';
import {ReplicaDirectory} from '../replica-directory.js';
import {simulateOrigins, simulateVersionFromId, type OriginOutcome} from '../testing/origin-model.js';
import type {GatewayServiceName, ReplicaId, SoftwareVersion} from '../types.js';
import {OriginHolders} from './origin-holders.js';
import {OriginStore} from './origin-store.js';
import {streamKey, type AnnouncedOrigin} from './stream-origin.js';
import {StreamOrigins, type FoundOrigin, type OriginAnswer} from './stream-origins.js';
import {VersionHistory, type ServedVersions} from './version-history.js';

type OriginWorld = TestWorld & {
	fleet: {processes: number; missingShare: number};
	outcome: OriginOutcome;
	now: number;
	store: OriginStore;
	history: VersionHistory;
	confirmedAt: number;
	list: () => void;
	origins: StreamOrigins;
	found: FoundOrigin;
	reads: number;
};

const service = branded<GatewayServiceName>('engines');
const key = streamKey('s1', undefined)!;
const maxAgeMs = 2000;

const originOf = (run: number, version: string): AnnouncedOrigin => ({
	key, service, softwareVersion: branded<SoftwareVersion>(version), run, keepMs: 10_000,
});

const servedWithin = ({history, now}: OriginWorld, seconds: number): ServedVersions => history.within([service], 1000 * seconds, now);

Given('a fleet of {int} processes whose views lack {int} % of the others', function (this: OriginWorld, processes: number, percent: number) {
	this.fleet = {processes, missingShare: percent / 100};
});

When('{int} streams begin, their fronts and {int} of the processes that keep each origin fail, besides {int} % of all', function (this: OriginWorld, streams: number, lostHolders: number, percent: number) {
	this.outcome = simulateOrigins({
		...this.fleet, streams, lostHolders, failedShare: percent / 100, random: new SeededRandom(1),
	});
});

Then('at least {int} % of the origins are found', function (this: OriginWorld, percent: number) {
	assert.ok(this.outcome.foundShare >= percent / 100, `${100 * this.outcome.foundShare} %`);
});

Then('no process keeps more than {int} times the mean', function (this: OriginWorld, times: number) {
	assert.ok(this.outcome.imbalance <= times, String(this.outcome.imbalance));
});

Then('a stream takes at most {int} messages and {int} bytes', function (this: OriginWorld, messages: number, bytes: number) {
	assert.ok(this.outcome.messagesPerStream <= messages, String(this.outcome.messagesPerStream));
	assert.ok(this.outcome.bytesPerStream <= bytes, String(this.outcome.bytesPerStream));
});

When('one of {int} replicas is replaced by one of another version, the version of at least {int} % of the ids changes', (replicas: number, percent: number) => {
	const share = simulateVersionFromId({
		replicas, replaced: 1, streams: 4000, random: new SeededRandom(1),
	});
	assert.ok(share >= percent / 100, String(share));
});

Given('the origin of run {int} of a stream at version {string} is kept', function (this: OriginWorld, run: number, version: string) {
	this.now = 0;
	this.store = new OriginStore({now: () => this.now});
	this.store.put(originOf(run, version));
});

When('the origin of run {int} at version {string} arrives', function (this: OriginWorld, run: number, version: string) {
	this.store.put(originOf(run, version));
});

When('{int} s pass and another stream begins', function (this: OriginWorld, seconds: number) {
	this.now += 1000 * seconds;
	this.store.put({...originOf(1, 'v1'), key: streamKey('s2', undefined)!});
});

Then('the stream\'s version is {string}', function (this: OriginWorld, version: string) {
	assert.equal(this.store.get(key)?.softwareVersion, version);
});

Then('{int} origin(s) is/are kept', function (this: OriginWorld, count: number) {
	assert.equal(this.store.size, count);
});

Given('a process that has followed the registrations of version {string} for {int} s', function (this: OriginWorld, version: string, seconds: number) {
	const directory = new ReplicaDirectory();
	const answered: Array<() => void> = [];
	const listed: Array<() => void> = [];
	this.now = 0;
	this.confirmedAt = 0;
	const confirmedAt = () => this.confirmedAt;
	this.history = new VersionHistory({
		directory,
		feed: {
			get currentAsOf() {
				return confirmedAt();
			},
			onAnswer: listener => {
				answered.push(() => {
					listener(this.now);
				});
			},
			onSnapshot(listener) {
				listed.push(() => {
					listener([], branded(1));
				});
			},
			syncOnNewConnection: async () => false,
		},
		confirmedAt,
		maxAgeMs,
		clock: {now: () => this.now, sleep: async () => undefined},
	});
	this.list = () => {
		answered.forEach(answer => {
			answer();
		});
		this.confirmedAt = this.now;
		listed.forEach(list => {
			list();
		});
	};

	directory.put({
		id: branded<ReplicaId>('r1'), service, address: '127.0.0.1:1', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>(version), slots: 8, isDraining: false,
	});
	this.list();
	this.now += 1000 * seconds;
	this.confirmedAt = this.now;
});

When('the registrations are listed again without a gap', function (this: OriginWorld) {
	this.list();
});

When('the registrations are listed again after a gap of {int} s', function (this: OriginWorld, seconds: number) {
	this.now += 1000 * seconds;
	this.list();
});

When('the registrations are not confirmed for {int} s', function (this: OriginWorld, seconds: number) {
	this.now += 1000 * seconds;
});

Then('it knows that only {string} has served for {int} s', function (this: OriginWorld, version: string, seconds: number) {
	assert.deepEqual(servedWithin(this, seconds), {versions: [version], isComplete: true});
});

Then('it does not know which versions have served for {int} s', function (this: OriginWorld, seconds: number) {
	assert.equal(servedWithin(this, seconds).isComplete, false);
});

/** A process with one peer, which answers each question alike. */
const resumeWithPeer = (world: OriginWorld, answer: OriginAnswer) => {
	world.reads = 0;
	const peer = {
		state: {
			member: 'peer', rpcAddress: '127.0.0.1:1', startedAt: 1, keepsOrigins: true,
		},
	} as unknown as Peer;
	const history = {
		async confirmedWithin(): Promise<ServedVersions> {
			world.reads += 1;
			return {versions: [], isComplete: false};
		},
	};
	world.origins = world.register(new StreamOrigins({
		channel: {address: '127.0.0.1:2', send: () => undefined},
		rpc: {call: async <T>() => Right(answer as T)},
		holders: new OriginHolders({live: [peer], onMembership: () => undefined}),
		history,
		clock: new SystemClock(),
		log: {emit: () => undefined},
		metrics: new NoMetrics(),
	}));
};

Given('a process whose peer keeps the origin of a stream at version {string}', function (this: OriginWorld, version: string) {
	resumeWithPeer(this, {origin: originOf(1, version)});
});

Given('a process whose peer keeps no origin', function (this: OriginWorld) {
	resumeWithPeer(this, {});
});

When('the stream is resumed at the process', async function (this: OriginWorld) {
	this.found = await this.origins.find({key, services: [service], periodMs: 10_000}, 'call');
});

Then('its version is found to be {string}', function (this: OriginWorld, version: string) {
	assert.equal(this.found.kind === 'peer' && this.found.origin.softwareVersion, version);
});

Then('the registrations were read {int} time(s)', function (this: OriginWorld, reads: number) {
	assert.equal(this.reads, reads);
});
