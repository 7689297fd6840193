/**
Steps for the slots that a process takes, on tables in memory and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {LoadBoard} from '../load-board.js';
import type {SharedWaiting} from '../peers/peer-state.js';
import {PeerTable} from '../peers/peer-table.js';
import {Quarantine} from '../quarantine/quarantine.js';
import {testPartQuarantine} from '../testing/part-quarantines.js';
import {RelativePaces} from '../placement/relative-paces.js';
import {ReplicaDirectory} from '../replica-directory.js';
import type {ReplicaConnectionPools} from '../replica-connection-pools.js';
import type {
	GatewayRoute, GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import {initialRunEstimate, countWaiting} from './batch-policy.js';
import {SlotFinder, type SlotRequest} from './slot-finder.js';

type FinderWorld = TestWorld & {
	now: number;
	peers: PeerTable;
	finder: SlotFinder;
	taken: number;
};

const log: EventLog = {emit: () => undefined};
const service = branded<GatewayServiceName>('engines');
const route = {name: 'notes', kind: 'batch', targets: [{service, weight: 1}]} as unknown as GatewayRoute;

const addReplica = (directory: ReplicaDirectory, id: string, slots: number) => {
	directory.put({
		id: branded<ReplicaId>(id), service, address: '127.0.0.1:1', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
	});
	return directory.get(branded<ReplicaId>(id))!;
};

const announce = ({peers}: FinderWorld, member: string, waiting: readonly SharedWaiting[] | undefined) => {
	peers.receive({
		member: branded<MemberName>(member), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq: 1, isLeaving: false, loads: [], jobs: [], waiting,
	});
};

Given('a replica of {int} slots with {int} calls, and one of {int} slots without any', function (this: FinderWorld, slots: number, online: number, otherSlots: number) {
	this.now = 0;
	const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	const directory = new ReplicaDirectory();
	addReplica(directory, 'r1', slots).online = online;
	addReplica(directory, 'r2', otherSlots);
	this.peers = new PeerTable({
		self: branded<MemberName>('front-1'), directory, loads: new LoadBoard(), quarantine: new Quarantine({clock, log}), partQuarantine: testPartQuarantine(clock), clock, log,
	});
	this.finder = new SlotFinder({
		directory, connectionPools: {} as unknown as ReplicaConnectionPools, peers: this.peers, waves: {of: () => undefined}, clock, random: new SeededRandom(1), failureDomain: 'hall', paces: new RelativePaces({replicasOf: name => directory.takingWork(name), clock}),
	});
});

Given('peer {string} announces {int} timely and {int} late items', function (this: FinderWorld, member: string, timely: number, late: number) {
	announce(this, member, [{route: route.name, timely, late}]);
});

Given('peer {string} announces {int} timely and {int} late items of another route', function (this: FinderWorld, member: string, timely: number, late: number) {
	announce(this, member, [{route: 'digests', timely, late}]);
});

Given('peer {string} announces nothing about its items', function (this: FinderWorld, member: string) {
	announce(this, member, undefined);
});

const checkIntervalMs = 250;

Given('it has been unresponsive for {int} seconds', function (this: FinderWorld, seconds: number) {
	// A front checks for unresponsive peers several times a second; a longer time without a check counts as a pause of the front itself.
	for (let passedMs = 0; passedMs < 1000 * seconds; passedMs += checkIntervalMs) {
		this.now += checkIntervalMs;
		this.peers.removeUnresponsive();
	}
});

const requestSlots = (world: FinderWorld, {items, dueInMs, times}: {items: number; dueInMs: number; times: number}) => {
	const request: SlotRequest = {
		route, dueAt: world.now + dueInMs, events: 0, failedReplicas: new Set(), softwareVersion: undefined, needsNewConnection: false,
	};
	const own = countWaiting(Array.from({length: items}, () => request), initialRunEstimate, world.now);
	world.taken = Array.from({length: times}, () => world.finder.slotAllowance(request, own, initialRunEstimate)).reduce((sum, slots) => sum + slots, 0) / times;
};

When('{int} late items request slots {int} times', function (this: FinderWorld, items: number, times: number) {
	requestSlots(this, {items, dueInMs: -1000, times});
});

When('{int} items that are due in {int} seconds request slots {int} times', function (this: FinderWorld, items: number, seconds: number, times: number) {
	requestSlots(this, {items, dueInMs: 1000 * seconds, times});
});

Then('they may take {float} slots at a time on average', function (this: FinderWorld, slots: number) {
	assert.ok(Math.abs(this.taken - slots) <= 0.1, String(this.taken));
});
