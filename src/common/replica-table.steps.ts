/**
Steps for the handling of the VM list by the replica table.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded, type Revision} from './ids.js';
import type {LoadReport} from './protocol.js';
import {ReplicaTable} from './replica-table.js';
import {ManualClock} from './testing/manual-clock.js';
import type {TestWorld} from './testing/test-world.js';
import type {VmEntry} from './types.js';

type TableWorld = TestWorld & {table: ReplicaTable};

const target = 'model:tyre-scribe';
const silentMs = 1000;

const namesIn = (text: string) => text.split(', ');

const vmEntry = (name: string): VmEntry => ({
	name: branded(name), role: 'backend', address: '127.0.0.1:1', failureDomain: branded('durgapur-hall'), state: 'live',
});

const report = (name: string): LoadReport => ({
	vm: branded(name),
	incarnation: branded('1'),
	at: 0,
	draining: false,
	serves: [target],
	running: 0,
	queued: 0,
	pendingTokens: 0,
	batchRunning: 0,
	batchRoom: 0,
	maxRunning: 8,
	configRevision: branded<Revision>(0),
});

Given('an entry with the replicas {string} from the VM list and their reports', function (this: TableWorld, names: string) {
	this.table = new ReplicaTable(new ManualClock(), silentMs);
	this.table.applyVmList(namesIn(names).map(vmEntry));
	namesIn(names).forEach(name => {
		this.table.applyReport(branded(name), report(name));
	});
});

When('a VM list without backend servers is read', function (this: TableWorld) {
	this.table.applyVmList([]);
});

When('a VM list with only {string} is read', function (this: TableWorld, names: string) {
	this.table.applyVmList(namesIn(names).map(vmEntry));
});

Then('{string} may get new work', function (this: TableWorld, names: string) {
	assert.deepEqual(this.table.routable(target).map(({vm}) => String(vm)).toSorted(), namesIn(names));
});
