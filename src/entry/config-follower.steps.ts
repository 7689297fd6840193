/**
Steps for the followers of the configuration, on a network in memory.
*/
import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {AgentConfigFollower} from '../agent/config-follower.js';
import {ConfigTable} from '../common/config-table.js';
import type {Revision} from '../common/ids.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {SeededRandom} from '../io/seeded-random.js';
import {ConfigSnapshot} from './config-snapshot.js';
import {
	clock, ConfigFleet, modelKind, silentLog, type ConfigNode,
} from './testing/config-fleet.js';
import {apiNode} from './testing/config-network.js';

type ConfigWorld = TestWorld & {
	fleet: ConfigFleet;
	subject: ConfigNode;
	last: ConfigNode;
	agent: ConfigTable;
};

Given('{int} failure domains with {int} entries each that follow the configuration', function (this: ConfigWorld, domains: number, entries: number) {
	this.fleet = new ConfigFleet(this, domains, entries);
});

Given('model {string} has been put in force everywhere', async function (this: ConfigWorld, name: string) {
	await this.fleet.write(name);
	await until(() => this.fleet.allHave(name) && this.fleet.nodes.every(node => node.follower.isConnected), 'all entries have the first model');
	this.fleet.askers.clear();
});

Given('the watch of one watcher has gone silent', function (this: ConfigWorld) {
	this.subject = this.fleet.watchers[0]!;
	this.fleet.cut([this.subject.vm.address], [apiNode], 'silent');
});

Given('a watcher hears nobody but still answers the entries below it', async function (this: ConfigWorld) {
	this.subject = this.fleet.watchers[0]!;
	this.fleet.cut([this.subject.vm.address], [apiNode, ...this.fleet.entries.map(({address}) => address)], 'refused');
	await until(() => !this.subject.follower.isConnected, 'it knows that it is cut off');
});

Given('the links of all entries to the watchers of their own failure domain go silent', function (this: ConfigWorld) {
	this.fleet.followers.forEach(({vm}) => {
		const own = this.fleet.watchers.filter(watcher => watcher.vm.failureDomain === vm.failureDomain);
		this.fleet.cut([vm.address], own.map(watcher => watcher.vm.address), 'silent');
	});
});

Given('the third failure domain is cut off', function (this: ConfigWorld) {
	const inside = this.fleet.entries.filter(({failureDomain}) => failureDomain === 'd3').map(({address}) => address);
	const outside = this.fleet.entries.map(({address}) => address).filter(address => !inside.includes(address));
	this.fleet.cut(inside, [apiNode, ...outside], 'refused');
	this.fleet.cut(outside, inside, 'refused');
});

Given('every failure domain is cut off from the object API', function (this: ConfigWorld) {
	this.fleet.cut(this.fleet.entries.map(({address}) => address), [apiNode], 'refused');
});

Given('the object API is down for the entries', function (this: ConfigWorld) {
	this.fleet.api.down = true;
});

Given('all entries but one are gone', function (this: ConfigWorld) {
	this.subject = this.fleet.followers[0]!;
	this.last = this.fleet.watchers[0]!;
	this.fleet.nodes.filter(node => node !== this.last).forEach(node => {
		this.fleet.stopNode(node);
	});
});

Given('an entry keeps a snapshot with model {string}', async function (this: ConfigWorld, name: string) {
	const dataFolder = await mkdtemp(path.join(tmpdir(), 'citronyard-'));
	this.register(async () => rm(dataFolder, {recursive: true}));
	this.subject = {...this.fleet.followers[0]!, dataFolder};
	// One entry never hears of the change.
	this.last = this.fleet.watchers[0]!;
	this.fleet.cut([this.last.vm.address], [apiNode, ...this.fleet.entries.map(({address}) => address)], 'refused');
	await this.fleet.write(name);
	await until(() => this.fleet.hasModel(this.subject.table, name), 'the entry has the model');
	await new ConfigSnapshot(dataFolder, silentLog).write(this.subject.table);
});

Given('all entries but one that never heard of {string} are gone', function (this: ConfigWorld, name: string) {
	assert.equal(this.last.table.get(modelKind, name), undefined);
	this.fleet.nodes.filter(node => node !== this.last).forEach(node => {
		this.fleet.stopNode(node);
	});
});

Given('the object API is replaced by one that knows only an older {string}', async function (this: ConfigWorld, name: string) {
	await this.fleet.write(name);
	await until(() => this.fleet.allHave(name), 'the newer version is in force');
	const older = new FakeObjectApi();
	await older.create(modelKind, name, {name, isOld: true});
	const failing = older.watch.bind(older);
	// A watch from a version that the older one has not reached is answered as the real one does.
	older.watch = async (kinds, since, waitMs) => {
		older.compact();
		return since > 1 ? failing(kinds, 0 as Revision, waitMs) : failing(kinds, since, waitMs);
	};

	Object.assign(this.fleet.api, {
		list: older.list.bind(older), get: older.get.bind(older), watch: older.watch.bind(older),
	});
	// Watches that wait are woken.
	await this.fleet.api.create('ModelVersion', 'other', {});
	this.subject = this.fleet.watchers[0]!;
	this.fleet.stopNode(this.subject);
	this.fleet.askers.clear();
	this.fleet.startNode(this.subject.vm);
});

Given('an agent that asks an entry', async function (this: ConfigWorld) {
	const address = '10.0.1.200:80';
	this.agent = new ConfigTable();
	const follower = this.register(new AgentConfigFollower({
		api: this.fleet.network.apiOf(address, this.fleet.api),
		vmList: {read: async () => Right(this.fleet.entries)},
		clock, random: new SeededRandom(1), log: silentLog, table: this.agent, vm: 'vm-1', failureDomain: 'd1', ask: this.fleet.network.askerOf(address),
	}));
	void follower.run();
	await until(() => follower.isReady, 'the agent is ready');
});

When('model {string} is put', async function (this: ConfigWorld, name: string) {
	await this.fleet.write(name);
});

When('model {string} is put again', async function (this: ConfigWorld, name: string) {
	await this.fleet.write(name);
});

When('model {string} is deleted', async function (this: ConfigWorld, name: string) {
	await this.fleet.api.remove(modelKind, name);
	this.fleet.expected.delete(name);
});

When('the object API forgets its history', function (this: ConfigWorld) {
	this.fleet.api.compact();
});

When('the partition heals', function (this: ConfigWorld) {
	this.fleet.network.heal();
});

When('an entry is restarted with nothing kept', function (this: ConfigWorld) {
	this.subject ??= this.fleet.followers[0]!;
	this.fleet.stopNode(this.subject);
	this.subject = this.fleet.startNode(this.subject.vm);
});

When('the entry with the snapshot is restarted', function (this: ConfigWorld) {
	this.fleet.network.heal();
	this.subject = this.fleet.startNode(this.subject.vm, this.subject.dataFolder);
});

When('the watchers have asked it', async function (this: ConfigWorld) {
	await until(() => this.fleet.askers.size >= this.fleet.watchers.length, 'every watcher has asked');
});

When('its assignment and that of another VM are written', async function (this: ConfigWorld) {
	await this.fleet.api.create('Assignment', 'vm-2', {});
	await this.fleet.api.create('Assignment', 'vm-1', {});
});

Then('model {string} is in force everywhere', async function (this: ConfigWorld, name: string) {
	await until(() => this.fleet.allHave(name), `${name} is in force everywhere`);
});

Then('at most {int} nodes have asked the object API', function (this: ConfigWorld, count: number) {
	assert.ok(this.fleet.askers.size <= count, [...this.fleet.askers].join(' '));
});

Then('model {string} is in force at that watcher while its watch is still silent', async function (this: ConfigWorld, name: string) {
	await until(() => this.fleet.hasModel(this.subject.table, name), `${name} is in force there`);
});

Then('model {string} is in force everywhere but there', async function (this: ConfigWorld, name: string) {
	await until(() => this.fleet.nodes.filter(node => node !== this.subject).every(node => this.fleet.hasModel(node.table, name)), `${name} is in force everywhere but there`);
	assert.equal(this.subject.table.get(modelKind, name), undefined);
});

Then('the other failure domains know, and the third has {string} alone', async function (this: ConfigWorld, name: string) {
	const isOutside = ({vm}: ConfigNode) => vm.failureDomain !== 'd3';
	await until(() => this.fleet.nodes.filter(node => isOutside(node)).every(({table}) => table.get(modelKind, name) === undefined && table.list(modelKind).length === 1), 'the others know');
	assert.ok(this.fleet.nodes.filter(node => !isOutside(node)).every(({table}) => table.list(modelKind).map(object => object.name).join(' ') === name));
});

Then('all nodes have the same configuration', async function (this: ConfigWorld) {
	const isSame = ({table}: ConfigNode) => table.list(modelKind).length === this.fleet.expected.size && [...this.fleet.expected.keys()].every(name => this.fleet.hasModel(table, name));
	await until(() => this.fleet.nodes.every(node => isSame(node)), 'all nodes have the same configuration');
});

Then('it serves the configuration from peers', async function (this: ConfigWorld) {
	await until(() => this.subject.follower.isReady, 'it is ready');
	assert.ok(this.fleet.hasModel(this.subject.table, 'a'));
});

/** Rounds of asking in which a node that believed one peer alone would have become ready. */
const roundsAsked = 3;

const awaitRounds = async (world: ConfigWorld) => {
	let asked = 0;
	world.fleet.network.listen(world.last.vm.address, async poll => {
		asked += 1;
		return world.last.follower.answer(poll);
	});
	await until(() => asked >= roundsAsked, 'the one peer was asked several times');
	assert.equal(world.subject.follower.isReady, false);
	assert.equal(world.subject.table.revision, 0);
};

Then('it serves nothing until another peer is back', async function (this: ConfigWorld) {
	await awaitRounds(this);
	const other = this.fleet.startNode(this.fleet.entries.find(({name}) => name !== this.subject.vm.name && name !== this.last.vm.name)!);
	other.table.apply(this.last.table.changesSince(0 as Revision));
	this.fleet.api.down = false;
	await until(() => this.subject.follower.isReady, 'it is ready');
});

Then('it serves nothing until a peer with {string} is back', async function (this: ConfigWorld, name: string) {
	await awaitRounds(this);
	this.fleet.api.down = false;
	await until(() => this.fleet.hasModel(this.subject.table, name), 'it is ready with the model of the snapshot');
});

Then('model {string} is in force there', function (this: ConfigWorld, name: string) {
	assert.ok(this.fleet.hasModel(this.subject.table, name));
});

Then('model {string} is as it was everywhere', function (this: ConfigWorld, name: string) {
	assert.ok(this.fleet.nodes.filter(node => node.vm.name !== this.subject.vm.name).every(node => this.fleet.hasModel(node.table, name)));
});

Then('the agent has its own assignment and not the other', async function (this: ConfigWorld) {
	await until(() => this.agent.get('Assignment', 'vm-1') !== undefined, 'the agent has its assignment');
	assert.equal(this.agent.list('Assignment').length, 1);
});
