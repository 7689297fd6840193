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
import type {GatewayServiceName, ReplicaId} from '../types.js';
import {ReplicaReachability} from './replica-reachability.js';

type ContactsWorld = TestWorld & {
	contacts: ReplicaReachability;
	directory: ReplicaDirectory;
	now: number;
	canConnect: boolean;
	dials: number;
	answers: boolean[];
};

const log: EventLog = {emit: () => undefined};

const replicaOf = ({directory}: ContactsWorld, id: string) => directory.get(branded<ReplicaId>(id))!;

const contactOf = (world: ContactsWorld) => world.contacts.of(replicaOf(world, 'r1'));

/** Longer than any process would wait, in milliseconds. */
const muchLaterMs = 1_000_000;

Given('replica {string} is known', function (this: ContactsWorld, id: string) {
	this.now = muchLaterMs;
	this.canConnect = true;
	this.dials = 0;
	this.directory = new ReplicaDirectory();
	this.directory.put({
		id: branded<ReplicaId>(id), service: branded<GatewayServiceName>('engines'), address: '127.0.0.1:1', failureDomain: 'hall', slots: 8, isDraining: false,
	});
	const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	this.contacts = this.register(new ReplicaReachability({
		directory: this.directory, clock, log, dial: async () => {
			this.dials += 1;
			return this.canConnect;
		},
	}));
});

Given('{int} connections were established within {int} ms each', function (this: ContactsWorld, count: number, ms: number) {
	Array.from({length: count}).forEach(() => {
		contactOf(this).noteConnected(ms);
	});
});

Given('{int} connections were established within {int} and {int} ms alternately', function (this: ContactsWorld, count: number, fast: number, slow: number) {
	Array.from({length: count}).forEach((_, i) => {
		contactOf(this).noteConnected(i % 2 === 0 ? fast : slow);
	});
});

Given('no connection can be established', function (this: ContactsWorld) {
	this.canConnect = false;
});

Given('{string} last sent bytes {int} ms ago', function (this: ContactsWorld, id: string, ms: number) {
	replicaOf(this, id).heardAt = this.now - ms;
});

When('a connection to {string} was not established in time', function (this: ContactsWorld, id: string) {
	this.contacts.noteUnreachable(replicaOf(this, id));
});

When('a call at {string} times out without a byte', function (this: ContactsWorld, id: string) {
	replicaOf(this, id).noteFailure(this.now);
});

When('connections can be established again', function (this: ContactsWorld) {
	this.canConnect = true;
});

When('{int} calls ask whether {string} can be reached', async function (this: ContactsWorld, count: number, id: string) {
	const replica = replicaOf(this, id);
	this.answers = await Promise.all(Array.from({length: count}, async () => this.contacts.of(replica).isReachable()));
});

When('{int} calls whose connections to {string} broke ask whether it has ended', async function (this: ContactsWorld, count: number, id: string) {
	const replica = replicaOf(this, id);
	this.answers = await Promise.all(Array.from({length: count}, async () => this.contacts.hasEnded(replica)));
});

Then('a connection may take {int} ms', function (this: ContactsWorld, ms: number) {
	assert.equal(contactOf(this).connectTimeoutMs, ms);
});

Then('a connection may take between {int} and {int} ms', function (this: ContactsWorld, least: number, most: number) {
	const {connectTimeoutMs: connectMs} = contactOf(this);
	assert.ok(connectMs > least && connectMs <= most, String(connectMs));
});

Then('{string} is excluded indefinitely', function (this: ContactsWorld, id: string) {
	assert.ok(replicaOf(this, id).isBackedOff(this.now + muchLaterMs));
});

Then('{string} is used again after another connection was tried', async function (this: ContactsWorld, id: string) {
	await until(() => !replicaOf(this, id).isBackedOff(this.now), `${id} is trusted`);
	assert.ok(this.dials > 0);
});

Then('the answer is {word}, after {int} connection(s) was/were tried', function (this: ContactsWorld, answer: string, dials: number) {
	assert.deepEqual(new Set(this.answers), new Set([answer === 'yes']));
	assert.equal(this.dials, dials);
});
