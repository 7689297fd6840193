/**
Steps for the wait for a slot.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {Replica} from '../replica.js';
import type {GatewayServiceName, ReplicaId, SoftwareVersion} from '../types.js';
import {ServiceTimes} from './service-times.js';

type TimesWorld = TestWorld & {
	times: ServiceTimes;
	replicas: Replica[];
	factors: ReadonlyMap<Replica, number>;
};

const service = branded<GatewayServiceName>('engines');
const other = branded<GatewayServiceName>('desk');

/** Number of calls after which the mean is stable. */
const settlingCalls = 200;

Given('calls of a service take {int} ms', function (this: TimesWorld, ms: number) {
	this.factors = new Map();
	this.times = new ServiceTimes({factorOf: replica => this.factors.get(replica) ?? 1});
	Array.from({length: settlingCalls}).forEach(() => {
		this.times.recordDuration(service, ms);
	});
});

Given('its replicas of {int} slots have {string} calls and {string} items in flight', function (this: TimesWorld, slots: number, calls: string, items: string) {
	const batch = items.split(', ').map(Number);
	this.replicas = calls.split(', ').map((online, i) => {
		const replica = new Replica({
			id: branded<ReplicaId>(`r${i}`), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
		});
		replica.online = Number(online);
		replica.batch = batch[i]!;
		return replica;
	});
});

Then('a further call waits {int} ms for a slot', function (this: TimesWorld, ms: number) {
	assert.equal(Math.round(this.times.waitMs(service, this.replicas)), ms);
});

Then('a further call of another service waits {int} ms for a slot', function (this: TimesWorld, ms: number) {
	assert.equal(this.times.waitMs(other, this.replicas), ms);
});

Given('they take {float} and {float} times as long as usual', function (this: TimesWorld, first: number, second: number) {
	this.factors = new Map([[this.replicas[0]!, first], [this.replicas[1]!, second]]);
});

Given('first tokens take {int} ms for prompts of {int} tokens', function (this: TimesWorld, ms: number, promptTokens: number) {
	Array.from({length: settlingCalls}).forEach(() => {
		this.times.recordFirstToken(this.replicas[0]!, ms, {promptTokens});
	});
});

Then('a further call with {string} tokens expects its first token after {int} ms', function (this: TimesWorld, tokens: string, ms: number) {
	const size = tokens === '' ? undefined : {promptTokens: Number(tokens)};
	assert.equal(Math.round(Math.min(...this.replicas.map(replica => this.times.expectedFirstTokenMs(service, replica, size)))), ms);
});
