/**
Steps that run a request in a frontend with a broken part.
*/
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../common/ids.js';
import type {LoadReport} from '../common/protocol.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from '../io/http-client.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import {pauseProcess} from '../io/testing/pause-process.js';
import {serveOnLoopback} from '../io/testing/serve-on-loopback.js';
import type {Account} from './accounts.js';
import {CallSink} from './answer-sink.js';
import type {AttemptOutcome, AttemptPlace} from './attempt-client.js';
import {OnlineFrontend, type Exchange, type FrontendParts} from './online-frontend.js';
import type {RequestOutcome} from './online-work.js';

const account: Account = {name: branded('pit-gate'), share: 1, maxInFlight: 1};

type FrontendWorld = TestWorld & {frontend: OnlineFrontend; places: number; run: Promise<unknown>; outcome: RequestOutcome};

const run = async ({frontend}: FrontendWorld, headers: Record<string, string>): Promise<RequestOutcome> => {
	const exchange = {req: {headers}, res: new EventEmitter()} as unknown as Exchange;
	return frontend.run({
		id: branded('request-1'),
		account,
		work: {
			kind: 'call', target: 'tyre-status', method: 'GET', path: '/', headers: {}, bodyBase64: '',
		},
		idempotent: true,
		costTokens: 1,
	}, new CallSink(), exchange);
};

Given('an entry\'s frontend in which routing throws', function (this: FrontendWorld) {
	this.places = 0;
	const release = () => {
		this.places -= 1;
	};

	const begin = () => {
		this.places += 1;
		return Right(release);
	};

	// The table of replicas is missing, which routing reads first.
	this.frontend = new OnlineFrontend({clock: new SystemClock(), accounts: {begin}, deadlineMs: 1000} as unknown as FrontendParts);
});

Given('an entry\'s frontend whose agent answers, after which this process is paused for {int} ms', async function (this: FrontendWorld, ms: number) {
	const address = await serveOnLoopback(this, (_req, res) => {
		// After immediates come timers, and only then sockets.
		setImmediate(() => {
			res.end('{}');
			pauseProcess(ms);
		});
	});
	const http = this.register(new HttpClient());
	const incarnation = branded<LoadReport['incarnation']>('1');
	const load = {incarnation, at: 0} as unknown as LoadReport;
	this.frontend = new OnlineFrontend({
		clock: new SystemClock(),
		random: new SeededRandom(1),
		log: {emit: () => undefined},
		metrics: new NoMetrics(),
		accounts: {begin: () => Right(() => undefined)},
		replicas: {
			routable: () => [{vm: branded('engine-1'), address, load}],
			effectiveReportTimeoutMs: () => 0,
			began: () => undefined,
			ended: () => undefined,
			applyReport: () => undefined,
			prefixes: {cachedTokens: () => 0, confirmed: () => undefined},
		},
		client: {
			async begin(_attempt: unknown, {signal}: AttemptPlace): Promise<AttemptOutcome> {
				const sent = await http.send({
					address, method: 'GET', path: '/', timeoutMs: 10_000, signal,
				});
				return sent.isRight() ? {kind: 'end', end: {chunks: 0, load, cachedBlocks: []}} : {kind: 'aborted'};
			},
			revoke: async () => Right({state: 'running', incarnation}),
			cancel: async () => true,
		},
		deadlineMs: 10_000,
	} as unknown as FrontendParts);
});

When('a request with a deadline of {int} ms is run there', async function (this: FrontendWorld, ms: number) {
	this.outcome = await run(this, {'x-citronyard-deadline-ms': String(ms)});
});

Then('it has the whole answer', function (this: FrontendWorld) {
	assert.equal(this.outcome.kind, 'whole');
});

When('a request is run there', function (this: FrontendWorld) {
	this.run = run(this, {});
	this.run.catch(() => undefined);
});

Then('it rejects, its account\'s place is free, and nothing is open', async function (this: FrontendWorld) {
	await assert.rejects(this.run, TypeError);
	assert.deepEqual([this.places, this.frontend.open], [0, 0]);
});
