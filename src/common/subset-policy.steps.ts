/**
Steps for the choice of the replicas that an entry polls.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded, type FailureDomain, type VmName} from './ids.js';
import type {ReplicaView} from './replica-table.js';
import {chooseSubset} from './subset-policy.js';
import type {TestWorld} from './testing/test-world.js';

type SubsetWorld = TestWorld & {replicas: ReplicaView[]; entries: Array<{self: string; failureDomain: FailureDomain}>; before: ReadonlySet<VmName>; after: ReadonlySet<VmName>};

const perTarget = 16;

const domainOf = (index: number, domains: number): FailureDomain => branded(`domain-${index % domains}`);

const replicaAt = (index: number, domains: number): ReplicaView => ({
	vm: branded(`replica-${index}`),
	address: `127.0.0.1:${index + 1}`,
	failureDomain: domainOf(index, domains),
	leaving: false,
	load: undefined,
	heardAt: 0,
	ownInFlight: 0,
	ownTokensSince: 0,
	failures: 0,
});

const subsetOf = (world: SubsetWorld, entry = 0) => chooseSubset({
	...world.entries[entry]!, replicas: world.replicas, perTarget, targetsOf: () => ['model:tyre-scribe'],
});

const change = (world: SubsetWorld, fits: (replica: ReplicaView) => boolean, changes: Partial<ReplicaView>) => {
	world.replicas = world.replicas.map(replica => fits(replica) ? {...replica, ...changes} : replica);
	world.after = subsetOf(world);
};

Given('{int} entries and {int} replicas of one model in {int} failure domains', function (this: SubsetWorld, entries: number, replicas: number, domains: number) {
	this.replicas = Array.from({length: replicas}, (_, index) => replicaAt(index, domains));
	this.entries = Array.from({length: entries}, (_, index) => ({self: `entry-${index}`, failureDomain: domainOf(index, domains)}));
	this.before = subsetOf(this);
});

When('one of the entry\'s replicas leaves', function (this: SubsetWorld) {
	const [lost] = this.before;
	change(this, ({vm}) => vm === lost, {leaving: true});
});

When('one of the entry\'s replicas has failed {int} times in a row', function (this: SubsetWorld, failures: number) {
	const [failing] = this.before;
	change(this, ({vm}) => vm === failing, {failures});
});

When('all replicas of the entry\'s failure domain leave', function (this: SubsetWorld) {
	change(this, ({failureDomain}) => failureDomain === this.entries[0]!.failureDomain, {leaving: true});
});

Then('each entry has {int} replicas, at most {int} of them in its own failure domain', function (this: SubsetWorld, count: number, near: number) {
	const domains = new Map(this.replicas.map(({vm, failureDomain}) => [vm, failureDomain]));
	this.entries.forEach(({failureDomain}, index) => {
		const subset = [...subsetOf(this, index)];
		assert.equal(subset.length, count);
		assert.ok(subset.filter(vm => domains.get(vm) === failureDomain).length <= near);
	});
});

Then('each replica is chosen by at least {int} and at most {int} entries', function (this: SubsetWorld, least: number, most: number) {
	const counts = new Map<VmName, number>(this.replicas.map(({vm}) => [vm, 0]));
	this.entries.forEach((_, index) => {
		subsetOf(this, index).forEach(vm => {
			counts.set(vm, counts.get(vm)! + 1);
		});
	});
	const entriesPerReplica = [...counts.values()];
	assert.ok(Math.min(...entriesPerReplica) >= least && Math.max(...entriesPerReplica) <= most, `from ${Math.min(...entriesPerReplica)} to ${Math.max(...entriesPerReplica)}`);
});

Then('the entry has {int} replicas, {int} of them as before', function (this: SubsetWorld, count: number, same: number) {
	assert.equal(this.after.size, count);
	assert.equal([...this.after].filter(vm => this.before.has(vm)).length, same);
});
