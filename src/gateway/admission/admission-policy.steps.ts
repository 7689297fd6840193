/**
Steps for the decisions on single calls.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import type {RouteKind} from '../types.js';
import {decideAdmission, type AdmissionView} from './admission-policy.js';
import {admitsByTarget} from './admits-by-target.js';
import {expectedMinimum} from './expected-wait.js';
import {levelsByRank, waterLevel} from './fair-shares.js';
import {ReturnedCallers} from './returned-callers.js';
import {retryDelay, type RetryView} from './retry-delay.js';
import {WaitingLine, type LinePlace} from './waiting-line.js';

type Waiting = LinePlace & {readonly name: string};
type PolicyWorld = TestWorld & {line: WaitingLine<Waiting>; joined: Map<string, Waiting>; returns: number[]};

const numbersOf = (text: string): number[] => text.split(',').filter(part => part.trim() !== '').map(Number);

const usual: AdmissionView = {
	waitMs: 0, elapsedMs: 0, leftMs: 5000, targetMs: 300, isReturned: false, isOutranked: false, hasLeastShare: false, isPressing: false, isLasting: false, shareUsed: 0, isScarce: true,
};

const kinds: Readonly<Record<string, Partial<AdmissionView>>> = {
	'of anybody': {},
	'without scarcity': {isScarce: false},
	'that has come back': {isReturned: true},
	'that has come back to it': {isReturned: true, isLasting: true},
	'of an owner over its share': {shareUsed: 1},
	'of a pressing owner': {isPressing: true},
	'that is outranked': {isOutranked: true},
	'of the least share': {hasLeastShare: true, shareUsed: 2, isPressing: true},
};

const refusal: RetryView = {
	now: 1000, excessMs: 200, isDemandHigh: false, gapMs: 10, leftMs: 5000, promisedUntil: 0, draw: 0,
};

Then('a {word} call with a target of {int} ms to a service {string} is admitted {string}', (kind: RouteKind, target: number, service: string, rule: string) => {
	const [engine, press] = service.split(' engines whose callers ');
	assert.equal(admitsByTarget({admitsByTarget: press === 'press'}, {kind, latencyTargetMs: target}, engine === 'with' ? {engine} : {}), rule === 'by target');
});

Then('a call {string} that expects {int} ms after {int} ms is decided as {word}', (kind: string, waitMs: number, elapsedMs: number, expected: string) => {
	const decision = decideAdmission({
		...usual, ...kinds[kind]!, waitMs, elapsedMs,
	});
	assert.equal(decision.kind === 'refuse' ? decision.reason : decision.kind, expected);
});

Then('{int} slots for demands of {string} by weights of {string} are divided as {string}', (slots: number, demands: string, weights: string, shares: string) => {
	const claims = numbersOf(demands).map((demand, i) => ({demand, weight: numbersOf(weights)[i]!}));
	const level = waterLevel(slots, claims);
	assert.deepEqual(claims.map(({demand, weight}) => Math.min(demand, level * weight)), numbersOf(shares));
});

Then('of 100 slots, 2 owners of rank 0 that demand {int} each get {float} each, and 2 owners of rank 1 {float} each', (demand: number, firstShare: number, secondShare: number) => {
	const levels = levelsByRank(100, [1, 0, 1, 0].map(rank => ({rank, demand, weight: 1})));
	assert.deepEqual([levels.get(0), levels.get(1)], [firstShare, secondShare]);
});

Then('a caller with {int} ms left is told to come back after {int} to {int} ms while {word} calls arrive', (leftMs: number, least: number, most: number, load: string) => {
	const delays = [0, 0.5, 0.999].map(draw => retryDelay({
		...refusal, leftMs, isDemandHigh: load === 'many', draw,
	}).retryAfterMs);
	assert.ok(delays.every(delay => delay >= least && delay <= most), delays.join(', '));
});

When('{int} callers with {int} ms left are refused at once while few calls arrive', function (this: PolicyWorld, callers: number, leftMs: number) {
	const random = new SeededRandom(1);
	let promisedUntil = 0;
	this.returns = Array.from({length: callers}, () => {
		const delay = retryDelay({
			...refusal, leftMs, promisedUntil, draw: random.next(),
		});
		promisedUntil = delay.promisedUntil;
		return delay.retryAfterMs;
	});
});

Then('at most {int} of them return within the same {int} ms', function (this: PolicyWorld, most: number, windowMs: number) {
	const counts = this.returns.map(from => this.returns.filter(at => at >= from && at < from + windowMs).length);
	assert.ok(Math.max(...counts) <= most, String(Math.max(...counts)));
});

Given('a line for {int} calls and {int} bytes', function (this: PolicyWorld, maxCalls: number, maxBytes: number) {
	this.line = new WaitingLine({maxCalls, maxBytes});
	this.joined = new Map();
});

const join = (world: PolicyWorld, text: string): boolean => {
	const [, name, rank, bytes, returned] = /(\w+): rank (\d), (\d+) bytes(, returned)?/v.exec(text)!;
	const waiting = {
		name: name!, rank: Number(rank), bytes: Number(bytes), isReturned: returned !== undefined, arrivedAt: world.joined.size,
	};
	world.joined.set(waiting.name, waiting);
	return world.line.join(waiting);
};

When('the calls {string} join it', function (this: PolicyWorld, calls: string) {
	assert.ok(calls.split('; ').every(call => join(this, call)));
});

Then('the call {string} does not get in', function (this: PolicyWorld, call: string) {
	assert.equal(join(this, call), false);
});

Then('the call {string} gets in', function (this: PolicyWorld, call: string) {
	assert.equal(join(this, call), true);
});

When('{string} leaves', function (this: PolicyWorld, name: string) {
	assert.equal(this.line.leave(this.joined.get(name)!), true);
	assert.equal(this.line.leave(this.joined.get(name)!), false);
});

Then('the order of the line is {string}', function (this: PolicyWorld, order: string) {
	assert.equal(this.line.inOrder.map(({name}) => name).join(', '), order);
});

Then('waits of {string} with samples of {int} give {int} ms', (waits: string, size: number, expected: number) => {
	assert.equal(Math.round(expectedMinimum(numbersOf(waits), size)), expected);
});

Then('callers with {string} ms left have come back: {string}', (lefts: string, answers: string) => {
	const returned = new ReturnedCallers();
	assert.equal(numbersOf(lefts).map(left => returned.isReturned('r', left, 0) ? 'yes' : 'no').join(', '), answers);
});
