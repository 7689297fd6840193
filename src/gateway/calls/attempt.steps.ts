/**
Steps for one attempt at a replica, over a fake connection that the test controls.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Dispatcher} from 'undici';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {SystemClock} from '../../io/system-clock.js';
import {pauseProcess} from '../../io/testing/pause-process.js';
import type {CallDialect, ReplicaId} from '../types.js';
import {Attempt, type AttemptEnd, type AttemptConnection} from './attempt.js';

type AttemptWorld = TestWorld & {
	attemptConnection: FakeConnection;
	ends: AttemptEnd[];
	/** Number of reachability checks: one at each inactivity check but the last. */
	reachabilityChecks: number;
};

const dialect: CallDialect = {
	readCall: () => ({requestId: '', isResumed: false, promptParts: []}),
	readKey: () => ({kind: 'none'}),
	toReplica: headers => [...headers],
	readAnswer: (_status, headers) => ({requestId: headers['call-id'] as string | undefined, hasNotRun: headers['not-run'] !== undefined}),
};

/** A connection that is driven by the test and records what is done to it. */
class FakeConnection implements AttemptConnection {
	isNew = true;
	readonly done: string[] = [];
	handler!: Dispatcher.DispatchHandler;
	readonly controller = {
		rawHeaders: [],
		pause: () => undefined,
		resume: () => undefined,
		abort: () => {
			this.done.push('aborted');
		},
	} as unknown as Dispatcher.DispatchController;

	dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.handler = handler;
	}

	release(): void {
		this.done.push('released');
	}

	/** Like the HTTP library, fails a pending request before it returns. */
	discard(): void {
		this.done.push('discarded');
		this.handler.onResponseError?.(this.controller, new Error('destroyed'));
	}

	closeIdleSiblings(): void {
		this.done.push('idle siblings closed');
	}

	send(): void {
		this.handler.onRequestStart?.(this.controller, undefined);
	}

	answer(status: number, headers: Record<string, string>): void {
		this.handler.onResponseStart?.(this.controller, status, headers);
	}

	/** Like the connection pool, reports the reset of an answer without a length as an error. */
	reset(): void {
		this.handler.onResponseError?.(this.controller, new Error('reset within an answer without a length'));
	}

	end(): void {
		this.handler.onResponseEnd?.(this.controller, {});
	}
}

const begin = (world: AttemptWorld, id: string, overrides: {connectTimeoutMs?: number; silenceMs?: number; probeAfterMs?: number; isReachable?: boolean; isEligible?: boolean}) => {
	const {
		connectTimeoutMs = 60_000, silenceMs = 60_000, probeAfterMs = 60_000, isReachable = true, isEligible = true,
	} = overrides;
	world.attemptConnection = new FakeConnection();
	world.ends = [];
	world.reachabilityChecks = 0;
	const attempt = new Attempt({
		connection: world.attemptConnection,
		reachability: {
			connectTimeoutMs,
			probeAfterMs,
			noteConnected: () => undefined,
			noteBytes: () => undefined,
			async isReachable() {
				world.reachabilityChecks += 1;
				return isReachable;
			},
		},
		clock: new SystemClock(),
		dialect,
		message: {method: 'POST', target: '/', headers: []},
		fields: {requestId: id, replica: 'r1' as ReplicaId},
		timeouts: {silenceMs, canFailOver: true},
		isEligible: () => isEligible,
		listener: {
			onHead: () => undefined,
			onBytes: () => undefined,
			onEnd(end) {
				world.ends.push(end);
			},
		},
	});
	world.register(attempt);
	attempt.start();
};

Given('an attempt whose connection is never made', function (this: AttemptWorld) {
	begin(this, 'c1', {connectTimeoutMs: 5});
});

Given('an attempt for call {string}', function (this: AttemptWorld, id: string) {
	begin(this, id, {});
	this.attemptConnection.send();
});

Given('an attempt for call {string} with an inactivity time-out of {int} ms', function (this: AttemptWorld, id: string, silenceMs: number) {
	begin(this, id, {silenceMs});
	this.attemptConnection.send();
});

Given('an attempt for call {string} with an inactivity time-out of {int} ms, checked every {int} ms', function (this: AttemptWorld, id: string, silenceMs: number, probeAfterMs: number) {
	begin(this, id, {silenceMs, probeAfterMs});
	this.attemptConnection.send();
});

When('the process is paused for {int} ms within the attempt', pauseProcess);

Then('it was checked {int} times', function (this: AttemptWorld, times: number) {
	assert.equal(this.reachabilityChecks + 1, times);
});

Given('an attempt for call {string} at an unreachable replica', function (this: AttemptWorld, id: string) {
	begin(this, id, {probeAfterMs: 20, isReachable: false});
	this.attemptConnection.send();
});

Given('an attempt for call {string} at a busy replica', function (this: AttemptWorld, id: string) {
	begin(this, id, {probeAfterMs: 5, silenceMs: 60});
	this.attemptConnection.send();
});

Given('an attempt at a replica that is no longer eligible when its connection is made', function (this: AttemptWorld) {
	begin(this, 'c1', {isEligible: false});
	this.attemptConnection.send();
});

Then('its request was aborted before it was sent', function (this: AttemptWorld) {
	assert.ok(this.attemptConnection.done.includes('aborted'));
});

When('its connect time-out expires', async function (this: AttemptWorld) {
	await until(() => this.ends.length > 0, 'the attempt has ended');
});

When('an answer to {string} arrives', function (this: AttemptWorld, id: string) {
	this.attemptConnection.answer(200, {'call-id': id, 'content-length': '0'});
});

When('the replica states that it has not run the call', function (this: AttemptWorld) {
	this.attemptConnection.answer(503, {'call-id': 'c1', 'not-run': '1', 'content-length': '0'});
	this.attemptConnection.end();
});

When('an answer without a length arrives and its connection is reset', function (this: AttemptWorld) {
	this.attemptConnection.answer(200, {'call-id': 'c1'});
	this.attemptConnection.reset();
});

Then('it ended once, as {string}', async function (this: AttemptWorld, kind: AttemptEnd['kind']) {
	await until(() => this.ends.length > 0, 'the attempt has ended');
	assert.deepEqual(this.ends.map(end => end.kind), [kind]);
});

Then('its connection is closed', function (this: AttemptWorld) {
	assert.ok(this.attemptConnection.done.includes('discarded'));
});

Then('its connection is released', function (this: AttemptWorld) {
	assert.deepEqual(this.attemptConnection.done, ['released']);
});

Then('the other idle connections to the replica are closed', function (this: AttemptWorld) {
	assert.ok(this.attemptConnection.done.includes('idle siblings closed'));
});
