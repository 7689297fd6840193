/**
Costs of the core's parts in this process: decisions, tables and queues against the number of what they hold.
*/
import type {ClientAccount} from '../../typings/resources.js';
import type {FileRecord} from '../../src/common/batch-types.js';
import {ConfigTable} from '../../src/common/config-table.js';
import {FairQueue, type QueueItem} from '../../src/common/fair-queue.js';
import {branded, type Revision, type VmName} from '../../src/common/ids.js';
import {JobRun} from '../../src/common/job-run.js';
import type {LoadReport} from '../../src/common/protocol.js';
import {ReplicaTable} from '../../src/common/replica-table.js';
import {chooseReplica} from '../../src/common/route-policy.js';
import {chooseSubset} from '../../src/common/subset-policy.js';
import type {VmEntry, WatchEvent} from '../../src/common/types.js';
import {Accounts} from '../../src/entry/accounts.js';
import {SeededRandom} from '../../src/io/seeded-random.js';
import {SystemClock} from '../../src/io/system-clock.js';
import {heapBytes, microsPerCall, type SlopeCase} from './slope.js';

const silentMs = 3_600_000;
const models = 37;
const target = 'model:tyre-scribe';
const clock = new SystemClock();
const random = new SeededRandom(1);
const replicaSizes = [10, 100, 500, 1500, 5200] as const;
const objectSizes = [1000, 5000, 13_000, 26_000] as const;
const chunkSizes = [10, 100, 250, 508] as const;

const vmOf = (index: number): VmEntry => ({
	name: branded<VmName>(`vm-${index}`), role: 'backend', address: `10.0.${index % 200}.1:8080`, failureDomain: branded('durgapur-hall'), state: 'live',
});

/** A report as agents send it. */
export const sampleLoad = (vm: string, serves: string): LoadReport => ({
	vm: branded<VmName>(vm), incarnation: branded('3f2c8a52-6f0e-4d8f-9d3b-0f6f3a2b1c4d'), at: 1_000_000, draining: false, serves: [serves], running: 12, queued: 3, pendingTokens: 2345, batchRunning: 8, batchRoom: 1, maxRunning: 32, configRevision: branded<Revision>(4711),
}) as unknown as LoadReport;

const tableOf = (candidates: number, others: number) => {
	const table = new ReplicaTable(clock, silentMs);
	const vms = Array.from({length: candidates + others}, (_, index) => vmOf(index));
	table.applyVmList(vms);
	vms.forEach(({name}, index) => {
		table.applyReport(name, sampleLoad(name, index < candidates ? target : 'model:other'));
	});
	return {table, vms};
};

const route = (table: ReplicaTable) => chooseReplica({replicas: table.routable(target), tried: new Set(), costTokens: 100}, random);

const accountEvent = (index: number, version: number): WatchEvent => {
	const value: ClientAccount = {
		apiVersion: 'citronyard/v1', kind: 'ClientAccount', metadata: {name: `account-${index}`}, spec: {keySha256: [index.toString(16).padStart(64, '0')], share: 1},
	};
	return {
		type: 'put', kind: 'ClientAccount', name: `account-${index}`, version: version as Revision, value,
	};
};

const configOf = (objects: number) => {
	const table = new ConfigTable();
	const events = Array.from({length: objects}, (_, index) => accountEvent(index, index + 1));
	table.apply({
		full: true, since: 0 as Revision, revision: objects as Revision, head: objects as Revision, events,
	});
	return table;
};

/** Applies one change of an existing object. */
const changeOne = (table: ConfigTable) => {
	const since = table.revision;
	const version = (since + 1) as Revision;
	return table.apply({
		full: false, since, revision: version, head: version, events: [accountEvent(0, version)],
	});
};

const queueOf = (accounts: number) => {
	const queue = new FairQueue<QueueItem>();
	Array.from({length: accounts}, (_, index) => index).forEach(index => {
		queue.push({account: branded(`account-${index}`), share: 1, costTokens: 100});
	});
	return queue;
};

const fileOf = (chunks: number) => ({
	id: 'file-1', account: 'nodibandh', filename: 'logs.jsonl', purpose: 'batch', bytes: 1, createdAt: 1, model: 'tyre-scribe', endpoint: '/v1/chat/completions', items: chunks * 256, chunks: Array.from({length: chunks}, (_, index) => ({name: `file-1/${index}`, items: 256})),
}) as unknown as FileRecord;

const jobOf = (chunks: number) => new JobRun({
	jobId: branded('batch_0123456789abcdef'),
	spec: {
		account: 'nodibandh', jobKey: 'job', inputFileId: 'file-1', endpoint: '/v1/chat/completions', dueTime: '2030-01-01T00:00:00Z', createdTime: '2029-12-31T00:00:00Z',
	},
	file: fileOf(chunks),
	committed: Array.from({length: Math.floor(chunks / 2)}, (_, index) => index),
	startedAt: 1,
});

/** The cases. */
export const coreCases: readonly SlopeCase[] = [
	{
		name: 'route decision, replicas of the model', unit: 'µs', per: 'replica', sizes: replicaSizes, cost(size) {
			const {table} = tableOf(size, 0);
			return microsPerCall(() => route(table));
		},
	},
	{
		name: 'route decision, replicas of other models beside 10', unit: 'µs', per: 'replica', sizes: replicaSizes, cost(size) {
			const {table} = tableOf(10, size);
			return microsPerCall(() => route(table));
		},
	},
	{
		name: 'subset of replicas chosen anew, four of each of 37 models', unit: 'µs', per: 'replica', sizes: replicaSizes, cost(size) {
			const {all: replicas} = tableOf(size, 0).table;
			const targets = new Map(replicas.map(({vm}, index) => [vm, [`model:model-${index % models}`]]));
			return microsPerCall(() => chooseSubset({
				self: 'entry-1', failureDomain: branded('durgapur-hall'), replicas, perTarget: 4, targetsOf: vm => targets.get(vm),
			}));
		},
	},
	{
		name: 'VM list parsed and applied', unit: 'µs', per: 'VM', sizes: replicaSizes, cost(size) {
			const {table, vms} = tableOf(size, 0);
			const text = JSON.stringify({vms});
			return microsPerCall(() => {
				table.applyVmList((JSON.parse(text) as {vms: VmEntry[]}).vms);
			});
		},
	},
	{
		name: 'VM list, size of one read', unit: 'bytes', per: 'VM', sizes: replicaSizes, cost: size => JSON.stringify({vms: tableOf(size, 0).vms}).length,
	},
	{
		name: 'replica table, heap', unit: 'bytes', per: 'replica', sizes: replicaSizes, cost: size => heapBytes(() => tableOf(size, 0).table),
	},
	{
		name: 'configuration, heap', unit: 'bytes', per: 'account', sizes: objectSizes, cost: size => heapBytes(() => configOf(size)),
	},
	{
		name: 'account index, heap', unit: 'bytes', per: 'account', sizes: objectSizes, cost(size) {
			const table = configOf(size);
			return heapBytes(() => new Accounts(table));
		},
	},
	{
		name: 'configuration and account index, one change', unit: 'µs', per: 'account', sizes: objectSizes, cost(size) {
			const table = configOf(size);
			const accounts = new Accounts(table);
			const micros = microsPerCall(() => changeOne(table));
			accounts.dispose();
			return micros;
		},
	},
	{
		name: 'changes since one version ago', unit: 'µs', per: 'account', sizes: objectSizes, cost(size) {
			const table = configOf(size);
			return microsPerCall(() => table.changesSince((size - 1) as Revision));
		},
	},
	{
		name: 'fair queue, take and put one', unit: 'µs', per: 'waiting account', sizes: [10, 100, 500, 2000], cost(size) {
			const queue = queueOf(size);
			return microsPerCall(() => {
				queue.push(queue.shift()!);
			});
		},
	},
	{
		name: 'job at its coordinator, heap', unit: 'bytes', per: 'chunk of 256 items', sizes: chunkSizes, cost: size => heapBytes(() => jobOf(size)),
	},
	{
		name: 'job status made', unit: 'µs', per: 'chunk of 256 items', sizes: chunkSizes, cost(size) {
			const job = jobOf(size);
			return microsPerCall(() => job.status('in_progress', branded(1), 1));
		},
	},
];
