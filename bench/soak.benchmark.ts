/**
The soak: a fleet of separate processes under load and under faults, and the invariants checked afterwards. Its first quarter has planned stops only, so that a request cut off there is a planned stop's doing.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../src/io/seeded-random.js';
import {figure} from './figure.js';
import {Disturber} from './soak/disturbances.js';
import {SoakCallers} from './soak/soak-callers.js';
import {
	cutByStops, doubledItems, lostAnswers, lostItems, repeatedRuns, untrueNotRun, workAfterEnd, wrongAnswers,
} from './soak/soak-checks.js';
import {SoakConfig} from './soak/soak-config.js';
import {SoakFleet} from './soak/soak-fleet.js';
import {SoakJobs} from './soak/soak-jobs.js';
import type {Benchmark, BenchmarkOptions, BenchmarkReport} from './types.js';

const defaultSeconds = 120;
const plannedShare = 0.25;
const requestsPerSecond = 25;
const msPerSecond = 1000;
const startMs = 1500;
const settleMs = 3000;
// What was accepted must end within this after the last fault.
const jobsMs = 60_000;
const lanes = ['a', 'b'] as const;

const none = {atMost: 0} as const;

type Parts = {
	readonly fleet: SoakFleet;
	readonly disturber: Disturber;
	readonly callers: SoakCallers;
	readonly jobs: SoakJobs;
	readonly config: SoakConfig;
};

const drive = async ({disturber, callers, jobs, config}: Parts, seconds: number, progress: BenchmarkOptions['progress']) => {
	const startedAt = performance.now();
	const plannedUntil = startedAt + (seconds * plannedShare * msPerSecond);
	const until = startedAt + (seconds * msPerSecond);
	const online = async () => {
		await Promise.all([disturber.plannedStops(plannedUntil - settleMs), callers.run('plannedStops', requestsPerSecond, (plannedUntil - startedAt) / msPerSecond)]);
		progress('planned stops done');
		await Promise.all([disturber.disturb(until), callers.run('faults', requestsPerSecond, (until - plannedUntil) / msPerSecond)]);
		progress('faults done');
	};

	await Promise.all([online(), config.run(until), ...lanes.map(async lane => jobs.run(lane, until, until + jobsMs))]);
	await sleep(settleMs);
};

const stopsFailed = ({disturber}: Parts) => disturber.stops.filter(({code}) => code !== 0).map(({vm, code}) => `${vm} ended with ${code}`);

const check = async (parts: Parts): Promise<Readonly<Record<string, readonly string[]>>> => {
	const {fleet, callers: {requests}, jobs, config} = parts;
	const readUntil = performance.now() + jobsMs;
	const again = new Map(await Promise.all(jobs.jobs.map(async job => [job.name, await jobs.readAgain(job, readUntil)] as const)));
	return {
		'answers wrong or mixed up': wrongAnswers(requests),
		'answers lost or cut without a word': lostAnswers(requests, fleet),
		'requests cut off by a planned stop': cutByStops(requests),
		'planned stops that did not end with 0': stopsFailed(parts),
		'untrue "not run"': untrueNotRun(requests, fleet),
		'non-idempotent calls that ran twice': repeatedRuns(requests, fleet),
		'batch items lost': lostItems(jobs.jobs),
		'batch items doubled or wrong': doubledItems(jobs.jobs),
		'batch work after the end': workAfterEnd(jobs.jobs, id => jobs.runsOf(id), again),
		'configuration reverted': config.reverts.map(({vm, from, latest}) => `${vm} had version ${from} and later none of ${from} to ${latest}`),
		'processes that ended by themselves': fleet.unexpectedEnds,
	};
};

const outcomeCounts = ({callers: {requests}}: Parts) => {
	const counts: Record<string, number> = {};
	requests.forEach(({phase, kind, tries}) => {
		const {answer} = tries.at(-1)!;
		const outcome = answer.kind === 'error' ? `${answer.status} ${answer.run}` : answer.kind;
		const name = `${phase} ${kind} ${outcome}`;
		counts[name] = (counts[name] ?? 0) + 1;
	});
	return counts;
};

const list = (counts: Readonly<Record<string, number>>) => Object.entries(counts).toSorted(([a], [b]) => a.localeCompare(b)).map(([name, count]) => `${name} ${count}`).join(', ');

const report = (parts: Parts, violations: Awaited<ReturnType<typeof check>>, seed: number): BenchmarkReport => {
	const {fleet, disturber, callers: {requests}, jobs, config} = parts;
	const file = path.join(fleet.processes.folder, 'violations.json');
	writeFileSync(file, JSON.stringify(violations, undefined, '\t'));
	const whole = requests.filter(({tries}) => tries.at(-1)!.answer.kind === 'whole').length;
	return {
		figures: [
			...Object.entries(violations).map(([name, found]) => figure(name, 'count', [found.length], none)),
			figure('requests', 'count', [requests.length]),
			figure('requests answered whole', '%', [100 * whole / requests.length]),
			figure('batch jobs ended', 'count', [jobs.jobs.filter(({ended}) => ended).length]),
			figure('configuration changes', 'count', [config.changes]),
			figure('change in force at an entry', 'ms', config.lagsMs),
		],
		notes: [
			`Seed ${seed}. Disturbances: ${list(disturber.counts)}.`,
			`Outcomes of requests: ${list(outcomeCounts(parts))}.`,
			`Logs, settings and violations are in ${fleet.processes.folder}.`,
			...Object.entries(violations).flatMap(([name, found]) => found.slice(0, 3).map(one => `  ${name}: ${one}`)),
		],
	};
};

const run = async ({seconds = defaultSeconds, seed, progress}: BenchmarkOptions): Promise<BenchmarkReport> => {
	const fleet = await SoakFleet.start();
	const callers = new SoakCallers(fleet, new SeededRandom(seed + 1));
	try {
		await sleep(startMs);
		const parts: Parts = {
			fleet,
			callers,
			disturber: new Disturber(fleet, new SeededRandom(seed)),
			jobs: new SoakJobs(fleet, callers),
			config: new SoakConfig(fleet, callers.caller),
		};
		await drive(parts, seconds, progress);
		return report(parts, await check(parts), seed);
	} finally {
		callers.dispose();
		await fleet.dispose();
	}
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'soak',
	describe: 'separate processes under online, batch and configuration load, disturbed from a seed; violations of what must always hold',
	run,
};
