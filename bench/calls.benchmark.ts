/**
Calls of the object API, counted by its stand-in: for a batch job of the target's average size, for a change of configuration, and for idle entries and agents; and what they add up to at the target.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {keyHash} from '../src/entry/accounts.js';
import {fleetResources, LocalFleet, type FleetPlan} from '../src/demo/local-fleet.js';
import {NoMetrics} from '../src/io/no-metrics.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {SystemClock} from '../src/io/system-clock.js';
import type {CallReport, MethodCounts} from '../src/standins/call-counts.js';
import {figure} from './figure.js';
import type {Benchmark, Figure} from './types.js';

type Counts = {readonly reads: number; readonly writes: number};

const target = {
	itemsPerDay: 220_000_000, jobsPerDay: 6500, entries: 890, agents: 5200, changesPerDay: 3100, secondsPerDay: 86_400,
};
const bounds = {writesPerSecond: 200, readsPerSecond: 1000};
const jobItems = Math.round(target.itemsPerDay / target.jobsPerDay);
const idleMs = 20_000;
// Until the counts of nodes in the resources' status have settled: each is written once more after the last node came.
const settleMs = 12_000;
const changes = 20;
const changePauseMs = 300;
const pollMs = 200;
const model = 'tyre-scribe';
const apiKey = 'bench-key';
const endpoint = '/v1/chat/completions';
const domain = 'durgapur-hall';
const msPerMinute = 60_000;
const msPerSecond = 1000;

// A waiting watch is counted when it comes.
const countsOf = ({get, list, watch, create, update, delete: removed}: MethodCounts): Counts => ({reads: get + list + watch, writes: create + update + removed});
const minus = (a: Counts, b: Counts): Counts => ({reads: a.reads - b.reads, writes: a.writes - b.writes});
const times = (a: Counts, factor: number): Counts => ({reads: a.reads * factor, writes: a.writes * factor});
const plus = (...all: readonly Counts[]): Counts => ({reads: all.reduce((sum, {reads}) => sum + reads, 0), writes: all.reduce((sum, {writes}) => sum + writes, 0)});

const planOf = (entries: number, agents: number): FleetPlan => ({
	engines: Array.from({length: agents}, (_, index) => ({
		vm: `gpu-${index}`, failureDomain: domain, models: [model], engine: {stepMs: 1, prefillMsPerKiloToken: 0},
	})),
	entries: Array.from({length: entries}, (_, index) => ({vm: `entry-${index}`, failureDomain: domain})),
});

const withFleet = async <T>(entries: number, agents: number, act: (fleet: LocalFleet) => Promise<T>): Promise<T> => {
	const plan = planOf(entries, agents);
	const fleet = await LocalFleet.start(plan, {
		clock: new SystemClock(), random: new SeededRandom(1), log: {emit: () => undefined}, metrics: new NoMetrics(),
	});
	try {
		await fleet.apply(fleetResources(plan, [{name: 'bench', keySha256: keyHash(apiKey)}]));
		await fleet.awaitModels(apiKey);
		await sleep(settleMs);
		return await act(fleet);
	} finally {
		fleet.dispose();
	}
};

/** Calls a minute of a fleet that does nothing: all, and without those for leases, which only entries make. */
const idle = async (fleet: LocalFleet): Promise<{all: Counts; besidesLeases: Counts}> => {
	fleet.objectApi.resetCalls();
	await sleep(idleMs);
	const report = fleet.objectApi.calls();
	const leases = countsOf(report.byKind.Lease!);
	const perMinute = (counts: Counts) => times(counts, msPerMinute / idleMs);
	return {all: perMinute(countsOf(report)), besidesLeases: perMinute(minus(countsOf(report), leases))};
};

const runJob = async (fleet: LocalFleet): Promise<{counts: Counts; report: CallReport; ms: number}> => {
	const url = `http://${fleet.entryAddress()}/v1`;
	const headers = {authorization: `Bearer ${apiKey}`, 'content-type': 'application/json'};
	const lines = Array.from({length: jobItems}, (_, index) => JSON.stringify({
		custom_id: `note-${index}`, method: 'POST', url: endpoint, body: {model, messages: [{role: 'user', content: `log ${index}`}], max_tokens: 1},
	}));
	const form = new FormData();
	form.set('purpose', 'batch');
	form.set('file', new Blob([lines.join('\n')]), 'logs.jsonl');
	fleet.objectApi.resetCalls();
	const begun = performance.now();
	const uploaded = await fetch(`${url}/files`, {method: 'POST', headers: {authorization: headers.authorization}, body: form});
	const {id: fileId} = await uploaded.json() as {id: string};
	const submitted = await fetch(`${url}/batches`, {method: 'POST', headers, body: JSON.stringify({input_file_id: fileId, endpoint, completion_window: '24h'})});
	const {id} = await submitted.json() as {id: string};
	// The status is read past the entry, so that asking for it is not counted.
	const isDone = async () => {
		const status = await fetch(`http://${fleet.objectApi.address}/v1/objects/JobStatus/${id}`);
		const object = status.ok ? await status.json() as {value: {state: string}} : undefined;
		return object?.value.state === 'completed';
	};

	let own = 1;
	while (!await isDone()) {
		own += 1;
		await sleep(pollMs);
	}

	const report = fleet.objectApi.calls();
	return {counts: minus(countsOf(report), {reads: own, writes: 0}), report, ms: performance.now() - begun};
};

/** Calls for one change of a resource by an operator, its own call included. */
const changeOnce = async (fleet: LocalFleet, perMinute: Counts): Promise<Counts> => {
	fleet.objectApi.resetCalls();
	const begun = performance.now();
	for (let change = 0; change < changes; change += 1) {
		await fleet.apply(fleetResources(planOf(0, 0), [{name: 'bench', keySha256: keyHash(apiKey), share: change + 1}]));
		await sleep(changePauseMs);
	}

	const counts = minus(countsOf(fleet.objectApi.calls()), times(perMinute, (performance.now() - begun) / msPerMinute));
	return times(counts, 1 / changes);
};

const round = ({reads, writes}: Counts) => `${reads.toFixed(1)} reads, ${writes.toFixed(1)} writes`;

export const benchmark: Benchmark = {
	name: 'calls',
	describe: 'calls of the object API for a job, a change of configuration, an idle entry and an idle agent, and their sum at the target',
	async run({progress}) {
		const few = await withFleet(4, 2, async fleet => {
			const perMinute = await idle(fleet);
			const change = await changeOnce(fleet, perMinute.all);
			const job = await runJob(fleet);
			return {perMinute, change, job};
		});
		progress(`4 entries, 2 agents: ${round(few.perMinute.all)} a minute`);
		progress(`a job of ${jobItems} items in ${(few.job.ms / msPerSecond).toFixed(0)} s: ${JSON.stringify(few.job.report)}`);
		const moreEntries = await withFleet(12, 2, idle);
		progress(`12 entries, 2 agents: ${round(moreEntries.all)} a minute`);
		const moreAgents = await withFleet(4, 10, idle);
		progress(`4 entries, 10 agents: ${round(moreAgents.all)} a minute`);

		const entry = times(minus(moreEntries.all, few.perMinute.all), 1 / 8);
		const agent = times(minus(moreAgents.besidesLeases, few.perMinute.besidesLeases), 1 / 8);
		const job = minus(few.job.counts, times(few.perMinute.all, few.job.ms / msPerMinute));
		// Each result, part and status is removed once its retention time has passed.
		const removal: Counts = {reads: 3, writes: job.writes / 2};
		const perSecond = plus(
			times(plus(job, removal), target.jobsPerDay / target.secondsPerDay),
			times(few.change, target.changesPerDay / target.secondsPerDay),
			times(few.perMinute.all, 1 / 60),
			times(entry, target.entries / 60),
			times(agent, target.agents / 60),
		);
		const both = (name: string, unit: string, counts: Counts): Figure[] => [figure(`${name}, reads`, unit, [counts.reads]), figure(`${name}, writes`, unit, [counts.writes])];
		return {
			figures: [
				...both('1000 items', 'calls', times(job, 1000 / jobItems)),
				...both('change of configuration', 'calls', few.change),
				...both('first 4 entries', 'calls a minute', few.perMinute.all),
				...both('each further idle entry', 'calls a minute', entry),
				...both('each further idle agent', 'calls a minute', agent),
				figure('target, reads', 'calls/s', [perSecond.reads], {atMost: bounds.readsPerSecond}),
				figure('target, writes', 'calls/s', [perSecond.writes], {atMost: bounds.writesPerSecond}),
			],
			notes: [
				`Target: ${JSON.stringify(target)}. A watch counts once each time it is sent. The job has the target's average size, ${jobItems} items; its idle calls are taken off.`,
				'Each further entry is reckoned as the fifth to twelfth are; looks at leases by further ones are rarer still.',
				'Counted on one failure domain; a fleet has watchers of configuration in each.',
			],
		};
	},
};
