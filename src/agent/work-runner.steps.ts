/**
Steps for the runner of an agent's work, on an engine that lets go when the scenario says so.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Admission} from '../common/admission.js';
import {branded, type AccountName} from '../common/ids.js';
import type {WorkClass} from '../common/protocol.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SystemClock} from '../io/system-clock.js';
import {WorkRunner} from './work-runner.js';

type RunnerWorld = TestWorld & {runner: WorkRunner; itemRuns: number; endItem: (outcome: 'done' | 'cut') => void; endOnline: (outcome: 'done') => void; wasAborted: boolean};

const itemKey = 'item';

const ticket = (key: string, workClass: WorkClass) => ({
	key, workClass, account: branded<AccountName>('notes'), share: 1, costTokens: 10, deadlineAt: Number.POSITIVE_INFINITY,
});

const settle = async () => new Promise(resolve => {
	setImmediate(resolve);
});

Given('an agent whose engine runs {int} request(s) at once', function (this: RunnerWorld, maxRunning: number) {
	const admission = new Admission(new SystemClock(), {
		maxRunning, maxQueued: 5, tokensPerSecond: 1000, batchWeight: 1,
	});
	this.runner = this.register(new WorkRunner(admission, {emit: () => undefined}, new NoMetrics()));
	this.itemRuns = 0;
});

Given('a batch item runs there', function (this: RunnerWorld) {
	this.runner.submit({
		ticket: ticket(itemKey, 'batch'),
		run: async signal => {
			this.itemRuns += 1;
			signal.addEventListener('abort', () => {
				this.wasAborted = true;
			});
			return new Promise(resolve => {
				this.endItem = resolve;
			});
		},
		refuse: () => undefined,
	});
	assert.equal(this.itemRuns, 1);
});

When('an online request comes and the batch item is taken back', function (this: RunnerWorld) {
	this.runner.submit({
		ticket: ticket('caller', 'online'),
		run: async () => new Promise(resolve => {
			this.endOnline = resolve;
		}),
		refuse: () => undefined,
	});
	assert.equal(this.wasAborted, true);
});

When('the batch item is cancelled before the engine has let go of it', function (this: RunnerWorld) {
	this.runner.cancel(itemKey);
});

When('the engine has let go and the online request has ended', async function (this: RunnerWorld) {
	this.endItem('cut');
	await settle();
	this.endOnline('done');
	await settle();
	this.runner.advance();
});

Then('the batch item has run {int} time(s)', function (this: RunnerWorld, times: number) {
	assert.equal(this.itemRuns, times);
});

Then('nothing is left to run', function (this: RunnerWorld) {
	assert.equal(this.runner.size, 0);
});

When('the engine has let go of the batch item', async function (this: RunnerWorld) {
	this.endItem('cut');
	await settle();
});

Then('cancelling the batch item stops its run', function (this: RunnerWorld) {
	assert.equal(this.runner.cancel(itemKey), true);
});

Then('cancelling the batch item stops nothing', function (this: RunnerWorld) {
	assert.equal(this.runner.cancel(itemKey), false);
});
