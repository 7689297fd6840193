/**
Steps for the reachability of replicas, with connections and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {ReplicaDirectory} from '../replica-directory.js';
import type {GatewayServiceName, ReplicaId, SoftwareVersion} from '../types.js';
import {ReplicaReachability} from './replica-reachability.js';

export type ReachabilityWorld = TestWorld & {
	reachability: ReplicaReachability;
	directory: ReplicaDirectory;
	now: number;
	canConnect: boolean;
	dials: number;
	answers: boolean[];
};

const log: EventLog = {emit: () => undefined};

const replicaOf = ({directory}: ReachabilityWorld, id: string) => directory.get(branded<ReplicaId>(id))!;

const reachabilityOf = (world: ReachabilityWorld) => world.reachability.of(replicaOf(world, 'r1'));

/** Longer than any process would wait, in milliseconds. */
const muchLaterMs = 1_000_000;

Given('replica {string} is known', function (this: ReachabilityWorld, id: string) {
	this.now = muchLaterMs;
	this.canConnect = true;
	this.dials = 0;
	this.directory = new ReplicaDirectory();
	this.directory.put({
		id: branded<ReplicaId>(id), service: branded<GatewayServiceName>('engines'), address: '127.0.0.1:1', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: 8, isDraining: false,
	});
	const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	this.reachability = this.register(new ReplicaReachability({
		directory: this.directory, clock, log, dial: async () => {
			this.dials += 1;
			return this.canConnect;
		},
	}));
});

Given('{int} connections were established within {int} ms each', function (this: ReachabilityWorld, count: number, ms: number) {
	Array.from({length: count}).forEach(() => {
		reachabilityOf(this).noteConnected(ms);
	});
});

Given('{int} connections were established within {int} and {int} ms alternately', function (this: ReachabilityWorld, count: number, fast: number, slow: number) {
	Array.from({length: count}).forEach((_, i) => {
		reachabilityOf(this).noteConnected(i % 2 === 0 ? fast : slow);
	});
});

Given('no connection can be established', function (this: ReachabilityWorld) {
	this.canConnect = false;
});

Given('{string} last sent bytes {int} ms ago', function (this: ReachabilityWorld, id: string, ms: number) {
	replicaOf(this, id).heardAt = this.now - ms;
});

When('a connection to {string} was not established in time', function (this: ReachabilityWorld, id: string) {
	this.reachability.noteUnreachable(replicaOf(this, id));
});

When('a call at {string} times out without a byte', function (this: ReachabilityWorld, id: string) {
	replicaOf(this, id).noteFailure(this.now);
});

When('connections can be established again', function (this: ReachabilityWorld) {
	this.canConnect = true;
});

When('{int} calls ask whether {string} can be reached', async function (this: ReachabilityWorld, count: number, id: string) {
	const replica = replicaOf(this, id);
	this.answers = await Promise.all(Array.from({length: count}, async () => this.reachability.of(replica).isReachable()));
});

When('{int} calls whose connections to {string} broke ask whether it has ended', async function (this: ReachabilityWorld, count: number, id: string) {
	const replica = replicaOf(this, id);
	this.answers = await Promise.all(Array.from({length: count}, async () => this.reachability.hasEnded(replica)));
});

Then('a connection may take {int} ms', function (this: ReachabilityWorld, ms: number) {
	assert.equal(reachabilityOf(this).connectTimeoutMs, ms);
});

Then('a connection may take between {int} and {int} ms', function (this: ReachabilityWorld, least: number, most: number) {
	const {connectTimeoutMs} = reachabilityOf(this);
	assert.ok(connectTimeoutMs > least && connectTimeoutMs <= most, String(connectTimeoutMs));
});

Then('{string} is excluded indefinitely', function (this: ReachabilityWorld, id: string) {
	assert.ok(replicaOf(this, id).isBackedOff(this.now + muchLaterMs));
});

Then('{string} is used again after another connection was tried', async function (this: ReachabilityWorld, id: string) {
	await until(() => !replicaOf(this, id).isBackedOff(this.now), `${id} is trusted`);
	assert.ok(this.dials > 0);
});

Then('the answer is {word}, after {int} connection(s) was/were tried', function (this: ReachabilityWorld, answer: string, dials: number) {
	assert.deepEqual(new Set(this.answers), new Set([answer === 'yes']));
	assert.equal(this.dials, dials);
});
