/**
Steps for the load, against small servers in place of an entry.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {SeededRandom} from '../io/seeded-random.js';
import {LoadMix, type PlannedRequest} from './load-mix.js';
import {LoadRun, type LoadReport} from './load-run.js';
import {loadSettingsSchema} from './settings.js';

type LoadWorld = TestWorld & {
	entry: string;
	report: LoadReport;
	plans: PlannedRequest[][];
	isAccepted: boolean;
};

const accounts = [{name: 'nodibandh', apiKey: 'key'}, {name: 'painel-vivo', apiKey: 'key-2'}];

const serve = async (world: LoadWorld, answer: (res: ServerResponse) => void) => {
	const server = createServer((req, res) => {
		req.resume();
		answer(res);
	}).listen(0, '127.0.0.1');
	world.register(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	world.entry = `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const run = async (world: LoadWorld, settings: object) => {
	const load = world.register(new LoadRun(loadSettingsSchema.parse({entries: [world.entry], accounts, ...settings})));
	world.report = await load.run();
};

const onlyKind = ({kinds}: LoadReport) => Object.values(kinds)[0]!;

Given('an entry that answers nothing before {int} requests have arrived', async function (this: LoadWorld, wanted: number) {
	const waiting: ServerResponse[] = [];
	let arrived = 0;
	await serve(this, res => {
		arrived += 1;
		waiting.push(res);
		if (arrived >= wanted) {
			waiting.splice(0).forEach(held => {
				held.end('{}');
			});
		}
	});
});

Given('an entry whose streams end after the second token', async function (this: LoadWorld) {
	await serve(this, res => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.end('data: {"choices":[{"delta":{"content":"a "}}]}\n\ndata: {"choices":[{"delta":{"content":"b "}}]}\n\n');
	});
});

When('a load of {int} calls a second runs for {int} second(s)', async function (this: LoadWorld, perSecond: number, seconds: number) {
	await run(this, {seconds, calls: {service: 'gate-desk', perSecond}});
});

When('a load of {int} streams a second runs for half a second', async function (this: LoadWorld, perSecond: number) {
	await run(this, {seconds: 0.5, online: {model: 'tyre-scribe', perSecond}});
});

When('a load of {int} calls a second runs for 1 second with at most {int} open and {int} in all', async function (this: LoadWorld, perSecond: number, maxInFlight: number, maxRequests: number) {
	await run(this, {
		seconds: 1, maxInFlight, maxRequests, calls: {service: 'gate-desk', perSecond},
	});
});

When('a load is planned twice with seed {int} and once with seed {int}', function (this: LoadWorld, seed: number, otherSeed: number) {
	const settings = loadSettingsSchema.parse({
		entries: ['127.0.0.1:1'], accounts, online: {model: 'tyre-scribe', perSecond: 50, sharedPrefixes: 3}, calls: {service: 'gate-desk', perSecond: 5},
	});
	this.plans = [seed, seed, otherSeed].map(drawn => new LoadMix(settings, new SeededRandom(drawn)).plan());
});

When('a load\'s settings name the entry {string}', function (this: LoadWorld, entry: string) {
	this.isAccepted = loadSettingsSchema.safeParse({entries: [entry], accounts}).success;
});

Then('every planned request has a whole answer', function (this: LoadWorld) {
	const {planned, whole} = onlyKind(this.report);
	assert.ok(planned > 20);
	assert.equal(whole, planned);
});

Then('every planned request is counted as cut', function (this: LoadWorld) {
	const {planned, cut} = onlyKind(this.report);
	assert.ok(planned > 0);
	assert.equal(cut, planned);
});

Then('{int} requests have a whole answer and the others were left out', function (this: LoadWorld, wanted: number) {
	const {planned, whole, leftOut} = onlyKind(this.report);
	assert.equal(whole, wanted);
	assert.equal(leftOut, planned - wanted);
});

Then('the first two plans are equal and the third is not', function (this: LoadWorld) {
	const [first, second, third] = this.plans;
	assert.ok(first!.length > 100);
	assert.deepEqual(first, second);
	assert.notDeepEqual(first, third);
});

Then('the settings are refused', function (this: LoadWorld) {
	assert.equal(this.isAccepted, false);
});
