/**
Steps for the agent's ledger.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from './ids.js';
import type {Incarnation} from './protocol.js';
import {RequestLedger, type IssuedAttempt, type LedgerReader} from './request-ledger.js';
import type {TestWorld} from './testing/test-world.js';

type Reading = LedgerReader & {readonly chunks: string[]; ended: string | undefined; wasReplaced: boolean};
type LedgerWorld = TestWorld & {now: number; ledger: RequestLedger; currentAttempt: IssuedAttempt; readings: Reading[]};

const startMs = 1_000_000;
const deadlineMs = 1000;
const attemptOf = (id: string): IssuedAttempt => ({id: branded(id), attempt: 1, issuedAt: startMs});

const readingOf = (name: string): Reading => ({
	name,
	chunks: [],
	ended: undefined,
	wasReplaced: false,
	chunk(index, data) {
		this.chunks.push(`${index}:${data}`);
	},
	end({event}) {
		this.ended = event;
	},
	replaced() {
		this.wasReplaced = true;
	},
});

const run = (world: LedgerWorld, id: string, chunks: string) => {
	const attempt = attemptOf(id);
	world.currentAttempt = attempt;
	assert.equal(world.ledger.begin(attempt, deadlineMs), 'new');
	world.ledger.start(attempt);
	chunks.split(',').forEach(chunk => {
		world.ledger.append(attempt, chunk);
	});
	world.ledger.end(attempt, {event: 'end', data: '{}'});
};

const read = (world: LedgerWorld, name: string, from: number) => {
	const reading = readingOf(name);
	world.readings.push(reading);
	return {reading, isRead: world.ledger.read(world.currentAttempt, from, reading)};
};

Given('a ledger that retains ended answers for {int} seconds and {int} bytes', function (this: LedgerWorld, seconds: number, bytes: number) {
	this.now = startMs;
	this.readings = [];
	const clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	this.ledger = new RequestLedger(clock, {retainMs: seconds * 1000, retainBytes: bytes}, branded<Incarnation>('first'));
});

When('the attempt {string} is revoked before it arrives', function (this: LedgerWorld, id: string) {
	this.currentAttempt = attemptOf(id);
	assert.equal(this.ledger.revoke(this.currentAttempt, deadlineMs).state, 'revoked');
});

When('the attempt {string} runs and ends with the chunks {string}', function (this: LedgerWorld, id: string, chunks: string) {
	run(this, id, chunks);
});

When('{int} attempts run and each ends with the chunks {string}', function (this: LedgerWorld, count: number, chunks: string) {
	Array.from({length: count}, (_, i) => String(i)).forEach(id => {
		run(this, id, chunks);
	});
});

When('{int} seconds pass', function (this: LedgerWorld, seconds: number) {
	this.now += seconds * 1000;
	this.ledger.sweep();
});

When('the attempt {string} begins and {string} and {string} read it', function (this: LedgerWorld, id: string, first: string, second: string) {
	this.currentAttempt = attemptOf(id);
	this.ledger.begin(this.currentAttempt, deadlineMs);
	this.ledger.start(this.currentAttempt);
	read(this, first, 0);
	read(this, second, 0);
});

When('it sends the chunk {string}', function (this: LedgerWorld, chunk: string) {
	this.ledger.append(this.currentAttempt, chunk);
});

When('it sends the chunk {string} and ends', function (this: LedgerWorld, chunk: string) {
	this.ledger.append(this.currentAttempt, chunk);
	this.ledger.end(this.currentAttempt, {event: 'end', data: '{}'});
});

When('{string} reads it again from chunk {int}', function (this: LedgerWorld, name: string, from: number) {
	read(this, name, from);
});

Then('the ledger reports its state as {string}', function (this: LedgerWorld, state: string) {
	assert.equal(this.ledger.revoke(this.currentAttempt, deadlineMs).state, state);
});

Then('the attempt {string} may not start', function (this: LedgerWorld, id: string) {
	assert.equal(this.ledger.begin(attemptOf(id), deadlineMs), 'revoked');
});

Then('a reader of {string} from chunk {int} gets nothing', function (this: LedgerWorld, id: string, from: number) {
	assert.equal(this.ledger.read(attemptOf(id), from, readingOf('late')), false);
});

Then('a reader of {string} from chunk {int} gets {string}', function (this: LedgerWorld, _id: string, from: number, event: string) {
	const {reading, isRead} = read(this, 'late', from);
	assert.deepEqual([isRead, reading.ended, reading.chunks], [true, event, []]);
});

Then('the ledger retains at most {int} bytes, also after a sweep', function (this: LedgerWorld, bytes: number) {
	assert.ok(this.ledger.endedBytes <= bytes);
	this.now += 20_000;
	this.ledger.sweep();
	assert.equal(this.ledger.endedBytes, 0);
});

Then('each of the {int} attempts is recorded as run', function (this: LedgerWorld, count: number) {
	const states = Array.from({length: count}, (_, i) => this.ledger.revoke(attemptOf(String(i)), deadlineMs).state);
	assert.deepEqual(new Set(states), new Set(['done']));
});

Then('{string} has the chunks {string} and the first reader of this name was replaced', function (this: LedgerWorld, name: string, chunks: string) {
	const [first, second] = this.readings.filter(reading => reading.name === name);
	assert.equal(first!.wasReplaced, true);
	assert.deepEqual([second!.chunks.join(','), second!.ended], [chunks, 'end']);
});

Then('{string} has the chunks {string}', function (this: LedgerWorld, name: string, chunks: string) {
	const reading = this.readings.find(other => other.name === name)!;
	assert.deepEqual([reading.chunks.join(','), reading.ended], [chunks, 'end']);
});
