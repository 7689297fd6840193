/**
Steps for replicas that restart under their id, with the tables only.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../common/ids.js';
import type {EventLog} from '../common/services.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import {LoadBoard} from './load-board.js';
import type {PeerState} from './peers/peer-state.js';
import {PeerTable} from './peers/peer-table.js';
import {Quarantine} from './quarantine/quarantine.js';
import {testPartQuarantine} from './testing/part-quarantines.js';
import type {Replica} from './replica.js';
import {ReplicaDirectory} from './replica-directory.js';
import type {
	GatewayServiceName, MemberName, ReplicaId, ReplicaRecord, SoftwareVersion,
} from './types.js';

type DirectoryWorld = TestWorld & {
	directory: ReplicaDirectory;
	firstStart: Replica;
	peers: PeerTable;
	seq: number;
	changes: string[];
	ends: Array<() => void>;
};

const log: EventLog = {emit: () => undefined};

const recordOf = (id: string, startedAt: number): ReplicaRecord => ({
	id: branded<ReplicaId>(id), service: branded<GatewayServiceName>('engines'), address: '127.0.0.1:1', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: 8, isDraining: false, startedAt,
});

const replicaOf = ({directory}: DirectoryWorld, id: string) => directory.get(branded<ReplicaId>(id))!;

const stateOf = (peer: string, seq: number, overrides: Partial<PeerState>): PeerState => ({
	member: branded<MemberName>(peer), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq, isLeaving: false, loads: [], jobs: [], ...overrides,
});

const announce = (world: DirectoryWorld, peer: string, {online, replica, startedAt}: {online: number; replica: string; startedAt: number}) => {
	world.seq += 1;
	world.peers.receive(stateOf(peer, world.seq, {
		loads: [{
			replica: branded<ReplicaId>(replica), startedAt, online, batch: 0,
		}],
	}));
};

Given('replica {string} started at {int} is registered, with {int} own calls and {int} of peer {string}', function (this: DirectoryWorld, id: string, startedAt: number, own: number, others: number, peer: string) {
	this.directory = new ReplicaDirectory();
	this.directory.put(recordOf(id, startedAt));
	this.firstStart = replicaOf(this, id);
	this.changes = [];
	this.directory.onChange(({change}) => {
		this.changes.push(change);
	});
	const loads = new LoadBoard();
	this.peers = new PeerTable({
		self: branded<MemberName>('front-1'), directory: this.directory, loads, quarantine: new Quarantine({clock: new SystemClock(), log}), partQuarantine: testPartQuarantine(new SystemClock()), clock: new SystemClock(), log,
	});
	this.seq = 0;
	this.ends = Array.from({length: own}, () => loads.acquireSlot(replicaOf(this, id), 'online'));
	announce(this, peer, {online: others, replica: id, startedAt});
	assert.equal(replicaOf(this, id).total, own + others);
});

Given('connections to {string} have failed {int} times', function (this: DirectoryWorld, id: string, times: number) {
	Array.from({length: times}).forEach(() => {
		replicaOf(this, id).noteFailure(0);
	});
	assert.ok(replicaOf(this, id).isBackedOff(100));
});

When('{string} is registered as started at {int}', function (this: DirectoryWorld, id: string, startedAt: number) {
	this.directory.put(recordOf(id, startedAt));
});

When('{string} is registered at the same address, as started at {int}', function (this: DirectoryWorld, id: string, startedAt: number) {
	this.directory.put(recordOf(id, startedAt));
});

When('the registration of {string} ends', function (this: DirectoryWorld, id: string) {
	this.directory.remove(branded<ReplicaId>(id));
});

Then('{string} has been replaced: {word}', function (this: DirectoryWorld, id: string, expected: string) {
	assert.equal(this.directory.isReplaced(replicaOf(this, id)), expected === 'yes');
});

Then('the earlier start of "r1" has been replaced: {word}', function (this: DirectoryWorld, expected: string) {
	assert.equal(this.directory.isReplaced(this.firstStart), expected === 'yes');
});

When('the {int} own calls end', function (this: DirectoryWorld, _count: number) {
	this.ends.forEach(end => {
		end();
	});
});

When('peer {string} announces {int} call(s) at {string} started at {int}', function (this: DirectoryWorld, peer: string, online: number, replica: string, startedAt: number) {
	announce(this, peer, {online, replica, startedAt});
});

When('peer {string} announces {int} failure(s) in {int} requests at {string} started at {int}', function (this: DirectoryWorld, peer: string, failures: number, requests: number, replica: string, startedAt: number) {
	this.seq += 1;
	this.peers.receive(stateOf(peer, this.seq, {
		outcomes: [{
			replica: branded<ReplicaId>(replica), startedAt, requests, failures,
		}],
	}));
});

Then('{int} % of the requests at {string} are counted as failed', function (this: DirectoryWorld, percent: number, id: string) {
	const share = replicaOf(this, id).outcomes.failureShare(new SystemClock().now());
	assert.equal(Math.round(100 * share), percent);
});

Then('{int} call(s) is/are counted at {string}', function (this: DirectoryWorld, count: number, id: string) {
	assert.equal(replicaOf(this, id).total, count);
});

Then('{string} is not backed off', function (this: DirectoryWorld, id: string) {
	assert.equal(replicaOf(this, id).isBackedOff(100), false);
});

Then('the directory reported {string} for {string}', function (this: DirectoryWorld, changes: string, _id: string) {
	assert.equal(this.changes.join(', '), changes);
});
