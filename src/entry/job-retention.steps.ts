/**
Steps for the removal of ended jobs.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {JobState} from '../common/batch-types.js';
import type {Clock} from '../common/services.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import {JobRetention} from './job-retention.js';

type RetentionWorld = TestWorld & {api: FakeObjectApi};

const secondsPerDay = 86_400;
const msPerSecond = 1000;
const names = {old: 'batch_aold', recent: 'batch_arecent', running: 'batch_arunning'};

const putJob = async (api: FakeObjectApi, name: string, state: JobState, endedDaysAgo: number | undefined) => {
	const now = Math.floor(Date.now() / msPerSecond);
	await api.create('BatchJob', name, {});
	await api.create('JobStatus', name, {state, endedAt: endedDaysAgo === undefined ? undefined : now - (endedDaysAgo * secondsPerDay)});
	await Promise.all([1, 2, 3].map(async chunk => api.create('Result', `${name}/${chunk}`, {})));
	await api.create('ResultPart', `${name}/1/w/0`, {});
};

const jobOf = (createdTime: string) => ({
	metadata: {name: names.old},
	spec: {
		account: 'pit', jobKey: 'k', inputFileId: 'file-1', endpoint: '/v1/completions', dueTime: '2026-03-02T00:00:00.000Z', createdTime,
	},
});

const earlier = '2026-01-01T00:00:00.000Z';
const later = '2026-03-01T00:00:00.000Z';

/** Makes the first job one that tells when it was created, in its status as well. */
const dateFirst = async ({api}: RetentionWorld) => {
	const status = api.all<object>('JobStatus').find(({name}) => name === names.old);
	await api.update('JobStatus', names.old, {...status!.value, jobCreatedTime: earlier}, status!.version);
	await api.remove('BatchJob', names.old);
};

const sweep = async (world: RetentionWorld, days: number, clock: Clock = new SystemClock()) => new JobRetention({
	api: world.api, clock, log: {emit: () => undefined}, retentionMs: days * secondsPerDay * msPerSecond, removalPauseMs: 0,
}).sweep('a', () => true);

Given('a job that ended {int} days ago, one that ended {int} days ago, and one that runs, with 3 results each', async function (this: RetentionWorld, first: number, second: number) {
	this.api = new FakeObjectApi();
	await putJob(this.api, names.old, 'completed', first);
	await putJob(this.api, names.recent, 'completed', second);
	await putJob(this.api, names.running, 'in_progress', undefined);
});

When('the shard is swept with a retention of {int} days', async function (this: RetentionWorld, days: number) {
	await sweep(this, days);
});

Given('another job is sent under the key of the first, whose old status still stands', async function (this: RetentionWorld) {
	await dateFirst(this);
	await this.api.create('BatchJob', names.old, jobOf(later));
});

Then('the job that was sent is still there', function (this: RetentionWorld) {
	assert.ok(this.api.all('BatchJob').some(({name}) => name === names.old));
});

When('the object API goes down after {int} removals of a sweep', async function (this: RetentionWorld, removals: number) {
	this.api.beforeCall = () => {
		this.api.down = this.api.calls.remove > removals;
	};

	const removed = await sweep(this, 30);
	assert.equal(removed, 0);
	this.api.beforeCall = undefined;
	this.api.down = false;
});

Then('only the first job\'s objects are gone', function (this: RetentionWorld) {
	const left = (['BatchJob', 'JobStatus', 'Result', 'ResultPart'] as const).flatMap(kind => this.api.all(kind).map(({name}) => name));
	assert.equal(left.filter(name => name.startsWith(names.old)).length, 0);
	assert.equal(left.filter(name => name.startsWith(names.recent)).length, 6);
	assert.equal(left.filter(name => name.startsWith(names.running)).length, 6);
});

When('the shard is swept with a retention of {int} days, and the first job is deleted and sent again, with {int} results, after {int} removals', async function (this: RetentionWorld, days: number, results: number, removals: number) {
	await dateFirst(this);
	await this.api.create('BatchJob', names.old, jobOf(earlier));
	const clock = new SystemClock();
	let removed = 0;
	await sweep(this, days, {
		now: () => clock.now(),
		wall: () => clock.wall(),
		sleep: async () => {
			removed += 1;
			if (removed === removals) {
				await this.api.remove('BatchJob', names.old);
				await this.api.create('BatchJob', names.old, jobOf(later));
				await Promise.all(Array.from({length: results}, async (_, chunk) => this.api.create('Result', `${names.old}/again/${chunk}`, {})));
			}
		},
	});
	assert.ok(removed >= removals);
});

const assertThere = ({api}: RetentionWorld, results: number) => {
	assert.ok(api.all('BatchJob').some(({name}) => name === names.old), 'the job is gone');
	assert.equal(api.all('Result').filter(({name}) => name.startsWith(`${names.old}/again/`)).length, results);
};

Then('the job that was sent is still there, with its {int} results', function (this: RetentionWorld, results: number) {
	assertThere(this, results);
});

Then('it is still there, with its {int} results, after another sweep', async function (this: RetentionWorld, results: number) {
	await sweep(this, 30);
	assertThere(this, results);
});
