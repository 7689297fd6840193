/**
Steps for the engine stand-in's batch, one step at a time and without a clock.
*/
import assert from 'node:assert/strict';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {EngineBatch, type BatchSettings} from './engine-batch.js';
import {parseEngineRequest} from './engine-request.js';
import {engineSettingsSchema} from './engine-settings.js';
import {PrefixCache} from './prefix-cache.js';
import {type Sequence} from './sequence.js';

type BatchWorld = TestWorld & {
	batch: EngineBatch;
	/** Who got a token in the step under way. */
	served: string[];
};

const makeBatch = (settings: Partial<BatchSettings>): EngineBatch => {
	const full = engineSettingsSchema.parse(settings);
	return new EngineBatch(full, new PrefixCache(full.cacheBlocks), () => undefined);
};

const submit = (world: BatchWorld, id: string, tokens: number, prompt = id): Sequence => {
	const request = parseEngineRequest({
		model: 'tyre-scribe', prompt, max_tokens: tokens, request_id: id,
	}).unsafeCoerce();
	world.served ??= [];
	return world.batch.submit(request, {
		token() {
			world.served.push(id);
		},
		end: () => undefined,
		flush: () => undefined,
	});
};

const runStep = (world: BatchWorld): string => {
	world.served = [];
	const step = world.batch.beginStep();
	if (step) {
		world.batch.completeStep(step);
	}

	return world.served.join(', ');
};

Given('an engine batch of {int} sequences', function (this: BatchWorld, maxBatch: number) {
	this.batch = makeBatch({maxBatch});
});

Given('an engine batch of {int} sequences with room for {int} tokens', function (this: BatchWorld, maxBatch: number, kvTokens: number) {
	this.batch = makeBatch({maxBatch, kvTokens});
});

Given('an engine batch that computes {int} prompt tokens a step', function (this: BatchWorld, prefillTokensPerStep: number) {
	this.batch = makeBatch({prefillTokensPerStep});
});

When('these ask for tokens, in this order', function (this: BatchWorld, table: DataTable) {
	table.raw().forEach(([id = '', tokens]) => {
		submit(this, id, Number(tokens));
	});
});

When('"a" asks for {int} tokens, and then "b" with a prompt of {int} characters for {int}', function (this: BatchWorld, first: number, length: number, second: number) {
	submit(this, 'a', first);
	submit(this, 'b', second, 'p'.repeat(length));
});

When('"a" with a prompt of {int} characters was answered', function (this: BatchWorld, length: number) {
	submit(this, 'a', 1, 'p'.repeat(length));
	assert.equal(runStep(this), 'a');
});

When('the same prompt comes again', function (this: BatchWorld) {
	submit(this, 'b', 1, 'p'.repeat(640));
});

Then('the tokens of each step go to', function (this: BatchWorld, table: DataTable) {
	const steps = table.raw().map(() => runStep(this));
	assert.deepEqual(steps, table.raw().map(([ids]) => ids));
	assert.equal(this.batch.beginStep(), undefined);
});

Then('the tokens of the first steps go to', function (this: BatchWorld, table: DataTable) {
	const steps = table.raw().map(() => runStep(this));
	assert.deepEqual(steps, table.raw().map(([ids]) => ids));
});

Then('the step computes {int} prompt token', function (this: BatchWorld, tokens: number) {
	const step = this.batch.beginStep();
	const computed = [...step?.prefill.values() ?? []].reduce((sum, part) => sum + part, 0);
	assert.equal(computed, tokens);
});
