/**
Steps for the search for held jobs, with keepers that answer as told and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left, Right} from 'purify-ts/Either';
import {branded} from '../../common/ids.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {RpcClient, RpcTarget} from '../../io/rpc-client.js';
import type {BatchJobId} from '../types.js';
import {HeldJobSearch} from './held-job-search.js';

type SearchWorld = TestWorld & {
	search: HeldJobSearch;
	/** The answers of the keepers, by their addresses; `undefined` until the keepers are known. */
	answers: ReadonlyMap<string, string> | undefined;
	nowMs: number;
};

const job = branded<BatchJobId>('j1');

const unknownKeepers = 'not read yet';
const noKeepers = 'none registered';

const answersOf = (text: string): ReadonlyMap<string, string> | undefined => {
	const answers = text === noKeepers ? [] : text.split(', ');
	return text === unknownKeepers ? undefined : new Map(answers.map((answer, i) => [`keeper-${i}`, answer]));
};

Given('a search among keepers that answer {string}', function (this: SearchWorld, text: string) {
	this.nowMs = 0;
	this.answers = answersOf(text);
	const call = (async ({address}: RpcTarget) => {
		const answer = this.answers?.get(address);
		return answer === 'silent' ? Left({kind: 'silent', reason: 'no answer'}) : Right({isKnown: answer === 'yes'});
	}) as RpcClient['call'];
	this.search = new HeldJobSearch({
		rpc: {call}, keeperAddresses: () => this.answers && [...this.answers.keys()], toleratedLosses: 1, clock: {now: () => this.nowMs},
	});
});

When('it has been asked again and again for {int} s', async function (this: SearchWorld, seconds: number) {
	for (let second = 0; second < seconds; second += 1) {
		await this.search.mayBeHeld(job);
		this.nowMs += 1000;
	}
});

When('the keepers answer {string} once', async function (this: SearchWorld, text: string) {
	this.answers = answersOf(text);
	await this.search.mayBeHeld(job);
});

When('the keepers answer {string} from then on', function (this: SearchWorld, text: string) {
	this.answers = answersOf(text);
});

When('{int} s pass in which it is not asked', function (this: SearchWorld, seconds: number) {
	this.nowMs += seconds * 1000;
});

Then('a job may be held: {word}', async function (this: SearchWorld, expected: string) {
	assert.equal(await this.search.mayBeHeld(job), expected === 'yes');
});
