/**
Steps for the announcements of unreachable replicas, with connections and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {setImmediate as immediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import {until} from '../../common/testing/until.js';
import type {ReplicaId} from '../types.js';
import type {ReachabilityWorld} from './replica-reachability.steps.js';
import {UnreachableAnnouncements} from './unreachable-announcements.js';

type AnnouncementsWorld = ReachabilityWorld & {
	exchange: UnreachableAnnouncements;
	announcements: number;
};

const earlierStart = 1;

const isExcluded = ({directory, now}: AnnouncementsWorld, id: string): boolean => directory.get(branded<ReplicaId>(id))!.isBackedOff(now);

Given('unreachable replicas are announced between processes', function (this: AnnouncementsWorld) {
	this.announcements = 0;
	this.exchange = this.register(new UnreachableAnnouncements({
		reachability: this.reachability, directory: this.directory, clock: {now: () => this.now}, announce: () => {
			this.announcements += 1;
		},
	}));
});

const receive = (world: AnnouncementsWorld, id: string, startedAt?: number) => {
	world.exchange.receive({unreachable: [{replica: branded<ReplicaId>(id), startedAt}]});
};

When('a peer announces that it could not reach {string}', function (this: AnnouncementsWorld, id: string) {
	receive(this, id);
});

When('{int} peers announce that they could not reach {string}', async function (this: AnnouncementsWorld, count: number, id: string) {
	for (let peer = 0; peer < count; peer += 1) {
		receive(this, id);
		await immediate();
	}
});

When('a peer announces that it could not reach an earlier start of {string}', function (this: AnnouncementsWorld, id: string) {
	receive(this, id, earlierStart);
});

Then('{string} soon gets no requests', async function (this: AnnouncementsWorld, id: string) {
	await until(() => isExcluded(this, id), 'the replica is excluded');
});

Then('{string} still gets requests', async function (this: AnnouncementsWorld, id: string) {
	await immediate();
	assert.equal(isExcluded(this, id), false);
});

Then('nothing is announced', function (this: AnnouncementsWorld) {
	assert.deepEqual(this.exchange.section(), {});
	assert.equal(this.announcements, 0);
});

Then('{int} connection(s) was/were tried', function (this: AnnouncementsWorld, count: number) {
	assert.equal(this.dials, count);
});

Then('{string} is announced at once, and again after {int} ms', function (this: AnnouncementsWorld, id: string, ms: number) {
	const expected = {unreachable: [{replica: id, startedAt: undefined}]};
	assert.equal(this.announcements, 1);
	assert.deepEqual(this.exchange.section(), expected);
	this.now += ms;
	assert.deepEqual(this.exchange.section(), expected);
});

Then('nothing is announced after {int} ms', function (this: AnnouncementsWorld, ms: number) {
	this.now += ms;
	assert.deepEqual(this.exchange.section(), {});
});
