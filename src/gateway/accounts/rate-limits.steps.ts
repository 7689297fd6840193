/**
Steps for rate limits, in virtual time.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {
	modelTolerance, modelWindowMs, simulateRateLimit, type RateLimitLoad, type RateLimitOutcome,
} from '../testing/rate-limit-model.js';
import type {ClientAccountName, RateLimit} from '../types.js';
import {RateLimits, type LimitDecision} from './rate-limits.js';

type LimitsWorld = TestWorld & {
	load: Partial<RateLimitLoad>;
	outcome: RateLimitOutcome;
	limits: RateLimits;
	limit: RateLimit;
	decisions: LimitDecision[];
	now: number;
};

const limit: RateLimit = {perSecond: 58, burst: 58};

/** Share of the limit that may be admitted in addition within a window. */
const overage = 0.1;

const mostAllowed = (((limit.perSecond * modelWindowMs / 1000) + limit.burst) * (1 + overage)) + modelTolerance;

/** Long enough for the bucket to be full, in milliseconds. */
const idleMs = 20_000;

const admit = (world: LimitsWorld, count: number): LimitDecision[] => Array.from({length: count}, () =>
	world.limits.admit({name: branded<ClientAccountName>('a'), accountKeys: [], rateLimit: world.limit}));

const admitted = (decisions: readonly LimitDecision[]): number => decisions.filter(decision => 'credit' in decision).length;

Given('{int} processes that announce their admitted calls to each other', function (this: LimitsWorld, processes: number) {
	this.load = {processes, limit, strategy: 'told'};
});

Given('{int} of them are partitioned from the others for {int} s', function (this: LimitsWorld, processes: number, seconds: number) {
	this.load = {...this.load, cut: {processes, from: 5000, until: 5000 + (seconds * 1000)}};
});

Given('all of them are restarted after {int} s', function (this: LimitsWorld, seconds: number) {
	this.load = {...this.load, restartAt: seconds * 1000};
});

When('an account makes {int} calls a second, {float} of them at the first process', function (this: LimitsWorld, perSecond: number, firstShare: number) {
	this.outcome = simulateRateLimit({
		...this.load as RateLimitLoad, perSecond, firstShare, random: new SeededRandom(1),
	});
});

Then('no window holds more than the limit allows', function (this: LimitsWorld) {
	assert.ok(this.outcome.maxInWindow <= mostAllowed, `${this.outcome.maxInWindow} of ${mostAllowed}`);
});

Then('at least {float} of the calls that the limit allows are served', function (this: LimitsWorld, share: number) {
	assert.ok(this.outcome.servedShare >= share, String(this.outcome.servedShare));
});

Given('one process and an account with {int} calls a second and a burst of {int} that has been idle', function (this: LimitsWorld, perSecond: number, burst: number) {
	this.now = 0;
	this.limit = {perSecond, burst};
	const clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined} as unknown as Clock;
	this.limits = new RateLimits({
		clock, log: {emit: () => undefined}, tolerance: 0, registeredCount: () => 1, livePeers: () => new Set(),
	});
	this.now = idleMs;
});

When('its limit becomes {int} calls a second and a burst of {int}', function (this: LimitsWorld, perSecond: number, burst: number) {
	admit(this, 1);
	this.limit = {perSecond, burst};
});

Then('at most {int} of {int} calls at once are admitted', function (this: LimitsWorld, most: number, calls: number) {
	const count = admitted(admit(this, calls));
	assert.ok(count <= most, String(count));
});

Then('at least {int} of {int} calls at once are admitted', function (this: LimitsWorld, least: number, calls: number) {
	const count = admitted(admit(this, calls));
	assert.ok(count >= least, String(count));
});

When('{int} calls are admitted and then rejected for another reason', function (this: LimitsWorld, calls: number) {
	admit(this, calls).forEach(decision => {
		assert.ok('credit' in decision);
		decision.credit.refund();
	});
});

When('{int} calls arrive at once', function (this: LimitsWorld, calls: number) {
	this.decisions = admit(this, calls);
});

Then('the rejected ones are told to retry one after the other, {int} ms apart', function (this: LimitsWorld, ms: number) {
	const waits = this.decisions.flatMap(decision => 'credit' in decision ? [] : [decision.retryAfterMs]);
	assert.ok(waits.length > 10, String(waits.length));
	waits.slice(1).forEach((wait, i) => {
		assert.ok(Math.abs(wait - waits[i]! - ms) < 1, waits.join(' '));
	});
});
