/**
Steps for changes between complete announcements, without a network.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import type {EventLog} from '../../common/services.js';
import {ManualClock} from '../../common/testing/manual-clock.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SystemClock} from '../../io/system-clock.js';
import {RateLimits} from '../accounts/rate-limits.js';
import {FailedRuns} from '../batch/failed-runs.js';
import {LoadBoard} from '../load-board.js';
import {Quarantine} from '../quarantine/quarantine.js';
import {ReplicaDirectory} from '../replica-directory.js';
import {testPartQuarantine} from '../testing/part-quarantines.js';
import {registrationOf} from '../testing/registrations.js';
import type {MemberName, ReplicaId} from '../types.js';
import {announcementDelayMs, heartbeatMs, PeerAnnouncer} from './peer-announcer.js';
import {peerStateMethod, type PeerState, type SharedLoad} from './peer-state.js';
import {PeerTable} from './peer-table.js';
import {AnnouncedState, stateChangesMethod, type StateChanges} from './state-changes.js';

type Message = {readonly method: string; readonly params: PeerState & StateChanges};
type Sent = Message & {readonly addresses: readonly string[]; readonly at: number};

type ChangesWorld = TestWorld & {
	directory: ReplicaDirectory;
	loads: LoadBoard;
	peers: PeerTable;
	/** What the peer has announced last, complete or not. */
	state: PeerState;
	announced: AnnouncedState;
	delayed: Message | undefined;
	checksRead: number;
	sent: Sent[];
	joinedAt: number;
	/** Addresses of registered processes. */
	members: string[];
	requests: number;
	perSecond: number;
};

const log: EventLog = {emit: () => undefined};
const self = 'front-1' as MemberName;

const stateOf = (member: string, overrides: Partial<PeerState> = {}): PeerState => ({
	member: member as MemberName, address: `${member}:1`, rpcAddress: `${member}:2`, reachesObjectApi: true, readsChanges: true, startedAt: 1, seq: 1, isLeaving: false, loads: [], jobs: [], waiting: [], ...overrides,
});

const loadOf = (replica: string, online: number): SharedLoad => ({replica: replica as ReplicaId, online, batch: 0});

const createTable = (world: ChangesWorld) => {
	const clock = new ManualClock();
	world.directory = new ReplicaDirectory();
	['r1', 'r2', 'r3'].forEach(id => {
		world.directory.put(registrationOf(id));
	});
	world.loads = new LoadBoard();
	world.peers = new PeerTable({
		self, directory: world.directory, loads: world.loads, quarantine: new Quarantine({clock, log}), partQuarantine: testPartQuarantine(clock), clock, log,
	});
};

const receivers: Readonly<Record<string, (peers: PeerTable, params: Message['params']) => void>> = {
	[peerStateMethod](peers, params) {
		peers.receive(params);
	},
	[stateChangesMethod](peers, params) {
		peers.receiveChanges(params);
	},
};

/** Messages pass through JSON, which removes absent sections. */
const deliver = (world: ChangesWorld, {method, params}: Message) => {
	const json = JSON.stringify(params);
	receivers[method]!(world.peers, JSON.parse(json) as Message['params']);
};

const completeState = (world: ChangesWorld, overrides: Partial<PeerState> = {}): Message => {
	world.state = {...world.state, seq: world.state.seq + 1, ...overrides};
	world.announced = new AnnouncedState(world.state);
	return {method: peerStateMethod, params: world.state};
};

const changedLoads = (world: ChangesWorld, changes: readonly SharedLoad[]): Message => {
	const changed = new Set(changes.map(({replica}) => replica));
	const loads = [...world.state.loads.filter(({replica}) => !changed.has(replica)), ...changes.filter(({online}) => online > 0)];
	world.state = {...world.state, seq: world.state.seq + 1, loads};
	return {method: stateChangesMethod, params: world.announced.changesTo(world.state) as Message['params']};
};

Given('a front that has received the complete state of {string}: {int} calls at {string}, {int} call at {string}', function (this: ChangesWorld, peer: string, online: number, replica: string, otherOnline: number, other: string) {
	createTable(this);
	this.checksRead = 0;
	this.peers.onState(({checks = []}) => {
		this.checksRead += checks.length;
	});
	this.state = stateOf(peer);
	deliver(this, completeState(this, {loads: [loadOf(replica, online), loadOf(other, otherOnline)]}));
});

/** What happens to a message on its way, by how the step ends. */
const fates: Readonly<Record<string, (world: ChangesWorld, message: Message) => void>> = {
	'': deliver,
	', which is lost': () => undefined,
	', which is delayed'(world, message) {
		world.delayed = message;
	},
};

Object.entries(fates).forEach(([ending, send]) => {
	When(`"front-2" sends that it has {int} call(s) at {string}${ending}`, function (this: ChangesWorld, online: number, replica: string) {
		send(this, changedLoads(this, [loadOf(replica, online)]));
	});

	When(`"front-2" sends that it has {int} call(s) at {string} and {int} call(s) at {string}${ending}`, function (this: ChangesWorld, online: number, replica: string, otherOnline: number, other: string) {
		send(this, changedLoads(this, [loadOf(replica, online), loadOf(other, otherOnline)]));
	});

	When(`"front-2" sends its complete state${ending}`, function (this: ChangesWorld) {
		send(this, completeState(this));
	});

	When(`"front-2" restarts without calls and sends its complete state${ending}`, function (this: ChangesWorld) {
		send(this, completeState(this, {startedAt: this.state.startedAt + 1, seq: 1, loads: []}));
	});
});

When('"front-2" sends its complete state with a check of the configuration', function (this: ChangesWorld) {
	deliver(this, completeState(this, {checks: [{kind: 'GatewayConfig', changedAt: 1, ageMs: 0}] as unknown as PeerState['checks']}));
	this.state = {...this.state, checks: undefined};
});

When('the delayed message arrives', function (this: ChangesWorld) {
	deliver(this, this.delayed!);
});

When('an unknown peer sends a change', function (this: ChangesWorld) {
	const state = stateOf('front-3');
	deliver(this, {method: stateChangesMethod, params: new AnnouncedState(state).changesTo({...state, seq: 2}) as Message['params']});
});

Then('the front counts {int} call(s) at {string} and {int} call(s) at {string}', function (this: ChangesWorld, online: number, replica: string, otherOnline: number, other: string) {
	const counts = [replica, other].map(id => this.directory.get(id as ReplicaId)!.allOnline);
	assert.deepEqual(counts, [online, otherOnline]);
});

Then('the front lists only {string}', function (this: ChangesWorld, peer: string) {
	assert.deepEqual([...this.peers.names], [peer]);
});

Then('the front has read {int} check', function (this: ChangesWorld, count: number) {
	assert.equal(this.checksRead, count);
});

const reader = stateOf('front-2');
const earlier = stateOf('front-3', {readsChanges: undefined});
const joining = stateOf('front-4');
const registered = stateOf('front-5');

Given('a front with a peer that reads changes and a peer of an earlier build', function (this: ChangesWorld) {
	createTable(this);
	const clock = new SystemClock();
	this.sent = [];
	this.members = [reader.address, earlier.address];
	const announcer = this.register(new PeerAnnouncer({
		self,
		channel: {
			address: 'front-1:1',
			send: (addresses, method, params) => {
				this.sent.push({
					addresses, method, params: params as Message['params'], at: clock.now(),
				});
			},
		},
		peers: this.peers,
		directory: this.directory,
		loads: this.loads,
		quarantine: new Quarantine({clock, log}),
		partQuarantine: testPartQuarantine(clock),
		failedRuns: new FailedRuns({self, clock}),
		rateLimits: new RateLimits({
			clock, log, tolerance: 0, registeredCount: () => 3, livePeers: () => this.peers.names,
		}),
		sections: [],
		checks: () => undefined,
		clock,
		memberAddresses: () => this.members,
		claimedJobs: () => [],
		waitingItems: () => [],
		isLeaving: () => false,
		rpcAddress: () => 'front-1:2',
		reachesObjectApi: () => true,
	}));
	announcer.start();
	this.peers.receive(reader);
	this.peers.receive(earlier);
});

Given('a registered process that is not known as a peer', function (this: ChangesWorld) {
	this.members.push(registered.address);
});

When('its load changes continuously for {int} ms', async function (this: ChangesWorld, ms: number) {
	const clock = new SystemClock();
	const endAt = clock.now() + ms;
	const [replica] = this.directory.all;
	while (clock.now() < endAt) {
		this.loads.acquireSlot(replica!, 'online');
		await clock.sleep(10);
	}
});

When('a peer that reads changes joins', function (this: ChangesWorld) {
	this.joinedAt = new SystemClock().now();
	this.peers.receive(joining);
});

const sentTo = ({sent}: ChangesWorld, {address}: PeerState, method: string): Sent[] => sent.filter(message => message.method === method && message.addresses.includes(address));

Then('the peer that reads changes was sent a complete state at least every {int} ms, and more changes than that', function (this: ChangesWorld, ms: number) {
	const states = sentTo(this, reader, peerStateMethod);
	const gaps = states.slice(1).map(({at}, index) => at - states[index]!.at);
	assert.ok(states.length >= 3 && Math.max(...gaps) <= ms, `complete states ${gaps.map(Math.round).join(', ')} ms apart`);
	assert.ok(sentTo(this, reader, stateChangesMethod).length > states.length);
});

Then('the peer of the earlier build was sent only complete states, as many as both together', function (this: ChangesWorld) {
	assert.deepEqual(sentTo(this, earlier, stateChangesMethod), []);
	assert.equal(sentTo(this, earlier, peerStateMethod).length, sentTo(this, reader, peerStateMethod).length + sentTo(this, reader, stateChangesMethod).length);
});

Then('the registered process was sent as many complete states as the peer of the earlier build', function (this: ChangesWorld) {
	const count = sentTo(this, earlier, peerStateMethod).length;
	assert.ok(count > 8, `${count} complete states`);
	assert.ok(Math.abs(sentTo(this, registered, peerStateMethod).length - count) <= 1);
});

Then('it is sent a complete state within {int} ms', async function (this: ChangesWorld, ms: number) {
	await new SystemClock().sleep(ms);
	const [first] = sentTo(this, joining, peerStateMethod);
	assert.ok(first && first.at - this.joinedAt <= ms);
});

Given('a front with {int} requests at as many replicas, {int} of which begin or end each second', function (this: ChangesWorld, requests: number, perSecond: number) {
	this.requests = requests;
	this.perSecond = perSecond;
});

const bytesOf = (method: string, params: Readonly<Record<string, unknown>>): number => JSON.stringify(createJSONRPCNotification(method, params)).length;

/** Each change of load is at another replica, which is the worst case. */
const messagesOfInterval = ({requests, perSecond}: ChangesWorld, peers: number): {states: number; changes: number; count: number} => {
	const names = {
		address: '10.11.12.13:7660', rpcAddress: '10.11.12.13:7660', startedAt: 1_796_000_000_000, seq: 10_000, failureDomain: 'north-west-1a', keepsOrigins: true,
	};
	const loadAt = (index: number, online: number): SharedLoad => ({
		replica: `assistant-llm-${100 + index}` as ReplicaId, startedAt: 1_796_000_000_000, online, batch: 1,
	});
	const before = stateOf('front-north-west-123', {...names, loads: Array.from({length: requests}, (_, index) => loadAt(index, 1)), waiting: [{route: 'summaries', timely: 12, late: 3}]});
	const announced = new AnnouncedState(before);
	const delayMs = announcementDelayMs(peers);
	const count = Math.floor((heartbeatMs - 1) / delayMs);
	const changes = Array.from({length: count}, (_, index) => {
		const changed = Math.round((index + 1) * delayMs * perSecond / 1000);
		const loads = before.loads.map((load, at) => at < changed ? {...load, online: 2} : load);
		return bytesOf(stateChangesMethod, announced.changesTo({...before, loads}));
	});
	return {states: bytesOf(peerStateMethod, before), changes: changes.reduce((sum, bytes) => sum + bytes, 0), count};
};

/** @returns Bytes a second to all peers, with and without changes between the complete states. */
const announcedBytes = (world: ChangesWorld, peers: number): {bytes: number; completeBytes: number} => {
	const {states, changes, count} = messagesOfInterval(world, peers);
	const messages = 1000 / heartbeatMs * peers;
	const bytes = (states + changes) * messages;
	const completeBytes = states * (1 + count) * messages;
	world.log(`${peers} peers: state of ${states} B, ${count} changes of ${Math.round(changes / Math.max(1, count))} B; ${Math.round(bytes / 1000)} KB/s of ${Math.round(completeBytes / 1000)} KB/s`);
	return {bytes, completeBytes};
};

Then('it announces to {int} peers at most {int} % of the bytes of complete states', function (this: ChangesWorld, peers: number, percent: number) {
	const {bytes, completeBytes} = announcedBytes(this, peers);
	const share = 100 * bytes / completeBytes;
	assert.ok(share <= percent, `${share.toFixed(1)} %`);
});

Then('it announces to {int} peers at most {int} KB a second', function (this: ChangesWorld, peers: number, kilobytes: number) {
	const {bytes} = announcedBytes(this, peers);
	assert.ok(bytes <= 1000 * kilobytes, `${Math.round(bytes / 1000)} KB/s`);
});
