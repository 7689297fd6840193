/**
A whole small fleet in one process on loopback: the platform's stand-ins, backend servers, agents and entries. The demo shows it; experiments and features measure it.
*/
import type {BackendServerSpec, AnyResource} from '../../typings/resources.js';
import {Agent} from '../agent/agent.js';
import {agentSettingsSchema, type AgentSettings} from '../agent/settings.js';
import {Entry} from '../entry/entry.js';
import {entrySettingsSchema, type EntrySettings} from '../entry/settings.js';
import type {DecisionTrace} from '../common/decision-trace.js';
import type {
	Clock, Disposable, EventLog, Metrics, RandomSource,
} from '../common/services.js';
import type {EngineSettings} from '../standins/engine-settings.js';
import {EngineStandin} from '../standins/engine-standin.js';
import {ObjectApiStandin} from '../standins/object-api-standin.js';
import {ServiceStandin} from '../standins/service-standin.js';
import {VmListStandin} from '../standins/vm-list-standin.js';

/** What runs where. */
export type FleetPlan = {
	/** A replica of the model on each entry of the list, by its failure domain. */
	readonly engines: ReadonlyArray<{readonly vm: string; readonly failureDomain: string; readonly models: readonly string[]; readonly engine?: EngineSettings}>;
	readonly services?: ReadonlyArray<{readonly vm: string; readonly failureDomain: string; readonly service: string}>;
	readonly entries: ReadonlyArray<{readonly vm: string; readonly failureDomain: string; readonly listen?: string}>;
	/** Merged into every agent's settings. */
	readonly agent?: Partial<Pick<AgentSettings, 'drainMs'>> & {readonly limits?: Partial<AgentSettings['limits']>; readonly maxRunning?: number; readonly tokensPerSecond?: number};
	/** Merged into every entry's settings. */
	readonly entry?: {readonly online?: Partial<EntrySettings['online']>; readonly batch?: Partial<EntrySettings['batch']>; readonly placement?: Partial<EntrySettings['placement']>; readonly drainMs?: number};
	/** The address that the VM list shows for an agent; its own by default. A test puts a relay between. */
	readonly agentAddress?: (vm: string, address: string) => Promise<string>;
};

/** What the processes would provide. */
export type FleetServices = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** Takes the inputs of the entries' decisions. */
	readonly trace?: DecisionTrace;
};

const readyPollMs = 20;
const anyPort = '127.0.0.1:0';

/** A fleet in this process. */
export class LocalFleet implements Disposable {
	/** Starts everything; rejects when a port can not be had. */
	static async start(plan: FleetPlan, services: FleetServices): Promise<LocalFleet> {
		const fleet = new LocalFleet(plan, services);
		await fleet.#start();
		return fleet;
	}

	objectApi!: ObjectApiStandin;
	vmList!: VmListStandin;
	readonly engines = new Map<string, EngineStandin>();
	readonly services = new Map<string, ServiceStandin>();
	readonly agents = new Map<string, Agent>();
	readonly entries = new Map<string, Entry>();
	readonly #plan: FleetPlan;
	readonly #services: FleetServices;

	private constructor(plan: FleetPlan, services: FleetServices) {
		this.#plan = plan;
		this.#services = services;
	}

	/** `ip:port` of an entry; the first by default. */
	entryAddress(vm = this.#plan.entries[0]!.vm): string {
		return this.entries.get(vm)!.address;
	}

	/** Writes resources as an operator would. */
	async apply(resources: readonly AnyResource[]): Promise<void> {
		await Promise.all(resources.map(async resource => {
			const res = await fetch(`http://${this.objectApi.address}/v1/objects/${resource.kind}/${resource.metadata.name}`, {
				method: 'PUT', body: JSON.stringify(resource),
			});
			if (!res.ok) {
				throw new Error(`resource ${resource.metadata.name} was not taken: ${res.status}`);
			}
		}));
	}

	/** Waits until every entry knows the resources: a caller with this key sees as many models as the plan has. */
	async awaitModels(apiKey: string): Promise<void> {
		const wanted = new Set(this.#plan.engines.flatMap(({models}) => models)).size;
		const isReady = async (address: string) => {
			const res = await fetch(`http://${address}/v1/models`, {headers: {authorization: `Bearer ${apiKey}`}});
			const list = await res.json() as {data?: unknown[]};
			return list.data?.length === wanted;
		};

		for (const {address} of this.entries.values()) {
			while (!await isReady(address)) {
				await this.#services.clock.sleep(readyPollMs);
			}
		}
	}

	/** Starts an agent for a VM that has a backend server, for instance again after it was stopped. */
	async startAgent(vm: string): Promise<Agent> {
		const engine = this.engines.get(vm);
		const service = this.services.get(vm);
		const {maxRunning, tokensPerSecond, limits, drainMs} = this.#plan.agent ?? {};
		const backend = engine
			? {
				type: 'engine', address: engine.address, maxRunning, tokensPerSecond,
			}
			: {
				type: 'service', address: service!.address, service: this.#serviceOf(vm), maxRunning,
			};
		const agent = new Agent(agentSettingsSchema.parse({
			vm, failureDomain: this.#domainOf(vm), listen: anyPort, platform: this.#platform, backend, limits, drainMs,
		}), this.#services);
		this.#require(await agent.start());
		this.agents.set(vm, agent);
		this.vmList.setVm(vm, {
			role: 'backend', address: await this.#plan.agentAddress?.(vm, agent.address) ?? agent.address, failureDomain: this.#domainOf(vm), state: 'live',
		});
		return agent;
	}

	/** Starts an entry. */
	async startEntry(vm: string): Promise<Entry> {
		const place = this.#plan.entries.find(entry => entry.vm === vm)!;
		const entry = new Entry(entrySettingsSchema.parse({
			vm, failureDomain: place.failureDomain, listen: place.listen ?? anyPort, platform: this.#platform, ...this.#plan.entry,
		}), this.#services);
		this.#require(await entry.start());
		// From here on it can be found by the port it was given.
		this.vmList.setVm(vm, {
			role: 'entry', address: entry.address, failureDomain: place.failureDomain, state: 'live',
		});
		this.entries.set(vm, entry);
		return entry;
	}

	dispose(): void {
		const parts: readonly Disposable[] = [
			...this.entries.values(), ...this.agents.values(), ...this.engines.values(), ...this.services.values(), this.vmList, this.objectApi,
		];
		parts.forEach(part => {
			part.dispose();
		});
	}

	get #platform() {
		return {objectApi: this.objectApi.address, vmList: this.vmList.address};
	}

	async #start() {
		this.objectApi = await ObjectApiStandin.start();
		this.vmList = await VmListStandin.start();
		await this.#startBackends();
		await Promise.all([...this.engines.keys(), ...this.services.keys()].map(async vm => this.startAgent(vm)));
		// Every entry is listed before the first one ranks them.
		this.#plan.entries.forEach(({vm, failureDomain, listen}) => {
			this.vmList.setVm(vm, {
				role: 'entry', address: listen ?? anyPort, failureDomain, state: 'live',
			});
		});
		await Promise.all(this.#plan.entries.map(async ({vm}) => this.startEntry(vm)));
	}

	async #startBackends() {
		await Promise.all(this.#plan.engines.map(async ({vm, models, engine}) => {
			this.engines.set(vm, await EngineStandin.start({models: models.map(model => ({model, version: `${model}-1`})), ...engine}));
		}));
		await Promise.all((this.#plan.services ?? []).map(async ({vm}) => {
			this.services.set(vm, await ServiceStandin.start({}));
		}));
	}

	#domainOf(vm: string): string {
		return [...this.#plan.engines, ...(this.#plan.services ?? [])].find(place => place.vm === vm)!.failureDomain;
	}

	#serviceOf(vm: string): string {
		return this.#plan.services!.find(place => place.vm === vm)!.service;
	}

	#require(started: {isLeft(): boolean; extract(): unknown}) {
		if (started.isLeft()) {
			throw new Error((started.extract() as {message: string}).message);
		}
	}
}

/** The resources that declare a fleet's models, services and one account. */
export const fleetResources = (plan: FleetPlan, accounts: ReadonlyArray<{readonly name: string; readonly keySha256: string; readonly share?: number}>): AnyResource[] => {
	const apiVersion = 'citronyard/v1' as const;
	const models = [...new Set(plan.engines.flatMap(({models}) => models))];
	const backend = (vm: string, spec: BackendServerSpec): AnyResource => ({
		apiVersion, kind: 'BackendServer', metadata: {name: vm}, spec,
	});
	return [
		...models.map((name): AnyResource => ({
			apiVersion, kind: 'ModelVersion', metadata: {name: `${name}-1`}, spec: {weights: `${name}-1`},
		})),
		...models.map((name): AnyResource => ({
			apiVersion, kind: 'ServedModel', metadata: {name}, spec: {version: `${name}-1`},
		})),
		...(plan.services ?? []).map(({service}): AnyResource => ({
			apiVersion, kind: 'OnlineService', metadata: {name: service}, spec: {},
		})),
		...plan.engines.map(({vm, models}) => backend(vm, {type: 'engine', models})),
		...(plan.services ?? []).map(({vm, service}) => backend(vm, {type: 'service', service})),
		...accounts.map(({name, keySha256, share}): AnyResource => ({
			apiVersion, kind: 'ClientAccount', metadata: {name}, spec: {keySha256: [keySha256], share},
		})),
	];
};
