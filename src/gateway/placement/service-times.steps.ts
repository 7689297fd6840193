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
};

const service = branded<GatewayServiceName>('engines');
const other = branded<GatewayServiceName>('desk');

/** Number of calls after which the mean is stable. */
const settlingCalls = 200;

Given('calls of a service take {int} ms', function (this: TimesWorld, ms: number) {
	this.times = new ServiceTimes();
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
