/**
Keeps what concerns this agent's backend server up to date: its own BackendServer and Assignment. It asks an entry of its failure domain, or another one; the object API is asked once at the start, when the entries can not help.
*/
import {loadInitialConfig, type PollNode} from '../common/config-bootstrap.js';
import {ConfigPeerFollower} from '../common/config-peer-follower.js';
import {readConfig} from '../common/config-reader.js';
import type {ConfigScope, ConfigTable} from '../common/config-table.js';
import {upstreamsOfAgent} from '../common/config-upstream.js';
import type {
	Clock, Disposable, EventLog, ObjectApi, RandomSource, VmList,
} from '../common/services.js';
import type {ObjectKind, VmEntry} from '../common/types.js';
import {agentConfigEvents} from './config-log-events.js';

/** What the follower needs. */
export type AgentFollowerParts = {
	readonly api: ObjectApi;
	readonly vmList: VmList;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly table: ConfigTable;
	/** This agent's VM. */
	readonly vm: string;
	readonly failureDomain: string;
	readonly ask: PollNode;
};

const kinds: readonly ObjectKind[] = ['BackendServer', 'Assignment'];
/** Thousands of agents read the VM list: rarely, and each at another time. */
const listMs = 300_000;
const shortestListRetryMs = 1000;

/** Follows until disposed. */
export class AgentConfigFollower implements Disposable {
	readonly #parts: AgentFollowerParts;
	readonly #peers: ConfigPeerFollower;
	readonly #scope: ConfigScope;
	#upstreams: readonly string[] = [];
	#readAt = Number.NEGATIVE_INFINITY;
	#isReady = false;
	#disposed = false;

	constructor(parts: AgentFollowerParts) {
		const {table, vm} = parts;
		this.#parts = parts;
		this.#scope = {kinds, name: vm};
		this.#peers = new ConfigPeerFollower({
			...parts,
			node: vm,
			scope: this.#scope,
			upstreams: () => this.#upstreams,
			counts: () => [{version: table.head, nodes: 1}],
			onRoundFailed: async () => this.#readList(shortestListRetryMs),
		});
	}

	/** Whether the agent has a configuration it trusts. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Follows for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		await this.#readList(0);
		await this.#begin();
		void this.#refreshList();
		await this.#peers.run();
	}

	dispose(): void {
		this.#disposed = true;
		this.#peers.dispose();
	}

	async #begin() {
		const {api, vm, table, log} = this.#parts;
		const first = await loadInitialConfig({
			...this.#parts,
			node: vm,
			scope: this.#scope,
			peers: () => this.#upstreams,
			readApi: async () => {
				await this.#readList(shortestListRetryMs);
				return readConfig(api, kinds, vm);
			},
			prefersApi: () => false,
		}, () => this.#disposed);
		if (first && !this.#disposed) {
			table.apply(first.changes);
			this.#isReady = true;
			log.emit(agentConfigEvents.ready, {source: first.source, revision: table.revision});
		}
	}

	async #refreshList() {
		const {clock, random} = this.#parts;
		while (!this.#disposed) {
			await clock.sleep(listMs * (0.5 + random.next()));
			await this.#readList(shortestListRetryMs);
		}
	}

	// When the list can not be read, the entries of the last one are asked on.
	async #readList(notAgainWithinMs: number) {
		const {vmList, clock, vm, failureDomain} = this.#parts;
		if (this.#disposed || clock.now() - this.#readAt < notAgainWithinMs) {
			return;
		}

		this.#readAt = clock.now();
		const list = await vmList.read();
		list.ifRight((vms: readonly VmEntry[]) => {
			const entries = vms.filter(({role, state}) => role === 'entry' && state === 'live');
			this.#upstreams = upstreamsOfAgent(entries, vm, failureDomain);
		});
	}
}
