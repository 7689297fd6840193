/**
Steps for malformed objects of the object API.
*/
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import {validatedConfigTable} from '../common/validated-config-table.js';
import type {ConfigTable} from '../common/config-table.js';
import {branded, type Revision} from '../common/ids.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import type {LogFields, ObjectKind} from '../common/types.js';
import {SystemClock} from '../io/system-clock.js';
import {Accounts, keyHash} from './accounts.js';
import {configEvents} from './config-log-events.js';
import {JobFeed} from './job-feed.js';
import {JobReader} from './job-reader.js';

type MalformedWorld = TestWorld & {table: ConfigTable; accounts: Accounts; api: FakeObjectApi; kind: ObjectKind; logged: LogFields[]};

const key = 'k';
const whole = 'batch_0a';
const account = (name: string, spec: object) => ({metadata: {name}, spec});

const logOf = (world: MalformedWorld) => {
	world.logged = [];
	return {
		emit(_event: unknown, fields: LogFields = {}) {
			world.logged.push(fields);
		},
	};
};

const tableOf = (world: MalformedWorld) => {
	world.table = validatedConfigTable(logOf(world), configEvents.objectRefused);
	return world.table;
};

const put = (table: ConfigTable, full: boolean, event: {kind: ObjectKind; name: string; value: unknown}) => {
	const since = table.revision;
	const version = (since + 1) as Revision;
	table.apply({
		full, since, revision: version, head: version, events: [{type: 'put', version, ...event}],
	});
};

Given('an account {string} with a key in force', function (this: MalformedWorld, name: string) {
	put(tableOf(this), true, {kind: 'ClientAccount', name, value: account(name, {keySha256: [keyHash(key)]})});
	this.accounts = this.register(new Accounts(this.table));
});

When('the account {string} is written without keySha256', function (this: MalformedWorld, name: string) {
	put(this.table, false, {kind: 'ClientAccount', name, value: account(name, {share: 2})});
});

When('the whole configuration is listed with {string} without keySha256', function (this: MalformedWorld, name: string) {
	put(this.table, true, {kind: 'ClientAccount', name, value: account(name, {share: 2})});
});

When('an object of kind {word} with {string} is written', function (this: MalformedWorld, kind: ObjectKind, value: string) {
	this.kind = kind;
	put(tableOf(this), true, {kind, name: 'x', value: JSON.parse(value)});
});

Given('a batch job without spec beside a whole one', async function (this: MalformedWorld) {
	this.api = new FakeObjectApi();
	await this.api.create('BatchJob', 'batch_00', {metadata: {name: 'batch_00'}});
	await this.api.create('BatchJob', whole, account(whole, {
		account: 'painel', jobKey: 'k', inputFileId: 'file-1', endpoint: '/v1/completions', dueTime: '2026-01-02T00:00:00Z', createdTime: '2026-01-01T00:00:00Z',
	}));
});

Then('the key is still that of {string}', function (this: MalformedWorld, name: string) {
	const req: Partial<IncomingMessage> = {headers: {authorization: `Bearer ${key}`}};
	assert.equal(this.accounts.identify(req as IncomingMessage).map(found => found.name as string).extract(), name);
});

Then('it is not in force', function (this: MalformedWorld) {
	assert.equal(this.table.get(this.kind, 'x'), undefined);
});

Then('a malformed object is logged', function (this: MalformedWorld) {
	assert.equal(this.logged.filter(({fault}) => typeof fault === 'string').length, 1);
});

Then('the coordinator finds the whole job alone', async function (this: MalformedWorld) {
	const found = await new JobReader(this.api, logOf(this)).openJobs('0');
	assert.deepEqual(found?.jobs.map(({jobId}) => jobId), [whole]);
});

Then('its feed reports the whole job alone', async function (this: MalformedWorld) {
	const seen: string[] = [];
	const feed = this.register(new JobFeed({
		api: this.api,
		clock: new SystemClock(),
		log: logOf(this),
		watchMs: 50,
		onChange(jobId) {
			seen.push(jobId);
		},
		onGap() {
			assert.fail('nothing was forgotten');
		},
	}));
	feed.followFrom(branded<Revision>(0));
	void feed.run();
	await until(() => seen.length > 0, 'the feed reports a job');
	assert.deepEqual(seen, [whole]);
});
