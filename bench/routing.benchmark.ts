/**
Which replica a request should go to: remaining work in tokens against least load, prefix affinity and consistent hashing. The requests are turns of conversations that share a system prompt and grow with each turn, and some last turns are far longer than the others; this is the case of the paper that docs/DESIGN.md cites.
*/
import type {BlockHash, VmName} from '../src/common/ids.js';
import {PrefixIndex} from '../src/common/prefix-index.js';
import {rankMembers} from '../src/common/rendezvous.js';
import type {ReplicaView} from '../src/common/replica-table.js';
import {chooseReplica} from '../src/common/route-policy.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {figure} from './figure.js';
import {
	FleetModel, accountOf, type ModelPolicy, type ModelQuestion,
} from './model/fleet-model.js';
import {poisson, quantile, textOf} from './model/workload.js';
import type {Benchmark} from './types.js';

const replicas = 13;
const entries = 3;
const maxRunning = 32;
const maxBlocks = 8000;
const turns = 8;
const systemTokens = 512;
const questionTokens = 128;
const turnAnswerTokens = 64;
const stragglerShare = 0.2;
const stragglerTokens = 1024;
const expectedTokens = 64;
const warmUpMs = 4000;
// Conversations a second; chosen so that the best policy uses about two thirds of the fleet.
const conversationsPerSecond: Readonly<Record<number, number>> = {2: 90, 20: 40};

const stepsMs = [2, 20] as const;

const indexes = () => Array.from({length: entries}, () => new PrefixIndex(maxBlocks));
const cachedOf = (index: PrefixIndex, blocks: readonly BlockHash[]) => (vm: VmName) => index.cachedTokens(vm, blocks);

const question = ({replicas, tried, request}: ModelQuestion) => ({replicas, tried: tried as ReadonlySet<VmName>, costTokens: request.promptTokens + request.expectedTokens});

const withIndex = (choose: (asked: ModelQuestion, index: PrefixIndex) => ReplicaView | undefined): ModelPolicy => {
	const known = indexes();
	return {
		choose: asked => choose(asked, known[asked.entry]!),
		confirmed(entry, vm, blocks) {
			known[entry]!.confirmed(vm as VmName, blocks, 0);
		},
	};
};

const policies: Readonly<Record<string, () => ModelPolicy>> = {
	'remaining work': () => withIndex((asked, index) => chooseReplica({...question(asked), cachedTokens: cachedOf(index, asked.blocks)}, asked.random)?.chosen),
	'least load': () => ({
		choose: asked => chooseReplica(question(asked), asked.random)?.chosen,
	}),
	'prefix affinity': () => withIndex((asked, index) => {
		const cached = cachedOf(index, asked.blocks);
		const most = Math.max(...asked.replicas.map(({vm}) => cached(vm)));
		return chooseReplica({...question(asked), replicas: asked.replicas.filter(({vm}) => cached(vm) === most)}, asked.random)?.chosen;
	}),
	'consistent hashing': () => ({
		choose({request, replicas, tried}) {
			const byVm = new Map<string, ReplicaView>(replicas.map(replica => [replica.vm, replica]));
			const ranked = rankMembers(request.session, [...byVm.keys()]);
			return byVm.get(ranked.find(vm => !tried.has(vm)) ?? ranked[0] ?? '');
		},
	}),
};

const converse = (fleet: FleetModel, name: string, random: SeededRandom, onEnded: (ms: number) => void) => {
	const startedAt = fleet.time.now();
	const isStraggler = random.next() < stragglerShare;
	const system = textOf('you are the tyre desk', systemTokens);
	const take = (turn: number, history: string) => {
		const promptText = history + textOf(`${name}-${turn}`, questionTokens);
		const answerTokens = isStraggler && turn === turns ? stragglerTokens : turnAnswerTokens;
		fleet.arrive({
			id: `${name}-${turn}`,
			account: accountOf('a'),
			share: 1,
			session: name,
			promptText,
			promptTokens: promptText.length / 4,
			answerTokens,
			expectedTokens,
			deadlineMs: 60_000,
			onWhole() {
				if (turn === turns) {
					onEnded(fleet.time.now() - startedAt);
					return;
				}

				take(turn + 1, promptText + textOf(`answer ${name}-${turn}`, answerTokens));
			},
		});
	};

	take(1, system);
};

const measure = (makePolicy: () => ModelPolicy, stepMs: number, seed: number, ms: number) => {
	const random = new SeededRandom(seed);
	const fleet = new FleetModel({
		replicas,
		entries,
		failureDomains: ['durgapur-hall', 'asansol-hall', 'kolkata-hall'],
		betweenDomainsMs: 0.5,
		engine: {stepMs, cacheBlocks: 4000},
		limits: {maxRunning, maxQueued: 256, tokensPerSecond: 5000},
		policy: makePolicy(),
		random: new SeededRandom(seed + 1000),
	});
	const conversations: number[] = [];
	let started = 0;
	poisson(fleet.time, random, {
		untilMs: warmUpMs + ms, rate: () => conversationsPerSecond[stepMs]!, arrive() {
			started += 1;
			converse(fleet, `c${seed}-${started}`, random, took => {
				if (fleet.time.now() > warmUpMs) {
					conversations.push(took);
				}
			});
		},
	});
	fleet.time.runUntil(warmUpMs + ms);
	const measured = fleet.outcomes.filter(outcome => outcome.arrivedAt > warmUpMs);
	const firstTokens = measured.flatMap(({firstTokenMs}) => firstTokenMs ?? []);
	const prompts = fleet.replicas.map(({engine}) => engine.prompts);
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	const cached = sum(prompts.map(prompt => prompt.cached));
	return {
		firstTokenP50: quantile(firstTokens, 0.5),
		firstTokenP99: quantile(firstTokens, 0.99),
		gapP99: quantile(measured.flatMap(({gaps}) => gaps), 0.99),
		conversationP99: quantile(conversations, 0.99),
		hitShare: cached / (cached + sum(prompts.map(prompt => prompt.computed))),
		whole: measured.filter(({endMs}) => endMs !== undefined).length,
	};
};

export const benchmark: Benchmark = {
	name: 'routing',
	describe: 'routing by remaining work against least load, prefix affinity and consistent hashing',
	async run({seconds = 10, runs = 3, seed, progress}) {
		const results = stepsMs.flatMap(stepMs => Object.entries(policies).map(([name, makePolicy]) => {
			const measured = Array.from({length: runs}, (_, run) => measure(makePolicy, stepMs, seed + run, seconds * 1000));
			progress(`step ${stepMs} ms, ${name}: ${JSON.stringify(measured.at(0), (_key, value: unknown) => typeof value === 'number' ? Number(value.toPrecision(4)) : value)}`);
			return {stepMs, name, measured};
		}));
		const own = (stepMs: number, run: number) => results.find(result => result.stepMs === stepMs && result.name === 'remaining work')!.measured[run]!;
		return {
			figures: results.flatMap(({stepMs, name, measured}) => {
				const label = `step ${stepMs} ms, ${name}`;
				const isOwn = name === 'remaining work';
				return [
					figure(`${label}: first token p99`, 'ms', measured.map(({firstTokenP99}) => firstTokenP99)),
					figure(`${label}: conversation p99`, 'ms', measured.map(({conversationP99}) => conversationP99)),
					figure(`${label}: prompt tokens found in the cache`, 'share', measured.map(({hitShare}) => hitShare)),
					...(isOwn ? [] : [figure(`${label}: first token p99 of remaining work over this`, '', measured.map(({firstTokenP99}, run) => own(stepMs, run).firstTokenP99 / firstTokenP99), {atMost: 1.05})]),
				];
			}),
			notes: [`${replicas} replicas, ${entries} entries, ${turns} turns a conversation, ${systemTokens} tokens of shared system prompt, one conversation in ${1 / stragglerShare} ends with an answer of ${stragglerTokens} tokens instead of ${turnAnswerTokens}`],
		};
	},
};
