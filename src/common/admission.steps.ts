/**
Steps for the admission class alone, on a manual clock.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Admission} from './admission.js';
import type {AdmissionStep, Ticket} from './admission-types.js';
import {branded, type AccountName} from './ids.js';
import type {WorkClass} from './protocol.js';
import {ManualClock} from './testing/manual-clock.js';
import type {TestWorld} from './testing/test-world.js';

type State = {readonly clock: ManualClock; readonly admission: Admission; readonly steps: AdmissionStep[]; offers: number; offered?: Ticket; refusal?: AdmissionStep};

const states = new WeakMap<TestWorld, State>();
const stateOf = (world: TestWorld) => states.get(world)!;
const costTokens = 100;
const farDeadlineMs = 1_000_000;

const ticketOf = (state: State, workClass: WorkClass, account: string, deadlineMs = farDeadlineMs): Ticket => {
	state.offers += 1;
	return {
		key: `${workClass}-${state.offers}`, workClass, account: branded<AccountName>(account), share: 1, costTokens, promptTokens: costTokens / 2, deadlineAt: state.clock.now() + deadlineMs,
	};
};

const offer = (state: State, ticket: Ticket) => {
	state.offered = ticket;
	state.refusal = state.admission.offer(ticket);
	state.steps.push(...state.admission.steps());
};

const hasStarted = (state: State, key: string) => state.steps.some(step => step.kind === 'start' && step.ticket.key === key);

/** Advances the clock while every running item gets its first token, so that the next may start. */
const settle = (state: State) => {
	Array.from({length: 40}).forEach(() => {
		state.steps.filter(step => step.kind === 'start').forEach(({ticket}) => {
			state.admission.progressed(ticket.key, 1);
		});
		state.clock.advance(1000);
		state.steps.push(...state.admission.steps());
	});
};

const offerOnline = (state: State, count: number, account: string) => {
	Array.from({length: count}).forEach(() => {
		offer(state, ticketOf(state, 'online', account));
	});
};

Given('an engine that runs {int} requests at once and an agent that queues up to {int}', function (this: TestWorld, maxRunning: number, maxQueued: number) {
	const clock = new ManualClock();
	const admission = new Admission(clock, {
		maxRunning, maxQueued, tokensPerSecond: 100_000, batchWeight: 0.3,
	});
	states.set(this, {
		clock, admission, steps: [], offers: 0,
	});
});

Given('{int} batch items are offered and as many start as allowed', function (this: TestWorld, count: number) {
	const state = stateOf(this);
	Array.from({length: count}).forEach(() => {
		offer(state, ticketOf(state, 'batch', 'notes'));
	});
	settle(state);
	assert.equal(state.admission.batchRunning, 8);
});

Given('{int} online requests of account {string} run', function (this: TestWorld, count: number, account: string) {
	offerOnline(stateOf(this), count, account);
	assert.equal(stateOf(this).admission.onlineRunning, count);
});

Given('an online request of account {string} runs', function (this: TestWorld, account: string) {
	const state = stateOf(this);
	offerOnline(state, 1, account);
	state.steps.filter(step => step.kind === 'preempt').forEach(({ticket}) => {
		state.admission.preempted(ticket.key);
	});
	state.steps.push(...state.admission.steps());
	assert.equal(state.admission.onlineRunning, 1);
});

Given('{int} online requests of account {string} wait', function (this: TestWorld, count: number, account: string) {
	offerOnline(stateOf(this), count, account);
	assert.equal(stateOf(this).admission.onlineQueued, count);
});

Given('the backend server takes {int} ms for each token', function (this: TestWorld, msPerToken: number) {
	const state = stateOf(this);
	const {admission, clock, steps} = state;
	Array.from({length: 2}).forEach(() => {
		clock.advance(costTokens * msPerToken);
		const running = steps.filter(step => step.kind === 'start').slice(-admission.onlineRunning);
		running.forEach(({ticket}) => {
			admission.finish(ticket.key);
			steps.push(...admission.steps());
			offerOnline(state, 1, ticket.account);
		});
	});
});

Given('an online request of account {string} has just ended', function (this: TestWorld, account: string) {
	const state = stateOf(this);
	offerOnline(state, 1, account);
	state.admission.finish(state.offered!.key);
	state.clock.advance(1);
});

When('{int} online requests of account {string} are offered and have their first tokens', function (this: TestWorld, count: number, account: string) {
	const state = stateOf(this);
	Array.from({length: count}).forEach(() => {
		offerOnline(state, 1, account);
		state.steps.filter(step => step.kind === 'start').forEach(({ticket}) => {
			state.admission.progressed(ticket.key, 1);
		});
	});
});

When('an online request of account {string} is offered', function (this: TestWorld, account: string) {
	offerOnline(stateOf(this), 1, account);
});

When('an online request of account {string} with a deadline of {int} ms is offered', function (this: TestWorld, account: string, deadlineMs: number) {
	const state = stateOf(this);
	offer(state, ticketOf(state, 'online', account, deadlineMs));
});

When('its tokens come every {int} ms without batch items and every {int} ms beside them, for {int} tokens', function (this: TestWorld, aloneMs: number, besideMs: number, tokens: number) {
	const state = stateOf(this);
	const {admission, clock, offered} = state;
	Array.from({length: tokens}).forEach(() => {
		clock.advance(admission.batchRunning > 0 ? besideMs : aloneMs);
		admission.progressed(offered!.key, 1);
		admission.steps().forEach(step => {
			if (step.kind === 'preempt') {
				admission.preempted(step.ticket.key);
			}
		});
	});
});

Then('the online request starts no later than when one batch item has left', function (this: TestWorld) {
	const state = stateOf(this);
	const preempted = state.steps.find(step => step.kind === 'preempt');
	assert.ok(preempted, 'no batch item was preempted');
	state.admission.preempted(preempted.ticket.key);
	state.steps.push(...state.admission.steps());
	assert.ok(hasStarted(state, state.offered!.key));
});

Then('the preempted batch items are queued again', function (this: TestWorld) {
	const {admission} = stateOf(this);
	assert.equal(admission.batchRunning + admission.batchQueued, 20);
});

Then('at most {int} batch item may run', function (this: TestWorld, most: number) {
	assert.ok(stateOf(this).admission.pacer.limit <= most, `${stateOf(this).admission.pacer.limit} may run`);
});

Then('{int} batch items may run {int} ms after the online request has ended', function (this: TestWorld, count: number, ms: number) {
	const {admission, clock, offered} = stateOf(this);
	admission.finish(offered!.key);
	clock.advance(ms);
	admission.steps();
	assert.equal(admission.pacer.limit, count);
});

Then('a request of account {string} is refused as {string}', function (this: TestWorld, account: string, reason: string) {
	const {refusal} = stateOf(this);
	assert.ok(refusal?.kind === 'refuse');
	assert.equal(refusal.ticket.account, account);
	assert.equal(refusal.reason, reason);
});

Then('the request of account {string} is the next to start', function (this: TestWorld, account: string) {
	const {admission, steps} = stateOf(this);
	admission.finish(steps.find(step => step.kind === 'start')!.ticket.key);
	const [next] = admission.steps();
	assert.equal(next?.ticket.account, account);
});

Then('{int} requests of account {string} run', function (this: TestWorld, count: number, account: string) {
	const started = stateOf(this).steps.filter(step => step.kind === 'start' && step.ticket.account === account);
	assert.equal(started.length, count);
});

Then('the request of account {string} has started', function (this: TestWorld, account: string) {
	const {offered} = stateOf(this);
	assert.equal(offered!.account, account);
	assert.ok(hasStarted(stateOf(this), offered!.key));
});

Then('it is not refused', function (this: TestWorld) {
	assert.equal(stateOf(this).refusal?.ticket.account, 'flood');
});

Then('it is refused as {string} with a retry time of at least {int} ms', function (this: TestWorld, reason: string, ms: number) {
	const {refusal, offered} = stateOf(this);
	assert.ok(refusal?.kind === 'refuse');
	assert.equal(refusal.ticket.key, offered!.key);
	assert.equal(refusal.reason, reason);
	assert.ok(refusal.retryAfterMs >= ms, `${refusal.retryAfterMs} ms`);
});

const longItemOf = (state: State) => state.steps.find(step => step.kind === 'start' && (step.ticket.promptTokens ?? 0) > costTokens)!.ticket;
const startsOf = (state: State, {key}: Ticket) => state.steps.filter(step => step.kind === 'start' && step.ticket.key === key).length;

/** Advances the clock while the online request, if it still runs, gets its tokens. */
const passTime = (state: State, ms: number) => {
	const slices = 20;
	const tokensPerSlice = 64;
	Array.from({length: slices}).forEach(() => {
		state.clock.advance(ms / slices);
		state.admission.progressed(state.offered!.key, tokensPerSlice);
		state.steps.push(...state.admission.steps());
	});
};

Given('a batch item with a prompt of {int} tokens has started', function (this: TestWorld, promptTokens: number) {
	const state = stateOf(this);
	offer(state, {...ticketOf(state, 'batch', 'notes'), promptTokens, costTokens: promptTokens + costTokens});
	assert.equal(startsOf(state, longItemOf(state)), 1);
});

Then('the long batch item is preempted', function (this: TestWorld) {
	const state = stateOf(this);
	const {key} = longItemOf(state);
	assert.ok(state.steps.some(step => step.kind === 'preempt' && step.ticket.key === key));
	state.admission.preempted(key);
	state.steps.push(...state.admission.steps());
});

Then('it does not start again while the online request runs', function (this: TestWorld) {
	const state = stateOf(this);
	passTime(state, 10_000);
	assert.equal(startsOf(state, longItemOf(state)), 1);
});

Then('it starts again {int} ms after the online request has ended', function (this: TestWorld, ms: number) {
	const state = stateOf(this);
	state.admission.finish(state.offered!.key);
	passTime(state, ms);
	assert.equal(startsOf(state, longItemOf(state)), 2);
});

Then('it starts again while the online request runs, {int} s after it was first held back', function (this: TestWorld, seconds: number) {
	const state = stateOf(this);
	passTime(state, seconds * 1000);
	assert.equal(state.admission.onlineRunning, 1);
	assert.equal(startsOf(state, longItemOf(state)), 2);
});
