/**
Steps for the timeline, from log lines as the fronts write them.
*/
import assert from 'node:assert/strict';
import {Given, Then, type DataTable} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {gatewayEvents} from '../../gateway/log-events.js';
import {platformEvents} from '../../io/log-events.js';
import type {LogLine} from '../logs/log-line.js';
import {FleetTimeline, type TimelineSecond} from './fleet-timeline.js';

type TimelineWorld = TestWorld & {seconds: readonly TimelineSecond[]};

const events = {...gatewayEvents, ...platformEvents};

/** A whole second. */
const beganAt = 1_700_000_000_000;

const valueOf = (text: string): unknown => text === 'true' ? true : (Number.isNaN(Number(text)) ? text : Number(text));

const fieldsOf = (text: string): Record<string, unknown> => {
	const fields = text.split(' ').filter(Boolean).map(field => field.split('=') as [string, string]);
	return Object.fromEntries(fields.map(([name, value]): [string, unknown] => [name, valueOf(value)]));
};

const lineOf = ({at, node, event, fields}: Record<string, string>): LogLine => ({
	event: events[event as keyof typeof events].number, time: new Date(beganAt + Number(at)).toISOString(), node: node!, msg: '', fields: fieldsOf(fields!),
});

Given('the lines of a log', function (this: TimelineWorld, table: DataTable) {
	const timeline = new FleetTimeline();
	table.hashes().forEach(row => {
		timeline.take(lineOf(row));
	});
	this.seconds = timeline.seconds;
});

Then('the seconds are', function (this: TimelineWorld, table: DataTable) {
	const [titles = []] = table.raw();
	const found = this.seconds.map(second => Object.fromEntries(titles.map(title => [title, second[title as keyof TimelineSecond]])));
	const wanted = table.hashes().map(row => Object.fromEntries(titles.map(title => [title, Number(row[title])])));
	assert.deepEqual(found, wanted);
});

Then('there are no seconds', function (this: TimelineWorld) {
	assert.deepEqual(this.seconds, []);
});
