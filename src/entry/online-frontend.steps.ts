/**
Steps that run a request in a frontend with a broken part.
*/
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded} from '../common/ids.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import type {Account} from './accounts.js';
import {CallSink} from './answer-sink.js';
import {OnlineFrontend, type Exchange, type FrontendParts} from './online-frontend.js';

const account: Account = {name: branded('pit-gate'), share: 1, maxInFlight: 1};

type FrontendWorld = TestWorld & {frontend: OnlineFrontend; places: number; run: Promise<unknown>};

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

When('a request is run there', function (this: FrontendWorld) {
	const exchange = {req: {headers: {}}, res: new EventEmitter()} as unknown as Exchange;
	this.run = this.frontend.run({
		id: branded('request-1'),
		account,
		work: {
			kind: 'call', target: 'tyre-status', method: 'GET', path: '/', headers: {}, bodyBase64: '',
		},
		idempotent: true,
		costTokens: 1,
	}, new CallSink(), exchange);
	this.run.catch(() => undefined);
});

Then('it rejects, its account\'s place is free, and nothing is open', async function (this: FrontendWorld) {
	await assert.rejects(this.run, TypeError);
	assert.deepEqual([this.places, this.frontend.open], [0, 0]);
});
