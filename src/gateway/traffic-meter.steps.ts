/**
Steps for the bytes between failure domains.
*/
import assert from 'node:assert/strict';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {TrafficMeter} from './traffic-meter.js';

type TrafficWorld = TestWorld & {meter: TrafficMeter; reported: string[][]};

const peer = '10.0.0.1:1';
const replica = '10.0.0.2:1';

Given('a process in {string}, a peer in {string} and a replica in {string}', function (this: TrafficWorld, failureDomain: string, peerDomain: string, replicaDomain: string) {
	this.reported = [];
	this.meter = new TrafficMeter({
		failureDomain,
		domains: () => new Map([[peer, peerDomain], [replica, replicaDomain]]),
		metrics: {
			count: (_name, value = 1, {cause = '', domain = ''} = {}) => {
				this.reported.push([cause, domain, String(value)]);
			},
			gauge: () => undefined,
			timing: () => undefined,
		},
	});
});

When('it sends the peer {int} bytes of {string} and twice {int} bytes of {string} to the replica', function (this: TrafficWorld, bytes: number, cause: string, otherBytes: number, otherCause: string) {
	this.meter.add(cause, peer, bytes);
	this.meter.add(otherCause, replica, otherBytes);
	this.meter.add(otherCause, replica, otherBytes);
});

When('it sends an address that it does not know {int} bytes of {string}', function (this: TrafficWorld, bytes: number, cause: string) {
	this.meter.add(cause, '10.0.0.3:1', bytes);
});

When('the metrics are read', function (this: TrafficWorld) {
	this.meter.report();
	this.reported = [];
});

Then('it reports:', function (this: TrafficWorld, rows: DataTable) {
	this.meter.report();
	assert.deepEqual(this.reported, rows.raw());
});

Then('it reports nothing', function (this: TrafficWorld) {
	this.meter.report();
	assert.deepEqual(this.reported, []);
});
