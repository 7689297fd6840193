/**
Steps for the initial configuration of a node that stores a snapshot.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Left, Right} from 'purify-ts/Either';
import {loadInitialConfig, type PollNode, type InitialConfig} from './config-bootstrap.js';
import {ConfigTable, type ConfigChanges} from './config-table.js';
import {branded, type Revision} from './ids.js';
import {ManualClock} from './testing/manual-clock.js';
import type {TestWorld} from './testing/test-world.js';
import type {WatchEvent} from './types.js';

type BootstrapWorld = TestWorld & {
	snapshot: ConfigChanges;
	peers: readonly string[];
	ask: PollNode;
	api: ConfigChanges | undefined;
	initial: InitialConfig | undefined;
};

const rounds = 3;
const kind = 'ServedModel';

/** A complete configuration of models written as `name@version`. */
const configAt = (revision: number, models: string): ConfigChanges => {
	const events = models.split(' ').map((model): WatchEvent => {
		const [name = '', version] = model.split('@');
		return {
			type: 'put', kind, name, version: branded<Revision>(Number(version)), value: {},
		};
	});
	return {
		full: true, since: branded<Revision>(0), revision: branded<Revision>(revision), head: branded<Revision>(revision), events,
	};
};

Given('a snapshot at revision {int} with models {string}', function (this: BootstrapWorld, revision: number, models: string) {
	this.snapshot = configAt(revision, models);
});

Given('the object API is down and two peers are at revision {int} with models {string}', function (this: BootstrapWorld, revision: number, models: string) {
	const table = new ConfigTable();
	table.apply(configAt(revision, models));
	this.peers = ['1:1', '2:2'];
	this.ask = async (_peer, {since, scope}) => Right({
		...table.changesSince(since, scope), isReady: true, isConnected: false, digest: table.digest(scope),
	});
});

Given('the object API is at revision {int} with models {string} and there are no peers', function (this: BootstrapWorld, revision: number, models: string) {
	this.api = configAt(revision, models);
	this.peers = [];
});

When('the entry starts', async function (this: BootstrapWorld) {
	let round = 0;
	const clock = new ManualClock();
	clock.sleep = async () => undefined;
	this.initial = await loadInitialConfig({
		clock,
		random: {next: () => 0},
		node: 'entry-1',
		ask: this.ask,
		peers: () => this.peers,
		readApi: async () => this.api ? Right(this.api) : Left('down'),
		prefersApi: () => true,
		snapshot: this.snapshot,
	}, () => {
		round += 1;
		return round > rounds;
	});
});

Then('it waits', function (this: BootstrapWorld) {
	assert.equal(this.initial, undefined);
});

Then('it has models {string} at revision {int}', function (this: BootstrapWorld, names: string, revision: number) {
	const table = new ConfigTable();
	assert.ok(this.initial);
	table.apply(this.initial.changes);
	assert.equal(table.list(kind).map(({name}) => name).join(' '), names);
	assert.equal(table.revision, revision);
});
