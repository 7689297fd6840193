/**
Steps for the metrics of the object API, read in the format of a collector.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import parse, {type Family, type Sample} from 'parse-prometheus-text-format';
import {branded, type Revision} from '../common/ids.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import type {ObjectKind} from '../common/types.js';
import {PrometheusMetrics} from '../io/prometheus-metrics.js';
import {SystemClock} from '../io/system-clock.js';
import {MeteredObjectApi} from './metered-object-api.js';

type MeteredWorld = TestWorld & {
	fake: FakeObjectApi;
	metrics: PrometheusMetrics;
	api: MeteredObjectApi;
};

const family = async ({metrics}: MeteredWorld, name: string): Promise<Family | undefined> => {
	const families = parse(await metrics.text());
	return families.find(found => found.name === name);
};

const sampleOf = (found: Family | undefined, labels: Record<string, string>): Sample | undefined => found?.metrics.find(sample => Object.entries(labels).every(([label, value]) => sample.labels?.[label] === value));

Given('an object API whose calls are metered', function (this: MeteredWorld) {
	this.fake = new FakeObjectApi();
	this.metrics = this.register(new PrometheusMetrics());
	this.api = new MeteredObjectApi(this.fake, this.metrics, new SystemClock());
});

When('2 records of jobs are created, one of them twice', async function (this: MeteredWorld) {
	for (const name of ['job-a', 'job-b', 'job-a']) {
		await this.api.create('BatchRecord', name, {});
	}
});

When('the object API is unavailable for {int} reads of {string}', async function (this: MeteredWorld, count: number, kind: ObjectKind) {
	this.fake.down = true;
	await Promise.all(Array.from({length: count}, async () => this.api.get(kind, 'r1')));
});

When('a watch ends without a change', async function (this: MeteredWorld) {
	await this.api.watch(['BatchRecord'], branded<Revision>(2), 20);
});

Then('a scrape counts {int} calls {string} of {string} that ended as {string}', async function (this: MeteredWorld, count: number, operation: string, kind: string, outcome: string) {
	const calls = await family(this, 'citronyard_gateway_objectApiCalls_total');
	assert.equal(calls?.type, 'COUNTER');
	assert.equal(Number(sampleOf(calls, {operation, kind, outcome})?.value), count);
});

// The parser supports histograms but merges those that differ by labels only, so the samples are read from the text.
Then('a scrape has a histogram of {int} calls {string} and none of {string}', async function (this: MeteredWorld, count: number, operation: string, untimed: string) {
	const times = await family(this, 'citronyard_gateway_objectApiCall_ms');
	assert.equal(times?.type, 'HISTOGRAM');
	const text = await this.metrics.text();
	assert.ok(text.includes(`citronyard_gateway_objectApiCall_ms_count{operation="${operation}"} ${count}\n`), text);
	assert.ok(!text.includes(`Call_ms_count{operation="${untimed}"}`));
});
