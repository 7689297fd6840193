/**
What the way through entry and agent costs: latency against the model engine and the plain service called directly, in the same run and by turns, and processor time of entry and agent per request and per token of a stream.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {Caller, type CallerAnswer, type CallerOptions} from '../src/load/caller.js';
import {figure, median} from './figure.js';
import {PathFleet, pathModel, pathService} from './path-fleet.js';
import {cpuMicros} from './process-cpu.js';
import type {Benchmark, Figure} from './types.js';

type Latencies = {readonly firstToken: number[]; readonly gaps: number[]; readonly whole: number[]; readonly call: number[]};
type Cpu = {readonly entry: number; readonly agent: number; readonly serviceAgent: number};
type Load = {readonly requests: number; readonly ask: (serial: number) => Promise<void>};

const defaultRuns = 3;
const defaultSeconds = 15;
// A stream, a whole answer and a call, directly and through the path, take about this long together.
const roundMs = 110;
// The processor time of a request falls to a third over the first 5000.
const warmUpRequests = 3000;
const latencyTokens = 8;
const shortTokens = 16;
const longTokens = 144;
const cpuConcurrency = 4;
const idleMs = 1500;
const engineSettings = {stepMs: 2, prefillMsPerKiloToken: 5};
const promptWords = 60;
const firstTokenBoundMs = 1.5;
const microsPerMs = 1000;

const quantile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Prompts of the same length that share no prefix, so that the engine's cache helps neither way. */
const promptOf = (serial: number) => `${serial} ${Array.from({length: promptWords}, (_, word) => `word-${word}`).join(' ')}`;

const requireWhole = (answer: CallerAnswer) => {
	if (answer.kind !== 'whole') {
		throw new Error(`an answer was not whole: ${JSON.stringify(answer)}`);
	}
};

/** Measures one path. */
class OverheadRun {
	readonly #caller: Caller;
	readonly #path: PathFleet;
	#serial = 0;

	constructor(caller: Caller, path: PathFleet) {
		this.#caller = caller;
		this.#path = path;
	}

	/** Asks by turns, one request at a time, so that neither way has the better moments of the machine. */
	async latencies(rounds: number): Promise<{direct: Latencies; through: Latencies}> {
		const found = {direct: this.#empty(), through: this.#empty()};
		const ways = [
			{into: found.direct, options: this.#path.toEngine, call: async () => this.#callDirectly()},
			{into: found.through, options: this.#path.through, call: async () => this.#callThrough()},
		];
		for (let round = 0; round < rounds; round += 1) {
			for (const {into, options, call} of round % 2 === 0 ? ways : ways.toReversed()) {
				await this.#stream(options, into);
				into.whole.push(await this.#timed(async () => this.#generate(options, latencyTokens, false)));
				into.call.push(await this.#timed(call));
			}
		}

		return found;
	}

	/** Processor time per request of a load, in microseconds, less what the same processes use when idle for as long. */
	async cpuPerRequest({requests, ask}: Load): Promise<Cpu> {
		const idle = await this.#cpuDuring(async () => sleep(idleMs));
		const busy = await this.#cpuDuring(async () => this.runLoad({requests, ask}));
		const of = (name: keyof Cpu) => (busy.used[name] - (idle.used[name] * busy.ms / idle.ms)) / requests;
		return {entry: of('entry'), agent: of('agent'), serviceAgent: of('serviceAgent')};
	}

	/** A load of generations with answers of one length. */
	generations(requests: number, tokens: number, stream: boolean): Load {
		return {requests, ask: async () => this.#generate(this.#path.through, tokens, stream)};
	}

	/** A load of calls. */
	calls(requests: number): Load {
		return {requests, ask: async () => this.#callThrough()};
	}

	/** Carries a load out, a few requests at once. */
	async runLoad({requests, ask}: Load): Promise<void> {
		let left = requests;
		const worker = async () => {
			while (left > 0) {
				left -= 1;
				await ask(left);
			}
		};

		await Promise.all(Array.from({length: cpuConcurrency}, worker));
	}

	#empty(): Latencies {
		return {
			firstToken: [], gaps: [], whole: [], call: [],
		};
	}

	async #stream(options: CallerOptions, into: Latencies) {
		const startedAt = performance.now();
		let lastAt: number | undefined;
		await this.#generate({
			...options, onToken() {
				const now = performance.now();
				if (lastAt === undefined) {
					into.firstToken.push(now - startedAt);
				} else {
					into.gaps.push(now - lastAt);
				}

				lastAt = now;
			},
		}, latencyTokens, true);
	}

	async #timed(act: () => Promise<void>): Promise<number> {
		const startedAt = performance.now();
		await act();
		return performance.now() - startedAt;
	}

	async #generate(options: CallerOptions, maxTokens: number, stream: boolean): Promise<void> {
		this.#serial += 1;
		requireWhole(await this.#caller.generate({
			model: pathModel, prompt: promptOf(this.#serial), maxTokens, stream,
		}, options));
	}

	async #callThrough(): Promise<void> {
		requireWhole(await this.#caller.call({service: pathService, method: 'GET', path: '/gates/3'}, this.#path.through));
	}

	async #callDirectly(): Promise<void> {
		requireWhole(await this.#caller.request('GET', '/gates/3', {...this.#path.through, address: this.#path.serviceAddress}));
	}

	async #cpuDuring(act: () => Promise<unknown>) {
		const {pids} = this.#path;
		const read = () => ({entry: cpuMicros(pids.entry), agent: cpuMicros(pids.agent), serviceAgent: cpuMicros(pids.serviceAgent)});
		const before = read();
		const startedAt = performance.now();
		await act();
		const after = read();
		return {
			ms: performance.now() - startedAt,
			used: {entry: after.entry - before.entry, agent: after.agent - before.agent, serviceAgent: after.serviceAgent - before.serviceAgent},
		};
	}
}

/** The two parts of a cost that is so much a request and so much a token, from its values at two lengths. */
const partsOf = (short: number, long: number) => {
	const perToken = (long - short) / (longTokens - shortTokens);
	return {perToken, perRequest: short - (perToken * shortTokens)};
};

const measure = async (path: OverheadRun, seconds: number): Promise<Record<string, number>> => {
	const {direct, through} = await path.latencies(Math.max(20, Math.floor(seconds * 1000 / roundMs)));
	const requests = Math.max(40, Math.floor(seconds * 16));
	const short = await path.cpuPerRequest(path.generations(4 * requests, shortTokens, true));
	const long = await path.cpuPerRequest(path.generations(requests, longTokens, true));
	const whole = await path.cpuPerRequest(path.generations(4 * requests, shortTokens, false));
	const call = await path.cpuPerRequest(path.calls(8 * requests));
	const entry = partsOf(short.entry, long.entry);
	const agent = partsOf(short.agent, long.agent);
	return {
		firstTokenP50: quantile(through.firstToken, 0.5) - quantile(direct.firstToken, 0.5),
		firstTokenP95: quantile(through.firstToken, 0.95) - quantile(direct.firstToken, 0.95),
		directFirstTokenP50: median(direct.firstToken),
		gapMean: (mean(through.gaps) - mean(direct.gaps)) * microsPerMs,
		gapP95: quantile(through.gaps, 0.95) - quantile(direct.gaps, 0.95),
		wholeP50: quantile(through.whole, 0.5) - quantile(direct.whole, 0.5),
		callP50: quantile(through.call, 0.5) - quantile(direct.call, 0.5),
		directCallP50: median(direct.call),
		entryRequest: entry.perRequest,
		entryToken: entry.perToken,
		agentRequest: agent.perRequest,
		agentToken: agent.perToken,
		entryWhole: whole.entry,
		agentWhole: whole.agent,
		entryCall: call.entry,
		agentCall: call.serviceAgent,
	};
};

const rows: ReadonlyArray<{readonly key: string; readonly name: string; readonly unit: string; readonly atMost?: number}> = [
	{
		key: 'firstTokenP50', name: 'first token: added p50', unit: 'ms', atMost: firstTokenBoundMs,
	},
	{key: 'firstTokenP95', name: 'first token: added p95', unit: 'ms'},
	{key: 'directFirstTokenP50', name: 'first token: engine directly p50', unit: 'ms'},
	{key: 'gapMean', name: 'between tokens: added mean', unit: 'µs'},
	{key: 'gapP95', name: 'between tokens: added p95', unit: 'ms'},
	{key: 'wholeP50', name: `whole answer of ${latencyTokens} tokens: added p50`, unit: 'ms'},
	{key: 'callP50', name: 'plain call: added p50', unit: 'ms'},
	{key: 'directCallP50', name: 'plain call: one exchange directly p50', unit: 'ms'},
	{key: 'entryRequest', name: 'processor of entry per stream', unit: 'µs'},
	{key: 'entryToken', name: 'processor of entry per streamed token', unit: 'µs'},
	{key: 'agentRequest', name: 'processor of agent per stream', unit: 'µs'},
	{key: 'agentToken', name: 'processor of agent per streamed token', unit: 'µs'},
	{key: 'entryWhole', name: `processor of entry per whole answer of ${shortTokens} tokens`, unit: 'µs'},
	{key: 'agentWhole', name: `processor of agent per whole answer of ${shortTokens} tokens`, unit: 'µs'},
	{key: 'entryCall', name: 'processor of entry per plain call', unit: 'µs'},
	{key: 'agentCall', name: 'processor of agent per plain call', unit: 'µs'},
];

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'overhead',
	describe: 'Latency and processor time that entry and agent add to the model engine and to a plain service called directly, separate processes.',
	async run({runs = defaultRuns, seconds = defaultSeconds, progress}) {
		const caller = new Caller();
		const fleet = await PathFleet.start(caller, engineSettings);
		try {
			const path = new OverheadRun(caller, fleet);
			// A daemon that has run for minutes is measured, not one whose code is still being compiled.
			await path.runLoad(path.generations(warmUpRequests, 2, true));
			await path.runLoad(path.generations(warmUpRequests, 2, false));
			await path.runLoad(path.calls(warmUpRequests));
			const found: Array<Record<string, number>> = [];
			for (let run = 0; run < runs; run += 1) {
				found.push(await measure(path, seconds));
				progress(`run ${run + 1}: ${JSON.stringify(found.at(-1))}`);
			}

			const figures = rows.map(({key, name, unit, atMost}): Figure => figure(name, unit, found.map(run => run[key]!), atMost === undefined ? undefined : {atMost}));
			return {
				figures,
				notes: [
					`latencies one request at a time, engine step ${engineSettings.stepMs} ms, answers of ${latencyTokens} tokens; added: the percentile through the entry less the percentile of the direct way`,
					`processor time of all threads from /proc/PID/task/*/schedstat, idle use taken off, ${cpuConcurrency} requests at once; streams of ${shortTokens} and ${longTokens} tokens give the part per request and the part per token`,
				],
			};
		} finally {
			caller.dispose();
			await fleet.dispose();
		}
	},
};
