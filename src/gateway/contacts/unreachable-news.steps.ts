/**
Steps for the news of unreachable replicas, with connections and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {setImmediate as immediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import {until} from '../../common/testing/until.js';
import type {ReplicaId} from '../types.js';
import type {ReachabilityWorld} from './replica-reachability.steps.js';
import {UnreachableNews} from './unreachable-news.js';

type NewsWorld = ReachabilityWorld & {
	news: UnreachableNews;
	announcements: number;
};

const earlierStart = 1;

const isExcluded = ({directory, now}: NewsWorld, id: string): boolean => directory.get(branded<ReplicaId>(id))!.isBackedOff(now);

Given('news of unreachable replicas are exchanged', function (this: NewsWorld) {
	this.announcements = 0;
	this.news = this.register(new UnreachableNews({
		reachability: this.reachability, directory: this.directory, clock: {now: () => this.now}, announce: () => {
			this.announcements += 1;
		},
	}));
});

const receive = (world: NewsWorld, id: string, startedAt?: number) => {
	world.news.receive({unreachable: [{replica: branded<ReplicaId>(id), startedAt}]});
};

When('a peer announces that it could not reach {string}', function (this: NewsWorld, id: string) {
	receive(this, id);
});

When('{int} peers announce that they could not reach {string}', async function (this: NewsWorld, count: number, id: string) {
	for (let peer = 0; peer < count; peer += 1) {
		receive(this, id);
		await immediate();
	}
});

When('a peer announces that it could not reach an earlier start of {string}', function (this: NewsWorld, id: string) {
	receive(this, id, earlierStart);
});

Then('{string} soon gets no requests', async function (this: NewsWorld, id: string) {
	await until(() => isExcluded(this, id), 'the replica is excluded');
});

Then('{string} still gets requests', async function (this: NewsWorld, id: string) {
	await immediate();
	assert.equal(isExcluded(this, id), false);
});

Then('nothing is announced', function (this: NewsWorld) {
	assert.deepEqual(this.news.section(), {});
	assert.equal(this.announcements, 0);
});

Then('{int} connection(s) was/were tried', function (this: NewsWorld, count: number) {
	assert.equal(this.dials, count);
});

Then('{string} is announced at once, and again after {int} ms', function (this: NewsWorld, id: string, ms: number) {
	const expected = {unreachable: [{replica: id, startedAt: undefined}]};
	assert.equal(this.announcements, 1);
	assert.deepEqual(this.news.section(), expected);
	this.now += ms;
	assert.deepEqual(this.news.section(), expected);
});

Then('nothing is announced after {int} ms', function (this: NewsWorld, ms: number) {
	this.now += ms;
	assert.deepEqual(this.news.section(), {});
});
