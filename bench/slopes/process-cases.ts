/**
Costs of whole processes: an entry against the agents it polls, entry and agent against open streams, and against requests and tokens.
*/
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {keyHash} from '../../src/entry/accounts.js';
import {Caller} from '../../src/load/caller.js';
import {cpuMicros} from '../process-cpu.js';
import {ProcessFleet} from '../process-fleet.js';
import {residentMb} from '../process-usage.js';
import {sampleLoad} from './core-cases.js';
import type {SlopeCase} from './slope.js';

/** What is read of one process over a while. */
type Usage = {readonly cpuPercent: number; readonly mb: number};

const apiKey = 'key-of-nodibandh';
const model = 'tyre-scribe';
const failureDomain = 'durgapur-hall';
const settleMs = 2500;
const sampleMs = 2500;
const microsPerMs = 1000;
const percent = 100;
const bytesPerMb = 1e6;

const sample = async (pid: number): Promise<Usage> => {
	const before = cpuMicros(pid);
	await sleep(sampleMs);
	return {cpuPercent: (cpuMicros(pid) - before) / (sampleMs * microsPerMs) * percent, mb: residentMb(pid)};
};

const answers: Readonly<Record<string, unknown>> = {
	'agent.load': sampleLoad('vm-1', `model:${model}`),
	'batch.renew': {accepted: true, reports: []},
};

/** A server that answers load polls as one agent does, and counts bytes. */
class PolledAgent {
	bytes = 0;
	polls = 0;
	readonly #server: Server;

	constructor() {
		this.#server = createServer((req, res) => {
			const parts: Uint8Array[] = [];
			req.on('data', (part: Uint8Array) => {
				parts.push(part);
			});
			req.on('end', () => {
				this.polls += 1;
				const {id, method} = JSON.parse(new TextDecoder().decode(parts[0])) as {id: unknown; method: string};
				const before = req.socket.bytesWritten;
				res.setHeader('content-type', 'application/json');
				res.end(JSON.stringify({jsonrpc: '2.0', id, result: answers[method]}), () => {
					this.bytes += req.socket.bytesWritten - before;
				});
			});
		});
		this.#server.on('connection', socket => {
			socket.on('data', (data: Uint8Array) => {
				this.bytes += data.length;
			});
		});
	}

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	dispose() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

type Polling = Usage & {readonly bytesPerSecond: number};

const withPlatform = async (name: string) => {
	const fleet = new ProcessFleet(name);
	const [objectApi, vmList] = await Promise.all([fleet.startStandin('object-api', 'object-api'), fleet.startStandin('vm-list', 'vm-list')]);
	fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
	return fleet;
};

/** One entry that polls so many agents, each at an address of its own. */
const measurePolling = async (size: number): Promise<Polling> => {
	const fleet = await withPlatform('slope-polls');
	const agents = Array.from({length: size}, () => new PolledAgent());
	try {
		await Promise.all(agents.map(async (agent, index) => fleet.listVm({vm: `vm-${index}`, failureDomain}, 'backend', await agent.listen())));
		const entry = await fleet.startEntry({vm: 'entry-1', failureDomain});
		await sleep(settleMs);
		const before = agents.reduce((sum, {bytes}) => sum + bytes, 0);
		const usage = await sample(entry.pid);
		const bytes = agents.reduce((sum, agent) => sum + agent.bytes, 0) - before;
		return {...usage, bytesPerSecond: bytes * 1000 / sampleMs};
	} finally {
		await fleet.dispose();
		agents.forEach(agent => {
			agent.dispose();
		});
	}
};

/** Measures each size once, whichever figures are asked for. */
const once = <T>(measure: (size: number) => Promise<T>) => {
	const known = new Map<number, Promise<T>>();
	return async (size: number): Promise<T> => {
		const found = known.get(size) ?? measure(size);
		known.set(size, found);
		return found;
	};
};

class StreamPath {
	static async start(engine: object): Promise<StreamPath> {
		const fleet = await withPlatform('slope-streams');
		const path = new StreamPath(fleet);
		await path.#start(engine);
		return path;
	}

	readonly fleet: ProcessFleet;
	readonly caller = new Caller();

	private constructor(fleet: ProcessFleet) {
		this.fleet = fleet;
	}

	async ask(prompt: string, maxTokens: number, onToken?: () => void) {
		return this.caller.generate({
			model, prompt, maxTokens, stream: true,
		}, {
			address: this.fleet.get('entry-1').address, apiKey, timeoutMs: 120_000, onToken,
		});
	}

	async dispose() {
		this.caller.dispose();
		await this.fleet.dispose();
	}

	async #start(engineSettings: object) {
		const put = async (kind: string, name: string, spec: object) => fetch(`http://${this.fleet.platform.objectApi}/v1/objects/${kind}/${name}`, {
			method: 'PUT',
			body: JSON.stringify({
				apiVersion: 'citronyard/v1', kind, metadata: {name}, spec,
			}),
		});
		await put('ModelVersion', 'tyre-scribe-1', {weights: 'tyre-scribe-1'});
		await put('ServedModel', model, {version: 'tyre-scribe-1'});
		await put('ClientAccount', 'nodibandh', {keySha256: [keyHash(apiKey)], maxInFlight: 5000});
		const engine = await this.fleet.startStandin('engine', 'engine', {models: [{model, version: 'tyre-scribe-1'}], ...engineSettings});
		const place = {vm: 'vm-1', failureDomain};
		const agent = await this.fleet.startAgent(place, {
			type: 'engine', address: engine.address, maxRunning: 2000, tokensPerSecond: 10_000_000,
		}, {limits: {maxQueued: 5000}});
		await this.fleet.listVm(place, 'backend', agent.address);
		await this.fleet.startEntry({vm: 'entry-1', failureDomain});
		await sleep(settleMs);
	}
}

// More than an engine generates while the streams are opened.
const streamTokens = 12_000;

/** So many streams that have had their first token and then none for a while. */
const measureOpenStreams = async (size: number): Promise<{entry: Usage; agent: Usage}> => {
	const path = await StreamPath.start({maxBatch: 2000, stepMs: 400, kvTokens: 100_000_000});
	try {
		const begun = Array.from({length: size}, async (_, index) => new Promise<void>((resolve, reject) => {
			void path.ask(`stream ${index}`, streamTokens, resolve).then(answer => {
				reject(new Error(`a stream ended: ${JSON.stringify(answer).slice(0, 200)}`));
			});
		}));
		await Promise.all(begun);
		await fetch(`http://${path.fleet.get('engine').address}/control/faults`, {method: 'POST', body: JSON.stringify({freeze: true})});
		await sleep(settleMs);
		const [entry, agent] = await Promise.all(['entry-1', 'vm-1'].map(async name => sample(path.fleet.get(name).pid)));
		return {entry: entry!, agent: agent!};
	} finally {
		await path.dispose();
	}
};

const requestsPerSize = 200;
const atOnce = 4;

/** Requests of so many tokens each; processor time a request. */
const measureTokens = async (tokens: number): Promise<{entry: number; agent: number}> => {
	const path = await StreamPath.start({stepMs: 3});
	try {
		const pids = ['entry-1', 'vm-1'].map(name => path.fleet.get(name).pid);
		const send = async (count: number) => {
			let left = count;
			await Promise.all(Array.from({length: atOnce}, async () => {
				while (left > 0) {
					left -= 1;
					await path.ask(`request ${left}`, tokens);
				}
			}));
		};

		await send(requestsPerSize / 4);
		const before = pids.map(pid => cpuMicros(pid));
		await send(requestsPerSize);
		const [entry, agent] = pids.map((pid, index) => (cpuMicros(pid) - before[index]!) / requestsPerSize);
		return {entry: entry!, agent: agent!};
	} finally {
		await path.dispose();
	}
};

const polling = once(measurePolling);
const openStreams = once(measureOpenStreams);
const tokens = once(measureTokens);
const pollSizes = [10, 50, 100, 200] as const;
const streamSizes = [50, 200, 400, 800] as const;
const tokenSizes = [4, 16, 64, 128] as const;

/** The cases. */
export const processCases: readonly SlopeCase[] = [
	{
		name: 'entry, load polls every 250 ms, processor', unit: '% of a core', per: 'agent', sizes: pollSizes, cost: async size => polling(size).then(({cpuPercent}) => cpuPercent),
	},
	{
		name: 'entry, load polls every 250 ms, bytes both ways', unit: 'bytes a second', per: 'agent', sizes: pollSizes, cost: async size => polling(size).then(({bytesPerSecond}) => bytesPerSecond),
	},
	{
		name: 'entry, load polls every 250 ms, resident memory', unit: 'bytes', per: 'agent', sizes: pollSizes, cost: async size => polling(size).then(({mb}) => mb * bytesPerMb),
	},
	...(['entry', 'agent'] as const).flatMap((program): SlopeCase[] => [
		{
			name: `${program}, open streams, resident memory`, unit: 'bytes', per: 'open stream', sizes: streamSizes, cost: async size => openStreams(size).then(usage => usage[program].mb * bytesPerMb),
		},
		{
			name: `${program}, open streams without tokens, processor`, unit: '% of a core', per: 'open stream', sizes: streamSizes, cost: async size => openStreams(size).then(usage => usage[program].cpuPercent),
		},
		{
			name: `${program}, one streamed request, processor`, unit: 'µs', per: 'token', sizes: tokenSizes, cost: async size => tokens(size).then(micros => micros[program]),
		},
	]),
];
