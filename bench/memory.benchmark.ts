/**
The resident memory of an idle entry and an idle agent, as bundled, each in a process of its own.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {figure} from './figure.js';
import {ProcessFleet} from './process-fleet.js';
import {cpuMicros} from './process-cpu.js';
import {residentMb} from './process-usage.js';
import type {Benchmark, BenchmarkOptions} from './types.js';

const boundMb = 64;
const boundCpuShare = 2.1;
const defaultIdleSeconds = 20;
const defaultRuns = 3;
const msPerSecond = 1000;
const microsPerSecond = 1e6;
/** Until a process has compiled what it runs all the time. */
const settleMs = 3000;
const percent = 100;

type Sample = {readonly mb: number; readonly cpuPercent: number};

const sampleIdle = async (pid: number, seconds: number): Promise<Sample> => {
	await sleep(settleMs);
	const before = cpuMicros(pid);
	await sleep(seconds * msPerSecond);
	return {mb: residentMb(pid), cpuPercent: (cpuMicros(pid) - before) / microsPerSecond / seconds * percent};
};

const measureOnce = async (seconds: number) => {
	const fleet = new ProcessFleet('memory');
	try {
		const [objectApi, vmList, engine] = await Promise.all([
			fleet.startStandin('object-api', 'object-api'),
			fleet.startStandin('vm-list', 'vm-list'),
			fleet.startStandin('engine', 'engine', {models: [{model: 'tyre-scribe', version: 'tyre-scribe-1'}]}),
		]);
		fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
		const agentPlace = {vm: 'vm-1', failureDomain: 'durgapur-hall'};
		const agent = await fleet.startAgent(agentPlace, {type: 'engine', address: engine.address});
		await fleet.listVm(agentPlace, 'backend', agent.address);
		const entry = await fleet.startEntry({vm: 'entry-1', failureDomain: 'durgapur-hall'});
		const [entrySample, agentSample] = await Promise.all([entry, agent].map(async ({pid}) => sampleIdle(pid, seconds)));
		return {entry: entrySample!, agent: agentSample!};
	} finally {
		await fleet.dispose();
	}
};

const run = async ({seconds = defaultIdleSeconds, runs = defaultRuns, progress}: BenchmarkOptions) => {
	const samples: Array<Awaited<ReturnType<typeof measureOnce>>> = [];
	while (samples.length < runs) {
		samples.push(await measureOnce(seconds));
		progress(`run ${samples.length} of ${runs}`);
	}

	return {
		figures: (['entry', 'agent'] as const).flatMap(program => [
			figure(`idle ${program}, resident`, 'MB', samples.map(sample => sample[program].mb), {atMost: boundMb}),
			figure(`idle ${program}, processor`, '% of a core', samples.map(sample => sample[program].cpuPercent), {atMost: boundCpuShare}),
		]),
		notes: [`After ${seconds} s idle with one entry, one agent and one engine; bundled, with Node's default heap limits. MB are 1e6 bytes, so 64 MB is the smaller of the two readings of the bound.`],
	};
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'memory',
	describe: 'resident memory and processor time of an idle entry and an idle agent, each in its own process',
	run,
};
