/**
Steps for items under which replicas crash, with the tables of one process and a clock of their own.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import type {Replica} from '../replica.js';
import {registrationOf} from '../testing/registrations.js';
import type {MemberName} from '../types.js';
import {ItemPauses} from './item-pauses.js';
import {PartQuarantine} from './part-quarantine.js';
import {Quarantine} from './quarantine.js';
import {TrackedContent} from './tracked-content.js';
import {TrackedItem, type TrackedItemParts} from './tracked-item.js';

type PausesWorld = {
	now: number;
	ended: number;
	parts: TrackedItemParts;
	item: TrackedItem;
	other: TrackedItem;
};

const log: EventLog = {emit: () => undefined};
const self = branded<MemberName>('front-1');

/** How many chunks, and how far apart in milliseconds, show that a replica goes on. */
const chunks = 10;
const chunkMs = 60;

const setUp = (world: PausesWorld) => {
	if (world.parts) {
		return;
	}

	world.now = 1000;
	world.ended = 0;
	const clock: Clock = {now: () => world.now, wall: () => world.now, sleep: async () => undefined};
	world.parts = {
		clock, log, quarantine: new Quarantine({clock, log}), itemPauses: new ItemPauses(clock), reachability: {hasEnded: async () => true}, partQuarantine: new PartQuarantine({
			self, clock, log, trialRank: () => 0,
		}),
	};
};

/** Ids of parts, separated by spaces, and the request's own. */
const requestOf = (parts: string) => ({
	content: {
		host: 'h', method: 'POST', target: '/', body: Buffer.from(parts),
	},
	promptParts: () => [...parts.split(' '), 'own'].map(id => ({id, tokens: 1})),
});

const endedReplica = (world: PausesWorld): Replica => {
	world.ended += 1;
	const replica: Pick<Replica, 'record'> = {record: registrationOf(`r${world.ended}`)};
	return replica as Replica;
};

const crashUnder = async (world: PausesWorld, tracked: Pick<TrackedItem, 'noteSent' | 'noteConnectionLost'>, count: number) => {
	for (let i = 0; i < count; i += 1) {
		world.now += i === 0 ? 0 : 400;
		tracked.noteSent();
		await tracked.noteConnectionLost(endedReplica(world));
	}
};

Given('an item with the parts {string} under which {int} replicas have crashed, 400 ms apart', async function (this: PausesWorld, parts: string, count: number) {
	setUp(this);
	this.item = new TrackedItem(this.parts, requestOf(parts));
	await crashUnder(this, this.item, count);
});

Given('another item with the parts {string}', function (this: PausesWorld, parts: string) {
	this.other = new TrackedItem(this.parts, requestOf(parts));
});

Given('calls with the parts {string} under which {int} replicas have crashed', async function (this: PausesWorld, parts: string, count: number) {
	setUp(this);
	await crashUnder(this, new TrackedContent(this.parts, requestOf(parts)), count);
});

When('{int} ms pass without a crash', function (this: PausesWorld, ms: number) {
	this.now += ms;
});

When('the item is sent', function (this: PausesWorld) {
	assert.ok(this.item.canBeSent);
	this.item.noteSent();
});

const answer = (world: PausesWorld, item: TrackedItem) => {
	Array.from({length: chunks}).forEach(() => {
		world.now += chunkMs;
		item.noteChunk();
	});
};

When('the item is answered for a while', function (this: PausesWorld) {
	answer(this, this.item);
});

Given('another item with the parts {string} that is answered', function (this: PausesWorld, parts: string) {
	this.other = new TrackedItem(this.parts, requestOf(parts));
	this.other.noteSent();
	answer(this, this.other);
});

When('2 other replicas crash under items with the parts {string}', async function (this: PausesWorld, parts: string) {
	await crashUnder(this, new TrackedItem(this.parts, requestOf(parts)), 2);
	assert.ok(!new TrackedItem(this.parts, requestOf(parts)).canBeSent);
});

When('the other item is answered on', function (this: PausesWorld) {
	this.other.noteChunk();
});

Then('the item may be sent', function (this: PausesWorld) {
	assert.ok(this.item.canBeSent);
});

Then('the item may not be sent', function (this: PausesWorld) {
	assert.ok(!this.item.canBeSent);
});

Then('the other item may be sent', function (this: PausesWorld) {
	assert.ok(this.other.canBeSent);
});

Then('the other item may not be sent', function (this: PausesWorld) {
	assert.ok(!this.other.canBeSent);
});

Then('an item with the parts {string} may be sent', function (this: PausesWorld, parts: string) {
	assert.ok(new TrackedItem(this.parts, requestOf(parts)).canBeSent);
});

Then('such calls are held back', function (this: PausesWorld) {
	assert.ok(!new TrackedContent(this.parts, requestOf('a b')).canBeSent);
});

Then('calls with the parts {string} and calls with the same content may be sent', function (this: PausesWorld, parts: string) {
	assert.ok(new TrackedContent(this.parts, requestOf(parts)).canBeSent);
	assert.ok(!this.parts.partQuarantine.hasSuspects && !this.parts.quarantine.hasSuspects);
});
