/**
Steps for pauses of this process.
*/
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {PauseWatch} from './pause-watch.js';
import {SystemClock} from './system-clock.js';

type PauseWorld = TestWorld & {watch: PauseWatch};

const clock = new SystemClock();

/** The watch looks twice a second. */
const toleranceMs = 600;

const ageMs = ({watch}: PauseWorld): number => clock.now() - watch.earliest;

Given('a watch for pauses', function (this: PauseWorld) {
	this.watch = this.register(new PauseWatch(clock));
});

Then('an event that is handled now happened now', function (this: PauseWorld) {
	assert.ok(ageMs(this) < 1, `${ageMs(this)} ms`);
});

Then('an event that is handled now may have happened {int} ms ago', function (this: PauseWorld, ms: number) {
	const age = ageMs(this);
	assert.ok(age >= ms && age < ms + toleranceMs, `${age} ms`);
});

When('the event loop has run its timers', async () => {
	await pause(1);
});

When('{int} ms pass in which the process runs', async (ms: number) => {
	await pause(ms);
});
