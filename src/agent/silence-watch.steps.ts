/**
Steps that run work on a stand-in engine whose connections go silent.
*/
import assert from 'node:assert/strict';
import {setTimeout} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {HttpClient} from '../io/http-client.js';
import {EngineStandin} from '../standins/engine-standin.js';
import type {BackendFailure} from './backend.js';
import {EngineBackend} from './engine-backend.js';

type Ended = Either<BackendFailure, void>;
type SilenceWorld = TestWorld & {engine: EngineStandin; backend: EngineBackend; runs: Array<Promise<Ended>>};

const model = 'gate-desk';
const stepMs = 5;
const idleMs = 50;

const begin = async (world: SilenceWorld, tokens: number): Promise<Ended> => world.backend.run({
	key: `run-${world.runs.length}`,
	work: {
		kind: 'generate', target: model, path: '/v1/completions', body: {model, prompt: 'hello', max_tokens: tokens},
	},
	signal: new AbortController().signal,
	onChunk: () => undefined,
});

const endOf = async (world: SilenceWorld) => {
	const ended = await world.runs.at(-1)!;
	return ended.swap().map(({kind}) => kind).orDefault('whole' as never) as string;
};

Given('an engine with room for {int}, and an agent that looks into {int} ms of quiet', async function (this: SilenceWorld, maxBatch: number, silenceMs: number) {
	this.engine = this.register(await EngineStandin.start({models: [{model, version: 'v1'}], stepMs, maxBatch}));
	this.backend = new EngineBackend(this.register(new HttpClient()), this.engine.address, silenceMs);
	this.runs = [];
});

When('a run of {int} tokens has begun and the connections go silent', async function (this: SilenceWorld, tokens: number) {
	this.runs.push(begin(this, tokens));
	await until(() => this.engine.stats().tokens > 20, 'the run has begun');
	this.engine.faults({silence: true});
});

When('a run is whole, the connections go silent, and the next run begins', async function (this: SilenceWorld) {
	await begin(this, 1);
	// The pool takes the connection back a turn later; until then the next run would get one of its own.
	await setTimeout(idleMs);
	this.engine.faults({silence: true});
	this.runs.push(begin(this, 1));
});

When('a run of {int} tokens has begun and another waits behind it', async function (this: SilenceWorld, tokens: number) {
	this.runs.push(begin(this, tokens));
	await until(() => this.engine.stats().tokens > 0, 'the first run has begun');
	this.runs.push(begin(this, 1));
});

Then('the run ends as lost', async function (this: SilenceWorld) {
	assert.equal(await endOf(this), 'lost');
});

Then('the run ends as lost, and the engine has stopped it', async function (this: SilenceWorld) {
	assert.equal(await endOf(this), 'lost');
	await until(() => this.engine.stats().cancelled === 1, 'the engine stopped the run');
});

Then('the next run is whole', async function (this: SilenceWorld) {
	this.runs.push(begin(this, 1));
	assert.equal(await endOf(this), 'whole');
});

Then('both runs are whole', async function (this: SilenceWorld) {
	const ended = await Promise.all(this.runs);
	assert.ok(ended.every(end => end.isRight()));
});
