/**
Steps for the bound on log lines.
*/
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import type {EventDefinition} from '../common/types.js';
import {PinoEventLog} from './pino-event-log.js';

type Line = {readonly event: number; readonly of?: number; readonly lines?: number};

type LogWorld = TestWorld & {eventLog: PinoEventLog; lines: Line[]};

const secondMs = 1000;

const events: Readonly<Record<string, EventDefinition>> = {
	refusals: {
		number: 1, level: 'info', text: 'refused', isRefusal: true,
	},
	calls: {number: 2, level: 'info', text: 'called'},
};

const other: EventDefinition = {...events.refusals!, number: 3};

When('{int} lines of an event of {word} are logged at once', function (this: LogWorld, count: number, kind: string) {
	this.lines = [];
	this.eventLog = new PinoEventLog({
		program: 'test', level: 'info', destination: {
			write: line => {
				this.lines.push(JSON.parse(line) as Line);
			},
		},
	});
	Array.from({length: count}).forEach(() => {
		this.eventLog.emit(events[kind]!);
	});
});

When('1 line of another event of refusals is logged', function (this: LogWorld) {
	this.eventLog.emit(other);
});

Then('{int} are written', function (this: LogWorld, count: number) {
	assert.equal(this.lines.length, count);
});

Then('the log tells that {int} were left out', async function (this: LogWorld, count: number) {
	await pause(secondMs + 100);
	const told = this.lines.filter(({event}) => event === 112);
	assert.equal(told.reduce((sum, {lines = 0}) => sum + lines, 0), count);
});

Then('the line of the other event is written', function (this: LogWorld) {
	assert.equal(this.lines.filter(({event}) => event === other.number).length, 1);
});
