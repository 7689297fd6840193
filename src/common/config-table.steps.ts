/**
Steps for the configuration table.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ConfigTable, type ConfigChanges} from './config-table.js';
import type {Revision} from './ids.js';
import type {WatchEvent} from './types.js';
import type {TestWorld} from './testing/test-world.js';

type TableWorld = TestWorld & {
	table: ConfigTable;
	other: ConfigTable;
	isApplied: boolean;
	changes: string[];
};

const kind = 'ServedModel';

/** Models written as `name@version`, separated by spaces. */
const models = (text: string, type: 'put' | 'delete' = 'put'): WatchEvent[] => text.split(' ').map(model => {
	const [name = '', version] = model.split('@');
	const event = {kind, name, version: Number(version) as Revision} as const;
	return type === 'put' ? {type, ...event, value: {version: Number(version)}} : {type, ...event};
});

const changesOf = (full: boolean, since: number, revision: number, events: readonly WatchEvent[]): ConfigChanges => ({
	full, since: since as Revision, revision: revision as Revision, head: revision as Revision, events,
});

const tableWith = (revision: number, text: string): ConfigTable => {
	const table = new ConfigTable();
	table.apply(changesOf(true, 0, revision, models(text)));
	return table;
};

Given('a table at revision {int} with {string}', function (this: TableWorld, revision: number, text: string) {
	this.table = tableWith(revision, text);
	this.changes = [];
	this.table.onChange(({name}) => {
		this.changes.push(name);
	});
});

Given('another table at revision {int} with {string}', function (this: TableWorld, revision: number, text: string) {
	this.other = tableWith(revision, text);
});

When('the changes from {int} to {int} put {string}', function (this: TableWorld, since: number, revision: number, text: string) {
	this.isApplied = this.table.apply(changesOf(false, since, revision, models(text)));
});

When('the changes from {int} to {int} delete {string}', function (this: TableWorld, since: number, revision: number, text: string) {
	this.table.apply(changesOf(false, since, revision, models(text, 'delete')));
});

When('{int} models are created and deleted after it', function (this: TableWorld, count: number) {
	const start = this.table.revision;
	const names = Array.from({length: count}, (_, index) => `short-lived-${index}`);
	this.table.apply(changesOf(false, start, start + count, names.flatMap((name, index) => models(`${name}@${start + 1 + index}`))));
	this.table.apply(changesOf(false, start + count, start + (2 * count), names.flatMap((name, index) => models(`${name}@${start + count + 1 + index}`, 'delete'))));
});

When('the complete table at revision {int} is {string}', function (this: TableWorld, revision: number, text: string) {
	this.table.apply(changesOf(true, 0, revision, models(text)));
});

When('the other table applies the changes it lacks', function (this: TableWorld) {
	this.other.apply(this.table.changesSince(this.other.revision));
});

Then('the changes are rejected', function (this: TableWorld) {
	assert.equal(this.isApplied, false);
});

Then('model {string} is at version {int} and was changed once', function (this: TableWorld, name: string, version: number) {
	assert.equal(this.table.versionOf(kind, name), version);
	assert.deepEqual(this.table.get(kind, name), {version});
	assert.equal(this.changes.filter(changed => changed === name).length, 1);
});

Then('model {string} is at version {int}', function (this: TableWorld, name: string, version: number) {
	assert.equal(this.table.versionOf(kind, name), version);
});

Then('model {string} does not exist', function (this: TableWorld, name: string) {
	assert.equal(this.table.get(kind, name), undefined);
});

Then('a node at revision {int} that polls has only model {string} afterwards', function (this: TableWorld, revision: number, name: string) {
	const node = tableWith(revision, `a@4 ${name}@8`);
	node.apply(this.table.changesSince(node.revision));
	assert.deepEqual(node.list(kind).map(object => object.name), [name]);
});

Then('the other table has the same digest', function (this: TableWorld) {
	assert.equal(this.other.digest(), this.table.digest());
});
