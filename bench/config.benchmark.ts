/**
How long a change of configuration takes until it is in force everywhere, what that costs a node and the object API, and how long nodes that were cut off need after the cut heals. The baseline is the simplest way, one watch a node.
*/
import process from 'node:process';
import {callMethods, type CallReport} from '../src/standins/call-counts.js';
import {ObjectApiStandin} from '../src/standins/object-api-standin.js';
import {VmListStandin} from '../src/standins/vm-list-standin.js';
import {HttpClient} from '../src/io/http-client.js';
import {HttpObjectApi} from '../src/io/http-object-api.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {ConfigNodes, type BenchNode, type NodePlan} from './config-nodes.js';
import {figure} from './figure.js';
import type {Benchmark} from './types.js';

const plan: NodePlan = {domains: 10, entriesEach: 6, agentsEach: 6};
const accounts = 300;
const defaultRuns = 3;
const defaultIdleSeconds = 10;
const changes = 30;
const changeEveryMs = 150;
const cutChanges = 6;
const cutMs = 5000;
const boundMs = 3000;
const boundBytes = 19_000;
const boundCorePercent = 2.1;

type RunFigures = {
	readonly entryP99: number;
	readonly agentP99: number;
	readonly concernedMax: number;
	readonly uncutP99: number;
	readonly healedMax: number;
	readonly bytes: number;
	readonly corePercent: number;
	readonly calls: number;
};

const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const until = async (holds: () => boolean, giveUpMs = 30_000) => {
	const deadline = performance.now() + giveUpMs;
	while (!holds()) {
		if (performance.now() > deadline) {
			throw new Error('a condition did not come true');
		}

		await sleep(5);
	}
};

const quantile = (values: readonly number[], share: number) => values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * share))] ?? Number.NaN;

const totalCalls = (report: CallReport) => callMethods.reduce((sum, method) => sum + report[method], 0);

/** Writes configuration and notes when each node has it. */
class Writer {
	readonly #api: HttpObjectApi;
	#count = 0;

	constructor(api: HttpObjectApi) {
		this.#api = api;
	}

	/** @returns For each node the milliseconds from before the write until the version was in force there; the promise ends when all have it. */
	async change(nodes: readonly BenchNode[], kind: 'ServedModel' | 'Assignment' = 'ServedModel', name = 'model'): Promise<number[]> {
		const startedAt = performance.now();
		this.#count += 1;
		const written = await this.#api.create(kind, `${name}${kind === 'ServedModel' ? `-${this.#count}` : ''}`, {metadata: {name, generation: 1}, spec: {change: this.#count}});
		const {version} = written.unsafeCoerce();
		return Promise.all(nodes.map(async node => new Promise<number>(resolve => {
			const look = () => {
				if (node.table.head >= version) {
					stop();
					resolve(performance.now() - startedAt);
				}
			};

			const stop = node.table.onBatch(look);
			look();
		})));
	}
}

const idle = async (nodes: ConfigNodes, objectApi: ObjectApiStandin, seconds: number) => {
	objectApi.resetCalls();
	const {bytes} = nodes;
	const cpu = process.cpuUsage();
	const startedAt = performance.now();
	await sleep(seconds * 1000);
	const elapsedSeconds = (performance.now() - startedAt) / 1000;
	const {user, system} = process.cpuUsage(cpu);
	const share = 1 / nodes.nodes.length / elapsedSeconds;
	return {
		// Each byte has a sender and a receiver.
		bytes: 2 * (nodes.bytes - bytes) * share,
		corePercent: (user + system) / 1e6 * share * 100,
		calls: totalCalls(objectApi.calls()) / elapsedSeconds * 60,
	};
};

const cutAndHeal = async (nodes: ConfigNodes, writer: Writer) => {
	const isCut = (domain: number) => domain % 3 === 0;
	const inside = nodes.nodes.filter(({domain}) => isCut(domain));
	const outside = nodes.nodes.filter(({domain}) => !isCut(domain));
	nodes.cut(isCut);
	const uncut: number[] = [];
	const behind: Array<Promise<number[]>> = [];
	for (let index = 0; index < cutChanges; index += 1) {
		uncut.push(...await writer.change(outside));
	}

	await sleep(cutMs);
	behind.push(writer.change(inside));
	await sleep(changeEveryMs);
	const newest = Math.max(...outside.map(({table}) => table.head));
	const healedAt = performance.now();
	nodes.cut(() => false);
	await until(() => inside.every(({table}) => table.head >= newest));
	const healed = performance.now() - healedAt;
	await Promise.all(behind);
	return {uncutP99: quantile(uncut, 0.99), healedMax: healed};
};

const runOnce = async (seed: number, seconds: number): Promise<RunFigures> => {
	const objectApi = await ObjectApiStandin.start();
	const vmList = await VmListStandin.start();
	const http = new HttpClient();
	const nodes = new ConfigNodes(objectApi, vmList, new SeededRandom(seed));
	try {
		const api = new HttpObjectApi(http, {address: objectApi.address, timeoutMs: 2000});
		await Promise.all(Array.from({length: accounts}, async (_, index) => api.create('ClientAccount', `account-${index}`, {metadata: {name: `account-${index}`}, spec: {keySha256: [`${index}`.padStart(64, '0')]}})));
		await nodes.start(plan);
		const writer = new Writer(api);
		await until(() => nodes.nodes.every(node => node.isReady()));
		await writer.change(nodes.nodes);
		const cost = await idle(nodes, objectApi, seconds);
		const times = [];
		for (let index = 0; index < changes; index += 1) {
			times.push(writer.change(nodes.nodes));
			await sleep(changeEveryMs);
		}

		const all = await Promise.all(times);
		const ofRole = (role: BenchNode['role']) => all.flatMap(row => row.filter((_, index) => nodes.nodes[index]?.role === role));
		const agents = nodes.nodes.filter(({role}) => role === 'agent').slice(0, changes);
		const concerned = await Promise.all(agents.map(async agent => writer.change([agent], 'Assignment', agent.name)));
		const healed = await cutAndHeal(nodes, writer);
		return {
			...cost, ...healed, entryP99: quantile(ofRole('entry'), 0.99), agentP99: quantile(ofRole('agent'), 0.99), concernedMax: Math.max(...concerned.flat()),
		};
	} finally {
		nodes.dispose();
		http.dispose();
		vmList.dispose();
		objectApi.dispose();
	}
};

/** Calls a minute when each node watches by itself, and one change at each of them. */
const baselineCalls = async (seconds: number): Promise<number> => {
	const objectApi = await ObjectApiStandin.start();
	const count = plan.domains * (plan.entriesEach + plan.agentsEach);
	const clients = Array.from({length: count}, () => new HttpClient());
	const over = new AbortController();
	try {
		const watching = clients.map(async http => {
			const api = new HttpObjectApi(http, {address: objectApi.address, timeoutMs: 2000});
			while (!over.signal.aborted) {
				await api.watch(['ServedModel'], 0 as never, 10_000);
			}
		});
		// The first call of each is not what is compared.
		await sleep(500);
		objectApi.resetCalls();
		const startedAt = performance.now();
		await sleep(seconds * 1000);
		const calls = totalCalls(objectApi.calls()) / ((performance.now() - startedAt) / 60_000);
		over.abort();
		objectApi.dispose();
		await Promise.all(watching);
		return calls;
	} finally {
		clients.forEach(http => {
			http.dispose();
		});
		objectApi.dispose();
	}
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'config',
	describe: 'Milliseconds until a change of configuration is in force at 120 nodes, after a cut too; what it costs; against one watch a node.',
	async run({runs = defaultRuns, seconds = defaultIdleSeconds, seed, progress}) {
		const rows: RunFigures[] = [];
		for (let run = 0; run < runs; run += 1) {
			rows.push(await runOnce(seed + run, seconds));
			progress(`run ${run + 1} of ${runs}: ${JSON.stringify(rows.at(-1))}`);
		}

		const baseline = await baselineCalls(seconds);
		const of = (key: keyof RunFigures) => rows.map(row => row[key]);
		return {
			figures: [
				figure('in force at entries, p99', 'ms', of('entryP99'), {atMost: boundMs}),
				figure('known at agents whose objects did not change, p99', 'ms', of('agentP99'), {atMost: boundMs}),
				figure('in force at the agent concerned, longest', 'ms', of('concernedMax'), {atMost: boundMs}),
				figure('in force at the others while four of ten failure domains are cut off, p99', 'ms', of('uncutP99'), {atMost: boundMs}),
				figure('everywhere after the cut healed, longest', 'ms', of('healedMax'), {atMost: boundMs}),
				figure('control bytes a node, sent and received, idle', 'bytes/s', of('bytes'), {atMost: boundBytes}),
				figure('processor time a node, idle', '% of a core', of('corePercent'), {atMost: boundCorePercent}),
				figure('calls at the object API, idle, all nodes', 'calls/min', of('calls'), {atMost: baseline / 2}),
				figure('the same with one watch a node', 'calls/min', [baseline]),
			],
			notes: [`${plan.domains} failure domains with ${plan.entriesEach} entries and ${plan.agentsEach} agents each, all in one process; ${changes} changes, ${changeEveryMs} ms apart. A cut is silent: no answer, no error. The stand-ins run in the same process, so their processor time is in the nodes' figure.`],
		};
	},
};
