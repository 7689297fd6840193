import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BackendServer} from '../../typings/resources.js';
import {ConfigTable} from '../common/config-table.js';
import {branded, type Revision} from '../common/ids.js';
import {ReplicaTable} from '../common/replica-table.js';
import {ManualClock} from '../common/testing/manual-clock.js';
import type {TestWorld} from '../common/testing/test-world.js';
import type {VmEntry, WatchEvent} from '../common/types.js';
import {ReplicaSubset} from './replica-subset.js';

type SubsetWorld = TestWorld & {subset: ReplicaSubset; isHolder: boolean};

const silentMs = 1000;

const vmNamed = (name: string): VmEntry => ({
	name: branded(name), role: 'backend', address: '127.0.0.1:1', failureDomain: branded('recife-a'), state: 'live',
});

const backendNamed = (name: string, version: number): WatchEvent => {
	const value: BackendServer = {
		apiVersion: 'citronyard/v1', kind: 'BackendServer', metadata: {name}, spec: {type: 'engine', models: ['modelos-aviso']},
	};
	return {
		type: 'put', kind: 'BackendServer', name, version: branded<Revision>(version), value,
	};
};

Given('an entry that keeps in touch with {int} of {int} replicas of a model', function (this: SubsetWorld, perTarget: number, count: number) {
	const names = Array.from({length: count}, (_, index) => `engine-${index}`);
	const replicas = new ReplicaTable(new ManualClock(), silentMs);
	const config = new ConfigTable();
	replicas.applyVmList(names.map(vmNamed));
	config.apply({
		full: true, since: branded<Revision>(0), revision: branded<Revision>(count), head: branded<Revision>(count), events: names.map((name, index) => backendNamed(name, index + 1)),
	});
	this.isHolder = false;
	this.subset = new ReplicaSubset(replicas, config, {self: 'entry-1', failureDomain: branded('recife-a'), perTarget}, () => this.isHolder);
});

When('it takes the lease of placement', function (this: SubsetWorld) {
	this.isHolder = true;
});

When('it loses the lease of placement', function (this: SubsetWorld) {
	this.isHolder = false;
});

Then('it asks {int} replicas', function (this: SubsetWorld, count: number) {
	assert.equal(this.subset.current.size, count);
});
