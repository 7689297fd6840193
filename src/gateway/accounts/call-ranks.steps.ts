/**
Steps for ranks of calls.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {GatewayServiceName} from '../types.js';
import {CallRanks} from './call-ranks.js';

type RanksWorld = TestWorld & {ranks: CallRanks};

Given('a call of rank {int} arrived at {string} {int} ms ago', function (this: RanksWorld, rank: number, service: string, agoMs: number) {
	let now = 0;
	this.ranks = new CallRanks({now: () => now} as unknown as Clock);
	this.ranks.note(branded<GatewayServiceName>(service), rank);
	now = agoMs;
});

Then('a call of rank {int} to {string} may spend {float} of its remaining time in a queue', function (this: RanksWorld, rank: number, service: string, share: number) {
	assert.equal(this.ranks.waitShareOf(branded<GatewayServiceName>(service), rank), share);
});
