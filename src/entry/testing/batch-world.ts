/**
What the steps for batch jobs share: how a job is uploaded, submitted, cancelled and read on the batch path in memory.
*/
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BatchJob} from '../../../typings/resources.js';
import {
	resultPrefix, type ChunkResult, type ItemResult, type JobStatus,
} from '../../common/batch-types.js';
import {branded, type AccountName, type JobId} from '../../common/ids.js';
import type {ObjectApi} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SystemClock} from '../../io/system-clock.js';
import type {Account} from '../accounts.js';
import {ApiGate} from '../api-gate.js';
import {ItemPacker} from '../item-packer.js';
import {JobStore, type JobView} from '../job-store.js';
import type {BatchFleet, FleetEntry} from './batch-fleet.js';
import {crashText} from './fake-engine.js';

/** A scenario's world. */
export type FaultWorld = TestWorld & {
	fleet: BatchFleet;
	jobId: JobId;
	items: number;
	answer: Awaited<ReturnType<JobStore['createJob']>>;
	/** Goes on with a call that was held up. */
	wake: (() => void) | undefined;
};

export const chunkItems = 4;
const pollMs = 2;
const giveUpMs = 15_000;
const account: Account = {name: branded<AccountName>('pit'), share: 1, maxInFlight: 1};
export const now = '2026-01-01T00:00:00.000Z';
export const later = '2026-01-02T00:00:00.000Z';

export const until = async (isTrue: () => boolean, what: string) => {
	const polls = Math.ceil(giveUpMs / pollMs);
	for (let poll = 0; poll < polls; poll += 1) {
		if (isTrue()) {
			return;
		}

		await sleep(pollMs);
	}

	assert.fail(`never happened: ${what}`);
};

export const storeOf = (api: ObjectApi) => new JobStore(api, new ApiGate(new SystemClock()));

export const upload = async (world: FaultWorld, items: number, poisoned?: number) => {
	const packer = new ItemPacker(world.fleet.api, new SystemClock(), {
		maxItems: 1000, chunkItems, minChunkItems: chunkItems, chunkBytes: 100_000, maxFileBytes: 1_000_000,
	});
	for (let index = 0; index < items; index += 1) {
		const prompt = index === poisoned ? crashText : `log ${index}`;
		const added = await packer.add(JSON.stringify({custom_id: `note-${index}`, url: '/v1/completions', body: {model: 'm', prompt}}));
		assert.ok(added.isRight());
	}

	const packed = await packer.finish();
	const file = await storeOf(world.fleet.api).createFile(account, packed.unsafeCoerce(), {filename: 'f', bytes: 1, createdAt: 1});
	return file.unsafeCoerce().id;
};

export const submit = async (store: JobStore, inputFileId: string, createdTime = now) => store.createJob(account, {
	jobKey: 'k', inputFileId, endpoint: '/v1/completions', dueTime: '2099-01-01T00:00:00.000Z', createdTime,
});

export const submitJob = async (world: FaultWorld, items: number, poisoned?: number, createdTime = now) => {
	world.items = items;
	const job = await submit(storeOf(world.fleet.api), await upload(world, items, poisoned), createdTime);
	world.jobId = job.unsafeCoerce().id;
};

export const statusOf = (world: FaultWorld) => world.fleet.api.all<JobStatus>('JobStatus').find(({name}) => name === world.jobId)?.value;
export const stateOf = (world: FaultWorld) => statusOf(world)?.state;

/** Where the job's results are. */
export const resultsPrefix = (world: FaultWorld) => resultPrefix(world.jobId, world.fleet.api.all<BatchJob>('BatchJob').find(({name}) => name === world.jobId)!.value.spec);

export const resultsOf = async (world: FaultWorld): Promise<ItemResult[]> => {
	const store = storeOf(world.fleet.api);
	const chunks = statusOf(world)?.sealedChunks ?? [];
	const lists = await Promise.all(chunks.map(async chunk => store.readResults(resultsPrefix(world), chunk)));
	return lists.flatMap(list => [...list.unsafeCoerce()]);
};

export const committed = (world: FaultWorld) => world.fleet.api.all<ChunkResult>('Result');
export const heldChunks = (world: FaultWorld) => world.fleet.agents.filter(({isDown}) => !isDown).reduce((sum, {worker}) => sum + worker.size, 0);

export const awaitHeld = async (world: FaultWorld) => {
	await until(() => heldChunks(world) > 0, 'an agent holds a chunk');
};

export const holder = (world: FaultWorld): FleetEntry => {
	const found = world.fleet.holderOf(world.jobId);
	assert.ok(found);
	return found;
};

export const cancel = async (world: FaultWorld): Promise<JobView> => {
	const cancelled = await storeOf(world.fleet.api).cancelJob(account, world.jobId, now);
	return cancelled.unsafeCoerce();
};
