/**
Nodes that follow the configuration over HTTP on loopback, all in this process, with a switch that cuts some of them off. Each has its own connections, as separate processes would.
*/
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Left} from 'purify-ts/Either';
import {AgentConfigFollower} from '../src/agent/config-follower.js';
import type {PollNode} from '../src/common/config-bootstrap.js';
import {pollTimeoutMs, pollWaitMs, type ConfigPoll} from '../src/common/config-protocol.js';
import {ConfigTable} from '../src/common/config-table.js';
import {branded} from '../src/common/ids.js';
import type {
	Disposable, EventLog, ObjectApi, RandomSource, VmList,
} from '../src/common/services.js';
import type {VmEntry} from '../src/common/types.js';
import {ConfigFollower} from '../src/entry/config-follower.js';
import {configAsker, configChangesMethod} from '../src/io/config-asker.js';
import {HttpClient} from '../src/io/http-client.js';
import {HttpObjectApi} from '../src/io/http-object-api.js';
import {HttpVmList} from '../src/io/http-vm-list.js';
import {RpcClient} from '../src/io/rpc-client.js';
import {rpcRoute} from '../src/io/rpc-route.js';
import {SystemClock} from '../src/io/system-clock.js';
import type {ObjectApiStandin} from '../src/standins/object-api-standin.js';
import type {VmListStandin} from '../src/standins/vm-list-standin.js';

/** Who is where. */
export type NodePlan = {readonly domains: number; readonly entriesEach: number; readonly agentsEach: number};

/** Says whether a failure domain is cut off. */
export type CutTest = (domain: number) => boolean;

/** A node that follows. */
export type BenchNode = Disposable & {
	readonly name: string;
	readonly role: 'entry' | 'agent';
	readonly domain: number;
	readonly table: ConfigTable;
	readonly isReady: () => boolean;
	readonly run: () => Promise<void>;
};

const clock = new SystemClock();
const log: EventLog = {emit: () => undefined};
const apiTimeoutMs = 2000;
const nowhere: CutTest = () => false;

/** All nodes of a run, and the platform's stand-ins that they use. */
export class ConfigNodes implements Disposable {
	readonly nodes: BenchNode[] = [];
	readonly #objectApi: ObjectApiStandin;
	readonly #vmList: VmListStandin;
	readonly #random: RandomSource;
	readonly #servers: Server[] = [];
	readonly #sockets = new Set<Socket>();
	readonly #domainOf = new Map<string, number>();
	#closedBytes = 0;
	#entries: VmEntry[] = [];
	#isCut: CutTest = nowhere;

	constructor(objectApi: ObjectApiStandin, vmList: VmListStandin, random: RandomSource) {
		this.#objectApi = objectApi;
		this.#vmList = vmList;
		this.#random = random;
	}

	/** Bytes that entries received and sent on their connections, TCP's own not counted. */
	get bytes(): number {
		return this.#closedBytes + [...this.#sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	}

	/** Starts all nodes. */
	async start({domains, entriesEach, agentsEach}: NodePlan): Promise<void> {
		const places = Array.from({length: domains}, (_, domain) => domain);
		for (const domain of places) {
			for (let index = 0; index < entriesEach; index += 1) {
				await this.#addEntry(domain, `d${domain}-entry-${index}`);
			}
		}

		// A new list, so that places are worked out anew.
		this.#entries = [...this.#entries];
		places.forEach(domain => {
			Array.from({length: agentsEach}, (_, index) => `d${domain}-agent-${index}`).forEach(name => {
				this.#addAgent(domain, name);
			});
		});
		this.nodes.forEach(node => {
			void node.run();
		});
	}

	/** Cuts failure domains off from all others and from the platform; what they send gets no answer. */
	cut(isCut: CutTest): void {
		this.#isCut = isCut;
	}

	dispose(): void {
		this.nodes.forEach(node => {
			node.dispose();
		});
		this.#servers.forEach(server => {
			server.close();
			server.closeAllConnections();
		});
	}

	async #addEntry(domain: number, name: string) {
		const http = new HttpClient();
		const table = new ConfigTable();
		const follower = new ConfigFollower({
			api: this.#api(http, domain), clock, random: this.#random, log, table, vm: name, entries: () => this.#entries, ask: this.#asker(http, domain),
		});
		const address = await this.#serve(async poll => follower.answer(poll));
		this.#domainOf.set(address, domain);
		const vm: VmEntry = {
			name: branded(name), role: 'entry', address, failureDomain: branded(`d${domain}`), state: 'live',
		};
		this.#entries.push(vm);
		this.#vmList.setVm(name, vm);
		this.nodes.push({
			name, role: 'entry', domain, table, isReady: () => follower.isReady, run: async () => follower.run(), dispose() {
				follower.dispose();
				http.dispose();
			},
		});
	}

	#addAgent(domain: number, name: string) {
		const http = new HttpClient();
		const table = new ConfigTable();
		const vmList: VmList = new HttpVmList(http, this.#vmList.address, apiTimeoutMs);
		const follower = new AgentConfigFollower({
			api: this.#api(http, domain), vmList, clock, random: this.#random, log, table, vm: name, failureDomain: `d${domain}`, ask: this.#asker(http, domain),
		});
		this.nodes.push({
			name, role: 'agent', domain, table, isReady: () => follower.isReady, run: async () => follower.run(), dispose() {
				follower.dispose();
				http.dispose();
			},
		});
	}

	async #serve(answer: (poll: ConfigPoll) => Promise<unknown>): Promise<string> {
		const route = rpcRoute({[configChangesMethod]: answer});
		const server = createServer((req, res) => {
			void route.handle(req, res, {url: new URL('http://local/rpc'), params: {}});
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				this.#closedBytes += socket.bytesRead + socket.bytesWritten;
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		this.#servers.push(server);
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	#asker(http: HttpClient, domain: number): PollNode {
		const ask = configAsker(new RpcClient(http));
		const isOpen = (to: string) => this.#isCut(domain) === this.#isCut(this.#domainOf.get(to) ?? domain) && (!this.#isCut(domain) || this.#domainOf.get(to) === domain);
		return async (to, poll) => {
			const answer = isOpen(to) ? await ask(to, poll) : undefined;
			if (answer && isOpen(to)) {
				return answer;
			}

			await clock.sleep(poll.waitMs + pollTimeoutMs - pollWaitMs);
			return Left('cut off');
		};
	}

	#api(http: HttpClient, domain: number): ObjectApi {
		const api = new HttpObjectApi(http, {address: this.#objectApi.address, timeoutMs: apiTimeoutMs});
		const isCut = () => this.#isCut(domain);
		const cutOff = async () => {
			await clock.sleep(apiTimeoutMs);
			return Left({kind: 'unavailable', reason: 'cut off'});
		};

		return new Proxy(api, {
			get: (target, method) => async (...args: unknown[]) => {
				const answer = isCut() ? undefined : await (Reflect.get(target, method) as (...params: unknown[]) => Promise<unknown>).apply(target, args);
				return answer === undefined || isCut() ? cutOff() : answer;
			},
		});
	}
}
