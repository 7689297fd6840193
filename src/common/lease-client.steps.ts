/**
Steps for leases whose objects are deleted.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from './ids.js';
import {LeaseClient} from './lease-client.js';
import {FakeObjectApi} from './testing/fake-object-api.js';
import {ManualClock} from './testing/manual-clock.js';
import type {TestWorld} from './testing/test-world.js';

type LeaseWorld = TestWorld & {clock: ManualClock; api: FakeObjectApi; clients: LeaseClient[]; fenceBefore: number};

const ttlMs = 1000;
const name = 'jobs-0';
const handovers = 3;

const clientOf = (world: LeaseWorld, self: string) => new LeaseClient(world.api, world.clock, {name, self: branded(self), ttlMs});

const acquireOrRenewAll = async ({clients}: LeaseWorld) => {
	for (const [rank, client] of clients.entries()) {
		await client.acquireOrRenew(rank);
	}
};

Given('two entries compete for a lease', async function (this: LeaseWorld) {
	this.clock = new ManualClock();
	this.api = new FakeObjectApi();
	this.clients = [clientOf(this, 'entry-1'), clientOf(this, 'entry-2')];
	await acquireOrRenewAll(this);
});

Given('the first holds it', async function (this: LeaseWorld) {
	const [first, second] = this.clients as [LeaseClient, LeaseClient];
	// Each change of the holder raises the fencing number.
	for (let handover = 0; handover < handovers; handover += 1) {
		await first.release();
		await second.acquireOrRenew(0);
		await second.release();
		await first.acquireOrRenew(0);
	}

	assert.ok(first.isHeld);
	this.fenceBefore = first.fence;
});

When('the lease\'s object is deleted and the first tries to renew it', async function (this: LeaseWorld) {
	await this.api.remove('Lease', name);
	await this.clients[0]!.acquireOrRenew(0);
});

When('the lease\'s object is deleted and a new entry tries to acquire it', async function (this: LeaseWorld) {
	await this.api.remove('Lease', name);
	const newcomer = clientOf(this, 'entry-3');
	await newcomer.acquireOrRenew(0);
	this.clients = [newcomer];
});

When('both try to acquire it before a lease\'s duration has passed', async function (this: LeaseWorld) {
	await acquireOrRenewAll(this);
	this.clock.advance(ttlMs - 1);
	await acquireOrRenewAll(this);
});

When('both try to acquire it after a lease\'s duration has passed', async function (this: LeaseWorld) {
	this.clock.advance(1);
	await acquireOrRenewAll(this);
});

Then('neither holds it', function (this: LeaseWorld) {
	assert.ok(this.clients.every(({isHeld}) => !isHeld));
});

Then('one holds it, with a higher fencing number', function (this: LeaseWorld) {
	const holders = this.clients.filter(({isHeld}) => isHeld);
	assert.equal(holders.length, 1);
	assert.ok(holders[0]!.fence > this.fenceBefore);
});

Then('the new entry\'s fencing number is higher', function (this: LeaseWorld) {
	assert.ok(this.clients[0]!.fence > this.fenceBefore);
});
