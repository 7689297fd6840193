/**
Steps for the story of an id, from log lines as the gateway writes them.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {EventDefinition} from '../../common/types.js';
import {gatewayEvents} from '../../gateway/log-events.js';
import {readLogLine} from '../logs/log-line.js';
import {storyOf} from './log-story.js';

type StoryWorld = TestWorld & {told: string[]};

const stepMs = 100;

const line = (at: number, node: string, {number, text}: EventDefinition, fields: Record<string, unknown>): string => JSON.stringify({
	level: 'info', time: new Date(1_700_000_000_000 + (at * stepMs)).toISOString(), program: 'citronyard-front', node, event: number, ...fields, msg: text,
});

const {
	admissionDecided, attemptFailed, callEnded, callerRefused, callRejected, callRouted, itemRunEnded, jobClaimChanged, jobSubmitted, resultsCommitted,
} = gatewayEvents;
const routed = (at: number) => line(at, 'front-1', callRouted, {
	id: 'c1', route: 'r', replica: 'i-7', attempt: 1,
});
const ended = (at: number, fields: Record<string, unknown>) => line(at, 'front-1', callEnded, {
	id: 'c1', route: 'r', elapsedMs: 80, ...fields,
});
const shed = (reason: string, fields: Record<string, unknown>) => [
	line(0, 'front-1', admissionDecided, {
		id: 'c1', route: 'r', outcome: 'refused', reason, rank: 0, waitMs: 210, elapsedMs: 3, targetMs: 300, running: 12, retryAfterMs: 700, ...fields,
	}),
	ended(1, {status: 503, reason}),
];
const submitted = (outcome: string) => line(0, 'front-1', jobSubmitted, {
	id: 'j1', items: 2, tokens: 400, waitingTokens: 900, cap: 1000, outcome,
});

const logs: Readonly<Record<string, readonly string[]>> = {
	'a stream that broke off': [
		ended(3, {status: 0, reason: 'the replica broke off'}),
		routed(0),
		line(2, 'front-1', attemptFailed, {
			id: 'c1', replica: 'i-7', kind: 'lost', reason: 'UND_ERR_SOCKET',
		}),
		line(1, 'front-1', callRouted, {id: 'c2'}),
	],
	'a call to replicas that were full': [
		routed(0),
		line(1, 'front-1', attemptFailed, {
			id: 'c1', replica: 'i-7', kind: 'refused', status: 503,
		}),
		line(2, 'front-1', attemptFailed, {
			id: 'c1', replica: 'i-8', kind: 'refused', status: 503,
		}),
		ended(3, {status: 503, reason: 'full'}),
	],
	'a call that could not get a place in its time': [ended(0, {status: 503, reason: 'hopeless'})],
	'a call that would have been late': shed('overdue', {}),
	'a call over its account\'s share of scarce slots': shed('overShare', {account: 'acme', share: 11}),
	'an outranked call whose caller came back': shed('overdue', {rank: 1, isOutranked: true, isReturned: true}),
	'a call that found the waiting line full': shed('lineFull', {}),
	'a call that is held back': [ended(0, {status: 503, reason: 'quarantined', content: 'c0ffee'})],
	'a call with a quarantined prompt part': [ended(0, {
		status: 503, reason: 'quarantined', content: 'c0ffee', heldParts: ['part-a1', 'part-b2'],
	})],
	'a call whose run was aborted for one': [routed(0), ended(1, {status: 502, reason: 'a part of its prompt was quarantined during its run', heldParts: ['part-b2']})],
	'a call that took longer than its route': [routed(0), ended(4, {status: 504, reason: 'time is up'})],
	'a call without a route': [line(0, 'front-1', callRejected, {
		id: 'c1', host: 'h', target: '/x', status: 404, configVersion: 9,
	})],
	'a call before the first configuration': [line(0, 'front-1', callRejected, {
		id: 'c1', host: 'h', target: '/x', status: 503,
	})],
	'a call with an unknown key': [line(0, 'front-1', callerRefused, {
		id: 'c1', reason: 'unknown', status: 401, configVersion: 9,
	})],
	'a call over its account\'s limit': [line(0, 'front-1', callerRefused, {
		id: 'c1', account: 'acme', reason: 'limit', status: 429, retryAfterMs: 300,
	})],
	'a caller that left': [routed(0), ended(1, {status: 0, reason: 'the caller left'})],
	'an item that lost its replica': [line(0, 'front-1', itemRunEnded, {job: 'j1', item: 'j1-0', outcome: 'lost'})],
	'a job that did not fit': [submitted('full')],
	'a job while the object API was away': [submitted('away')],
	'a job that moved to another front': [
		submitted('accepted'),
		line(1, 'front-1', jobClaimChanged, {job: 'j1', claimed: true}),
		line(2, 'front-1', itemRunEnded, {job: 'j1', item: 'j1-0', outcome: 'cut'}),
		line(3, 'front-2', jobClaimChanged, {job: 'j1', claimed: true}),
		line(4, 'front-2', itemRunEnded, {job: 'j1', item: 'j1-0', outcome: 'finished'}),
		line(5, 'front-2', resultsCommitted, {
			job: 'j1', page: 0, results: 1, outcome: 'written',
		}),
	],
};

Given('the logs of {}', function (this: StoryWorld, name: string) {
	const [plain = '', ...rest] = name.split(', each with a collector');
	const lines = logs[plain] ?? [];
	assert.ok(lines.length > 0, plain);
	this.told = rest.length > 0 ? [...lines.map(text => `12.5 front-1 ${text}`), 'garbage {', '{"event":"none"}', ''] : [...lines];
});

Then('the story of {string} has {int} lines and its cause tells: {}', function (this: StoryWorld, id: string, lines: number, cause: string) {
	const story = storyOf(id, this.told.flatMap(text => readLogLine(text) ?? []));
	assert.equal(story.lines.length, lines);
	assert.ok(story.cause?.includes(cause.trim()), story.cause);
});
