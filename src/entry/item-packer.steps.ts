/**
Steps for the packing of uploads.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {InputChunk} from '../common/batch-types.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import type {ApiError} from './api-error.js';
import {ItemPacker, type PackedFile, type PackLimits} from './item-packer.js';

type PackWorld = TestWorld & {api: FakeObjectApi; limits: PackLimits; packed: Either<ApiError, PackedFile>};

const wide: PackLimits = {
	maxItems: 10_000, chunkItems: 256, minChunkItems: 16, chunkBytes: 100_000, maxFileBytes: 10_000_000,
};

const lineOf = (id: string, prompt: string) => JSON.stringify({custom_id: id, url: '/v1/completions', body: {model: 'm', prompt}});

const pack = async (world: PackWorld, lines: readonly string[]) => {
	world.api = new FakeObjectApi();
	const packer = new ItemPacker(world.api, new SystemClock(), world.limits);
	let added: Either<ApiError, void> | undefined;
	for (const line of lines) {
		added = added?.isLeft() ? added : await packer.add(line);
	}

	const packed = await packer.finish();
	world.packed = added!.chain(() => packed);
};

Given('chunks of at most {int} bytes', function (this: PackWorld, chunkBytes: number) {
	this.limits = {...wide, chunkBytes};
});

Given('chunks of {int} to {int} items', function (this: PackWorld, minChunkItems: number, chunkItems: number) {
	this.limits = {...wide, minChunkItems, chunkItems};
});

Given('a file of at most {int} bytes', function (this: PackWorld, maxFileBytes: number) {
	this.limits = {...wide, maxFileBytes};
});

When('{int} items with a text of {int} characters {string} are packed', async function (this: PackWorld, items: number, length: number, character: string) {
	await pack(this, Array.from({length: items}, (_, index) => lineOf(`note-${index}`, character.repeat(length))));
});

When('an item {string} is packed twice', async function (this: PackWorld, id: string) {
	await pack(this, [lineOf(id, 'a'), lineOf(id, 'b')]);
});

Then('no chunk has more than {int} bytes', function (this: PackWorld, bytes: number) {
	const sizes = this.api.all<InputChunk>('InputChunk').map(({value}) => Buffer.byteLength(JSON.stringify(value.items)));
	assert.ok(sizes.length > 0);
	assert.deepEqual(sizes.filter(size => size > bytes), []);
});

Then('{int} items are stored', function (this: PackWorld, items: number) {
	const {chunks} = this.packed.unsafeCoerce();
	const stored = new Map(this.api.all<InputChunk>('InputChunk').map(({name, value}) => [name, value.items.length]));
	assert.equal(chunks.reduce((sum, {name}) => sum + stored.get(name)!, 0), items);
	assert.equal(this.packed.unsafeCoerce().items, items);
});

Then('the first chunk has {int} items and the one before the last {int}', function (this: PackWorld, first: number, late: number) {
	const {chunks} = this.packed.unsafeCoerce();
	assert.deepEqual([chunks[0]?.items, chunks.at(-2)?.items], [first, late]);
});

Then('the upload is refused with status {int}', function (this: PackWorld, status: number) {
	assert.equal((this.packed.extract() as ApiError).status, status);
});
