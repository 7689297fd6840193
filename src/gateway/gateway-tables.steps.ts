/**
Steps for the tables of a front, on an object API in memory.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../common/ids.js';
import type {EventLog} from '../common/services.js';
import {ManualClock} from '../common/testing/manual-clock.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import type {ObjectKind} from '../common/types.js';
import {DatagramChannel} from '../io/datagram-channel.js';
import {SystemClock} from '../io/system-clock.js';
import {RateLimits} from './accounts/rate-limits.js';
import {JobIndex} from './batch/job-index.js';
import {
	recordNames, type JobRecord, type PageRecord,
} from './batch/batch-records.js';
import {BatchRetention} from './batch/batch-retention.js';
import {FailedRuns} from './batch/failed-runs.js';
import {ConfigBoard} from './config-board.js';
import {LoadBoard} from './load-board.js';
import {ObjectFeed} from './object-feed.js';
import {PeerAnnouncer} from './peers/peer-announcer.js';
import {peerStateMethod, type PeerState} from './peers/peer-state.js';
import {PeerTable} from './peers/peer-table.js';
import type {ContentDigest} from './quarantine/content-digest.js';
import {Quarantine} from './quarantine/quarantine.js';
import {testPartQuarantine} from './testing/part-quarantines.js';
import {RegistrationController} from './registration-controller.js';
import {ReplicaDirectory} from './replica-directory.js';
import {registeredReplicas, registrationOf, replicaRecords} from './testing/registrations.js';
import type {
	BatchItemId, BatchJobId, GatewayConfig, MemberName, ReplicaId, ReplicaRecord,
} from './types.js';

type TablesWorld = TestWorld & {
	api: FakeObjectApi;
	limit: number;
	jobIndex: JobIndex;
	board: ConfigBoard;
	directory: ReplicaDirectory;
	removed: string[];
	loads: LoadBoard;
	peers: PeerTable;
	quarantine: Quarantine;
	/** Messages that the front has announced. */
	received: PeerState[];
};

const content = 'c0ffee' as ContentDigest;
const log: EventLog = {emit: () => undefined};
const clock = new SystemClock();
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);
const listOf = (names: string): string[] => names.split(', ');
const itemId = (job: string): BatchItemId => branded<BatchItemId>(`${job}-0`);

const feedOf = (world: TablesWorld, kind: ObjectKind): ObjectFeed => world.register(new ObjectFeed({api: world.api, clock, log}, kind, {waitMs: 50, mayLag: false}));

const jobRecord = (world: TablesWorld, job: string, tokens: number): JobRecord => ({
	type: 'job', job: jobId(job), route: 'notes', host: 'h', target: '/', submittedAt: 0, maxWaitingTokens: world.limit, isRoomy: false, items: [{id: itemId(job), tokens}], content: `items-${job}`,
});

const writePage = async ({api}: TablesWorld, job: string, number: number) => {
	const page: PageRecord = {
		type: 'page', job: jobId(job), number, results: [{id: itemId(job), state: 'completed'}], content: `text-${job}-${number}`,
	};
	return api.create('BatchRecord', recordNames.page(page.job, number), page);
};

const admittedJobs = (jobIndex: JobIndex): string[] => [...jobIndex.all].filter(({isAdmitted}) => isAdmitted).map(({id}) => id as string);

const followRecords = (world: TablesWorld): JobIndex => {
	const feed = feedOf(world, 'BatchRecord');
	const jobIndex = new JobIndex(feed);
	feed.start();
	return jobIndex;
};

Given('a limit of {int} tokens', function (this: TablesWorld, limit: number) {
	this.api = new FakeObjectApi();
	this.limit = limit;
	// This process follows from the first record on and receives each one separately.
	this.jobIndex = followRecords(this);
});

Given('jobs {string} of {int} tokens each are written', async function (this: TablesWorld, names: string, tokens: number) {
	for (const name of listOf(names)) {
		await this.api.create('BatchRecord', recordNames.job(jobId(name)), jobRecord(this, name, tokens));
	}
});

Given('a page with all results of {string} is written', async function (this: TablesWorld, job: string) {
	await writePage(this, job, 0);
});

Given('page {int} of {string} with result {string} is written', async function (this: TablesWorld, number: number, job: string, _result: string) {
	await writePage(this, job, number);
});

Given('page {int} of {string} with result {string} is written again', async function (this: TablesWorld, number: number, job: string, _result: string) {
	const again = await writePage(this, job, number);
	assert.ok(again.isLeft());
	await writePage(this, job, number + 1);
});

Given('a process follows the records', async function (this: TablesWorld) {
	await until(() => this.jobIndex.hasLoaded, 'the records were read');
});

When('the object API discards its history while the process cannot reach it', async function (this: TablesWorld) {
	this.api.down = true;
	await this.api.create('BatchRecord', 'ignored', {});
	this.api.down = false;
	this.api.compact();
});

Then('a process that lists the records admits {string}', async function (this: TablesWorld, names: string) {
	const jobIndex = followRecords(this);
	await until(() => jobIndex.hasLoaded, 'the records were read');
	assert.deepEqual(admittedJobs(jobIndex), listOf(names));
});

const assertFollowerAdmits = async ({jobIndex}: TablesWorld, names: string) => {
	await until(() => admittedJobs(jobIndex).length >= listOf(names).length, `${names} are admitted`);
	assert.deepEqual(admittedJobs(jobIndex), listOf(names));
};

Then('a process that follows the records admits {string}', async function (this: TablesWorld, names: string) {
	await assertFollowerAdmits(this, names);
});

Then('that process admits {string}', async function (this: TablesWorld, names: string) {
	await assertFollowerAdmits(this, names);
});

Then('a process that follows the records has {int} result(s) of {string}', async function (this: TablesWorld, count: number, job: string) {
	await until(() => this.jobIndex.job(jobId(job))?.pageCount === 2, 'both pages were received');
	assert.equal(this.jobIndex.job(jobId(job))?.results.length, count);
});

const configOf = (version: number): GatewayConfig => ({
	version, routes: [], services: [], limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

Given('the configuration of version {int} is in force', function (this: TablesWorld, version: number) {
	this.board = new ConfigBoard();
	assert.ok(this.board.applyIfNewer(configOf(version)));
});

When('a lagging copy returns version {int}', function (this: TablesWorld, version: number) {
	assert.equal(this.board.applyIfNewer(configOf(version)), false);
});

Then('version {int} is still in force', function (this: TablesWorld, version: number) {
	assert.equal(this.board.config?.version, version);
});

Given('replicas {string} are registered', async function (this: TablesWorld, names: string) {
	this.api = new FakeObjectApi();
	this.directory = new ReplicaDirectory();
	for (const name of listOf(names)) {
		await this.api.create('Registration', name, registrationOf(name));
	}

	const feed = feedOf(this, 'Registration');
	this.register(new RegistrationController({
		directory: this.directory, feed, records: replicaRecords, clock, log, drainMs: 2000,
	}));
	feed.start();
	await until(() => this.directory.size === listOf(names).length, 'all replicas are listed');
});

When('the object API is unavailable, and all registrations have expired when it is back', async function (this: TablesWorld) {
	this.api.down = true;
	await new Promise(resolve => {
		setTimeout(resolve, 700);
	});
	this.api.down = false;
	for (const {name} of this.api.all('Registration')) {
		await this.api.remove('Registration', name);
	}

	const calls = this.api.calls.watch;
	await until(() => this.api.calls.watch > calls + 3, 'the front has watched again');
});

When('the registration of {string} is removed', async function (this: TablesWorld, name: string) {
	await this.api.remove('Registration', name);
});

Given('{string} is registered again', async function (this: TablesWorld, name: string) {
	await this.api.create('Registration', name, registrationOf(name));
});

When('{string} registers with start time {int}', async function (this: TablesWorld, name: string, startedAt: number) {
	await this.api.create('Registration', name, {...registrationOf(name), startedAt});
});

const renewRegistration = async ({api}: TablesWorld, name: string) => {
	const entry = api.all('Registration').find(({name: own}) => own === name)!;
	await api.update('Registration', name, registrationOf(name), entry.version);
};

When('{string} renews its registration', async function (this: TablesWorld, name: string) {
	await renewRegistration(this, name);
});

When('the registration of {string} loses its start time', async function (this: TablesWorld, name: string) {
	await renewRegistration(this, name);
});

Then('the front still lists replicas {string}', function (this: TablesWorld, names: string) {
	assert.deepEqual(registeredReplicas(this.directory), listOf(names));
});

Then('the front soon lists replicas {string}', async function (this: TablesWorld, names: string) {
	await until(() => registeredReplicas(this.directory).join(', ') === names, `only ${names} are listed`);
});

Then('{int} seconds later the front lists replicas {string}', async function (this: TablesWorld, _seconds: number, names: string) {
	await until(() => registeredReplicas(this.directory).join(', ') === names, `only ${names} are listed`);
});

When('the retention time of results is over', async function (this: TablesWorld) {
	await until(() => admittedJobs(this.jobIndex).length === 2, 'both jobs were read');
	this.removed = [];
	this.api.beforeCall = (call, _kind, name) => {
		if (call === 'remove') {
			this.removed.push(name);
		}
	};

	const self = branded<MemberName>('front-1');
	const loads = new LoadBoard();
	const directory = new ReplicaDirectory();
	const retention = this.register(new BatchRetention({
		self, api: this.api, jobIndex: this.jobIndex, clock, log, resultRetentionMs: 0, peers: new PeerTable({
			self, directory, loads, quarantine: new Quarantine({clock, log}), partQuarantine: testPartQuarantine(clock), clock, log,
		}),
	}));
	await until(() => this.jobIndex.job(jobId('a'))?.isOpen === false, 'all results of a were read');
	await retention.removeExpired();
});

Then('only records of {string} are left', function (this: TablesWorld, job: string) {
	assert.deepEqual(this.api.all<JobRecord>('BatchRecord').map(({value}) => value.job as string), [job]);
});

Then('the job\'s own record was removed last', function (this: TablesWorld) {
	assert.equal(this.removed.at(-1), 'job-a');
});

Given('a front that received one message of {string}, with {int} calls at {string}', async function (this: TablesWorld, peer: string, online: number, replica: string) {
	this.directory = new ReplicaDirectory();
	this.directory.put(registrationOf(replica));
	this.loads = new LoadBoard();
	this.quarantine = new Quarantine({clock, log});
	const {quarantine} = this;
	const partQuarantine = testPartQuarantine(clock);
	this.received = [];
	const peerChannel = this.register(new DatagramChannel({
		[peerStateMethod]: (state: PeerState) => {
			this.received.push(state);
		},
	}));
	await peerChannel.listen('127.0.0.1:0');
	this.peers = new PeerTable({
		self: branded<MemberName>('front-1'), directory: this.directory, loads: this.loads, quarantine, partQuarantine, clock, log,
	});
	const channel = this.register(new DatagramChannel({}));
	await channel.listen('127.0.0.1:0');
	const rateLimits = new RateLimits({
		clock, log, tolerance: 0, registeredCount: () => 2, livePeers: () => this.peers.names,
	});
	const announcer = this.register(new PeerAnnouncer({
		self: branded<MemberName>('front-1'), channel, peers: this.peers, directory: this.directory, loads: this.loads, quarantine, partQuarantine, failedRuns: new FailedRuns({self: branded<MemberName>('front-1'), clock}), rateLimits, sections: [], checks: () => undefined, clock, memberAddresses: () => [peerChannel.address], claimedJobs: () => [], waitingItems: () => [], isLeaving: () => false, rpcAddress: () => '127.0.0.1:1', reachesObjectApi: () => true,
	}));
	announcer.start();
	this.peers.receive({
		member: branded<MemberName>(peer), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq: 1, isLeaving: false, loads: [{replica: branded<ReplicaId>(replica), online, batch: 0}], jobs: [],
	});
	assert.equal(this.directory.get(branded<ReplicaId>(replica))?.allOnline, online);
});

When('its own load changes continuously for longer than the time-out of a peer', async function (this: TablesWorld) {
	const [replica] = this.directory.all;
	const endAt = clock.now() + 1600;
	while (clock.now() < endAt) {
		this.loads.acquireSlot(replica!, 'online')();
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
});

Then('it has removed {string} and counts {int} calls of others at {string}', function (this: TablesWorld, _peer: string, count: number, replica: string) {
	assert.deepEqual(this.peers.live, []);
	assert.equal(this.directory.get(branded<ReplicaId>(replica))?.allOnline, count);
});

When('a replica crashes during a request, which another replica then completes', function (this: TablesWorld) {
	const [replica] = this.directory.all;
	this.quarantine.noteCrash(content, replica!.record);
	this.quarantine.noteSuccess(content);
});

Then('peers are sent that the request has completed', async function (this: TablesWorld) {
	await until(() => this.received.some(({acquitted}) => acquitted?.includes(content)), 'the completion is announced');
});

type PausedWorld = TestWorld & {manual: ManualClock; peers: PeerTable};

/** Interval at which a front checks for unresponsive peers, in milliseconds. */
const checkIntervalMs = 250;

Given('a front that receives messages of {string}', function (this: PausedWorld, peer: string) {
	this.manual = new ManualClock();
	this.peers = new PeerTable({
		self: branded<MemberName>('front-1'), directory: new ReplicaDirectory(), loads: new LoadBoard(), quarantine: new Quarantine({clock: this.manual, log}), partQuarantine: testPartQuarantine(this.manual), clock: this.manual, log,
	});
	this.peers.removeUnresponsive();
	this.peers.receive({
		member: branded<MemberName>(peer), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq: 1, isLeaving: false, loads: [], jobs: [],
	});
});

When('its process is paused for {int} ms', function (this: PausedWorld, ms: number) {
	this.manual.advance(ms);
	this.peers.removeUnresponsive();
});

When('it receives nothing more for {int} ms', function (this: PausedWorld, ms: number) {
	Array.from({length: ms / checkIntervalMs}).forEach(() => {
		this.manual.advance(checkIntervalMs);
		this.peers.removeUnresponsive();
	});
});

Then('it still lists peer {string}', function (this: PausedWorld, peer: string) {
	assert.deepEqual(this.peers.live.map(({state}) => state.member as string), [peer]);
});

Then('it has removed {string}', function (this: PausedWorld, _peer: string) {
	assert.deepEqual(this.peers.live, []);
});
