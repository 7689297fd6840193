/**
Steps for the freshness of objects, with a fake feed and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import type {Revision} from '../common/ids.js';
import type {Clock, EventLog, ObjectApi} from '../common/services.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {FeedFreshness} from './feed-freshness.js';
import {ObjectFeed} from './object-feed.js';

type FreshnessWorld = TestWorld & {
	now: number;
	confirmedAt: number;
	lastFailedCallAt: number | undefined;
	revision: Revision | undefined;
	reads: number;
	/** Outcome of the next reads. */
	read: () => Promise<boolean>;
	answers: EventEmitter;
	/** Answers the read that was not answered in time. */
	answerLate: () => void;
	freshness: FeedFreshness;
	waitedMs: number;
	feed: ObjectFeed;
};

const log: EventLog = {emit: () => undefined};
const maxAgeMs = 1900;
const revision = 1 as Revision;

const clockOf = (world: FreshnessWorld): Clock => ({now: () => world.now, wall: () => world.now, sleep: async () => undefined});

const never = once(new EventEmitter(), 'never') as Promise<never>;

const freshnessOf = (world: FreshnessWorld) => new FeedFreshness({
	kind: 'Registration',
	feed: {
		get revision() {
			return world.revision;
		},
		async syncOnNewConnection() {
			world.reads += 1;
			return world.read();
		},
	} as unknown as ObjectFeed,
	reachability: {
		get lastFailedCallAt() {
			return world.lastFailedCallAt;
		},
		onAnswer(listener) {
			world.answers.on('answer', listener);
		},
	},
	lastConfirmedAt: () => world.confirmedAt,
	clock: clockOf(world),
	log,
	maxAgeMs,
});

Given('objects that were just confirmed', function (this: FreshnessWorld) {
	this.now = 10_000;
	this.confirmedAt = this.now;
	this.lastFailedCallAt = undefined;
	this.revision = revision;
	this.reads = 0;
	this.answers = new EventEmitter();
	this.read = async () => {
		this.confirmedAt = this.now;
		return true;
	};

	this.freshness = freshnessOf(this);
});

Given('no objects were read yet', function (this: FreshnessWorld) {
	this.revision = undefined;
	this.confirmedAt = -Infinity;
});

const feedWith = (world: FreshnessWorld, api: Partial<ObjectApi>) => {
	world.feed = world.register(new ObjectFeed({
		api: api as ObjectApi,
		clock: clockOf(world),
		log,
		progress: {
			get readUntil() {
				return world.confirmedAt;
			},
		},
	}, 'Registration', {waitMs: 1000, mayLag: false}));
	world.feed.start();
};

const turn = async () => new Promise(resolve => {
	setImmediate(resolve);
});

const list = async () => Right({items: [], version: revision, more: false});

Given('a feed whose list was read {int} ms after it was requested', async function (this: FreshnessWorld, ms: number) {
	feedWith(this, {
		list: async () => {
			this.now += ms;
			return list();
		},
		watch: async () => never,
	});
	await until(() => this.feed.revision !== undefined, 'the list was read');
});

Given('a feed whose watch was answered, with the sockets last read {int} ms ago', async function (this: FreshnessWorld, ms: number) {
	let watches = 0;
	feedWith(this, {
		list,
		watch: async () => {
			watches += 1;
			if (watches > 1) {
				return never;
			}

			this.now += 5000;
			this.confirmedAt = this.now - ms;
			return Right({version: revision, events: []});
		},
	});
	await until(() => watches > 1, 'the watch was answered');
});

When('they have aged by {int} ms', function (this: FreshnessWorld, ms: number) {
	this.now += ms;
});

When('{int} calls wait for a read, and it is answered', async function (this: FreshnessWorld, calls: number) {
	await Promise.all(Array.from({length: calls}, async () => this.freshness.refresh()));
});

When('the object API has failed a call that began {int} ms ago', function (this: FreshnessWorld, ms: number) {
	this.lastFailedCallAt = this.now - ms;
});

When('a call waits for a read that is not answered', async function (this: FreshnessWorld) {
	const succeed = this.read;
	this.read = async () => new Promise(resolve => {
		this.answerLate = () => {
			resolve(true);
		};
	});
	const startedAt = performance.now();
	await this.freshness.refresh();
	this.waitedMs = performance.now() - startedAt;
	this.read = succeed;
});

/** @param meanwhile - Happens after the read has failed, and before the object API answers another call. */
const failOnce = async (world: FreshnessWorld, meanwhile: () => void = () => undefined) => {
	const succeed = world.read;
	world.read = async () => {
		world.read = succeed;
		return false;
	};

	const refreshed = world.freshness.refresh();
	await turn();
	meanwhile();
	await turn();
	world.answers.emit('answer');
	await refreshed;
};

When('a call waits for a read that fails, and the object API answers another call', async function (this: FreshnessWorld) {
	await failOnce(this);
});

When('a call waits for a read that fails, and meanwhile the previous read is answered, and the object API answers another call', async function (this: FreshnessWorld) {
	await failOnce(this, this.answerLate);
});

Then('work may be sent at once', function (this: FreshnessWorld) {
	assert.equal(this.freshness.isFresh, true);
});

Then('work may not be sent at once', function (this: FreshnessWorld) {
	assert.equal(this.freshness.isFresh, false);
});

Then('the objects were read once', function (this: FreshnessWorld) {
	assert.equal(this.reads, 1);
});

Then('the objects were read twice', function (this: FreshnessWorld) {
	assert.equal(this.reads, 2);
});

Then('the objects were read {int} times', function (this: FreshnessWorld, times: number) {
	assert.equal(this.reads, times);
});

Then('it has waited between {int} and {int} ms', function (this: FreshnessWorld, minMs: number, maxMs: number) {
	assert.ok(this.waitedMs >= minMs && this.waitedMs <= maxMs, String(this.waitedMs));
});

Then('its objects are {int} ms old', function (this: FreshnessWorld, ms: number) {
	assert.equal(this.now - this.feed.currentAsOf, ms);
});
