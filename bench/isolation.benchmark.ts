/**
What batch work does to online work, and what is left for batch work: online requests in bursts on a fleet that is full of batch items, against the same requests alone and against batch work alone, at both deployments' sizes and at both readings of the engine's step.
*/
import {chooseReplica} from '../src/common/route-policy.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {figure} from './figure.js';
import {FleetModel, accountOf, type ModelPolicy} from './model/fleet-model.js';
import type {ReplicaModel} from './model/replica-model.js';
import {poisson, quantile, textOf} from './model/workload.js';
import type {Benchmark, Figure} from './types.js';

type Deployment = {readonly name: string; readonly failureDomains: readonly string[]; readonly betweenDomainsMs: number; readonly batchWeight: number};

const deployments: readonly Deployment[] = [
	{
		name: 'nodibandh', failureDomains: ['durgapur-hall', 'asansol-hall', 'kolkata-hall'], betweenDomainsMs: 0.5, batchWeight: 0.6,
	},
	{
		name: 'painel', failureDomains: ['recife-a', 'fortaleza-b', 'salvador-c'], betweenDomainsMs: 1.5, batchWeight: 0.1,
	},
];
const stepsMs = [2, 20] as const;
const replicas = 13;
const entries = 3;
const maxRunning = 32;
const online = {promptTokens: 300, answerTokens: 48};
const batch = {promptTokens: 300, answerTokens: 96};
const warmUpMs = 1000;
const burstMs = 2000;
// Shares of the fleet's online capacity that arrive in calm and in bursts.
const calmShare = 0.15;
const burstShare = 0.6;

type Phase = {readonly deployment: Deployment; readonly stepMs: number; readonly seed: number; readonly ms: number; readonly withBatch: boolean; readonly rate: (now: number) => number; readonly batchWeight?: number};

const policy: ModelPolicy = {
	choose: ({replicas, tried, request, random}) => chooseReplica({replicas, tried: tried as never, costTokens: request.promptTokens}, random)?.chosen,
};

/** Keeps a replica's batch queue full, and counts the items' tokens. */
const feedBatch = (replica: ReplicaModel, count: (tokens: number) => void) => {
	let items = 0;
	const submit = () => {
		items += 1;
		const key = `${replica.vm}/batch/${items}`;
		replica.submit({
			ticket: {
				key, workClass: 'batch', account: accountOf('batch'), share: 1, costTokens: batch.promptTokens + batch.answerTokens, promptTokens: batch.promptTokens, deadlineAt: Number.POSITIVE_INFINITY,
			},
			generation: {promptText: textOf(key, batch.promptTokens), ...batch},
			onToken() {
				count(1);
			},
			onEnd: submit,
			onRefused() {
				throw new Error('batch work is never refused');
			},
		});
	};

	Array.from({length: 2 * maxRunning}, submit);
};

const runPhase = ({deployment, stepMs, seed, ms, withBatch, rate, batchWeight = deployment.batchWeight}: Phase) => {
	const random = new SeededRandom(seed);
	const fleet = new FleetModel({
		...deployment,
		replicas,
		entries,
		engine: {stepMs},
		limits: {
			maxRunning, maxQueued: 256, tokensPerSecond: 5000, batchWeight,
		},
		policy,
		random,
	});
	const batchTokens = {measured: 0};
	if (withBatch) {
		fleet.replicas.forEach(replica => {
			feedBatch(replica, tokens => {
				batchTokens.measured += fleet.time.now() > warmUpMs ? tokens : 0;
			});
		});
	}

	let sent = 0;
	poisson(fleet.time, random, {
		untilMs: warmUpMs + ms, rate: () => Math.max(0.001, rate(fleet.time.now())), arrive() {
			sent += 1;
			fleet.arrive({
				id: `r${sent}`, account: accountOf('a'), share: 1, session: `s${sent}`, promptText: textOf(`q${seed}-${sent}`, online.promptTokens), ...online, expectedTokens: online.answerTokens, deadlineMs: 60_000,
			});
		},
	});
	fleet.time.runUntil(warmUpMs + ms);
	const measured = fleet.outcomes.filter(outcome => outcome.arrivedAt > warmUpMs && outcome.firstTokenMs !== undefined);
	const gaps = measured.flatMap(outcome => outcome.gaps);
	return {
		firstTokenP99: quantile(measured.map(outcome => outcome.firstTokenMs!), 0.99),
		firstTokenP50: quantile(measured.map(outcome => outcome.firstTokenMs!), 0.5),
		gapP99: quantile(gaps, 0.99),
		gapMean: gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length,
		ended: fleet.outcomes.filter(outcome => outcome.endMs !== undefined && outcome.arrivedAt + outcome.endMs > warmUpMs).length,
		batchPerSecond: batchTokens.measured / ms * 1000,
		preemptions: fleet.replicas.reduce((sum, replica) => sum + replica.preemptions, 0),
	};
};

const measure = (deployment: Deployment, stepMs: number, seed: number, ms: number) => {
	const common = {
		deployment, stepMs, seed, ms,
	};
	const saturated = runPhase({...common, withBatch: false, rate: () => 20_000 / stepMs});
	const capacity = saturated.ended / ms * 1000;
	const rate = (now: number) => capacity * (Math.floor(now / burstMs) % 2 === 0 ? calmShare : burstShare);
	const alone = runPhase({...common, withBatch: false, rate});
	const batchAlone = runPhase({...common, withBatch: true, rate: () => 0});
	const mixed = runPhase({...common, withBatch: true, rate});
	const idleShare = 1 - (alone.ended / saturated.ended);
	return {
		alone, batchAlone, mixed, capacity, idleShare,
		firstToken: mixed.firstTokenP99 / alone.firstTokenP99,
		gap: mixed.gapP99 / alone.gapP99,
		meanGap: mixed.gapMean / alone.gapMean,
		batchShare: mixed.batchPerSecond / (batchAlone.batchPerSecond * idleShare),
	};
};

const aim = {ratio: 1.05, batchShare: 0.9};

export const benchmark: Benchmark = {
	name: 'isolation',
	describe: 'online p99 beside batch work over online alone, and batch throughput over idle capacity',
	async run({seconds = 8, runs = 3, seed, progress}) {
		const figures: Figure[] = [];
		deployments.forEach(deployment => {
			stepsMs.forEach(stepMs => {
				const name = `${deployment.name} step ${stepMs} ms`;
				const measured = Array.from({length: runs}, (_, run) => {
					const result = measure(deployment, stepMs, seed + run, seconds * 1000);
					progress(`${name}: ${JSON.stringify(result, (_key, value: unknown) => typeof value === 'number' ? Number(value.toPrecision(4)) : value)}`);
					return result;
				});
				figures.push(
					figure(`${name}: first token p99 ratio`, '', measured.map(({firstToken}) => firstToken), {atMost: aim.ratio}),
					figure(`${name}: between tokens p99 ratio`, '', measured.map(({gap}) => gap), {atMost: aim.ratio}),
					figure(`${name}: between tokens mean ratio`, '', measured.map(({meanGap}) => meanGap)),
					figure(`${name}: batch share of idle`, '', measured.map(({batchShare}) => batchShare), {atLeast: aim.batchShare}),
				);
			});
		});
		return {
			figures,
			notes: [
				`${replicas} replicas, ${entries} entries, ${maxRunning} requests at once a replica; one-way delay between failure domains ${deployments.map(({name, betweenDomainsMs}) => `${name} ${betweenDomainsMs} ms`).join(', ')}; delays to callers not injected`,
			],
		};
	},
};
