/**
The fleet that a soak disturbs: agents and entries as separate programs, so that they can be killed and frozen as VMs are; the outside systems in this process, so that what they counted is exact and survives every fault. Entries reach each agent through a link of its own.
*/
import {keyHash} from '../../src/entry/accounts.js';
import {EngineStandin} from '../../src/standins/engine-standin.js';
import {ObjectApiStandin} from '../../src/standins/object-api-standin.js';
import {ServiceStandin} from '../../src/standins/service-standin.js';
import {VmListStandin} from '../../src/standins/vm-list-standin.js';
import {ProcessFleet, type Place} from '../process-fleet.js';
import type {ProgramProcess} from '../program-process.js';
import {FaultyLink} from './faulty-link.js';

/** What the callers of a soak use. */
export const soakNames = {model: 'tyre-scribe', service: 'gate-desk', apiKey: 'key-of-nodibandh'} as const;

/** When the process of a VM was not answering, by the soak's doing. */
export type Outage = {readonly vm: string; readonly from: number; until: number};

const domains = ['durgapur-hall', 'asansol-hall', 'kolkata-hall'] as const;
const healthTimeoutMs = 300;
const places = (prefix: string, count: number): Place[] => Array.from({length: count}, (_, i) => ({vm: `${prefix}-${i + 1}`, failureDomain: domains[i % domains.length]!}));
const enginePlaces = places('engine', 3);
const servicePlaces = places('service', 2);
const entryPlaces = places('entry', 3);
const agentExtra = {drainMs: 15_000};
// The lease is short, so that coordinators change hands often in a run of minutes.
const entryExtra = {drainMs: 20_000, online: {deadlineMs: 20_000}, batch: {leaseMs: 3000, chunkItems: 20}};

/** One fleet under disturbance. */
export class SoakFleet {
	/** Starts everything. */
	static async start(): Promise<SoakFleet> {
		const fleet = new SoakFleet();
		await fleet.#start();
		return fleet;
	}

	objectApi!: ObjectApiStandin;
	vmList!: VmListStandin;
	readonly engines = new Map<string, EngineStandin>();
	readonly services = new Map<string, ServiceStandin>();
	readonly links = new Map<string, FaultyLink>();
	readonly processes = new ProcessFleet('soak');
	readonly outages: Outage[] = [];
	readonly #expectedEnds = new Set<ProgramProcess>();
	readonly #allProcesses = new Map<ProgramProcess, string>();

	get agentVms(): readonly string[] {
		return [...this.links.keys()];
	}

	get entryVms(): readonly string[] {
		return entryPlaces.map(({vm}) => vm);
	}

	/** Every process that was ever started, with its VM. */
	get allProcesses(): ReadonlyMap<ProgramProcess, string> {
		return this.#allProcesses;
	}

	/** Processes that ended though the soak did not end them. */
	get unexpectedEnds(): string[] {
		return [...this.#allProcesses].filter(([program]) => !program.isRunning && !this.#expectedEnds.has(program)).map(([, vm]) => vm);
	}

	/** Starts the agent of a VM and points its link at it. */
	async startAgent(vm: string): Promise<void> {
		const place = [...enginePlaces, ...servicePlaces].find(one => one.vm === vm)!;
		const engine = this.engines.get(vm);
		const agent = await this.processes.startAgent(place, engine
			? {type: 'engine', address: engine.address}
			: {type: 'service', address: this.services.get(vm)!.address, service: soakNames.service}, agentExtra);
		this.#allProcesses.set(agent, vm);
		this.links.get(vm)!.target = agent.address;
	}

	/** Starts an entry and lists it. */
	async startEntry(vm: string): Promise<void> {
		const place = entryPlaces.find(one => one.vm === vm)!;
		const entry = await this.processes.startEntry(place, entryExtra);
		this.#allProcesses.set(entry, vm);
		await this.processes.listVm(place, 'entry', entry.address);
	}

	/** Notes that the process of a VM does not answer from now on. Call the returned function when it does again. */
	beginOutage(vm: string): () => void {
		const outage: Outage = {vm, from: performance.now(), until: Number.POSITIVE_INFINITY};
		this.outages.push(outage);
		return () => {
			outage.until = performance.now();
		};
	}

	/** Whether the soak took the VM's process away, or froze it, at any moment between the two. */
	wasOut(vm: string, from: number, until: number): boolean {
		return this.outages.some(outage => outage.vm === vm && outage.from <= until && outage.until >= from);
	}

	/** Kills the process of a VM. */
	async kill(vm: string): Promise<void> {
		const program = this.processes.get(vm);
		this.#expectedEnds.add(program);
		await program.dispose();
	}

	/** Asks the process of a VM to stop. @returns Its exit code; `null` when a signal ended it. */
	async stop(vm: string): Promise<number | null> {
		const program = this.processes.get(vm);
		this.#expectedEnds.add(program);
		const {code} = await program.stop();
		return code;
	}

	/** The entries that a balancer would send to: those whose health is good. */
	async healthyEntries(): Promise<string[]> {
		const isHealthy = await Promise.all(this.entryVms.map(async vm => {
			try {
				const res = await fetch(`http://${this.processes.get(vm).address}/healthz`, {signal: AbortSignal.timeout(healthTimeoutMs)});
				return res.ok;
			} catch {
				return false;
			}
		}));
		return this.entryVms.filter((_, i) => isHealthy[i]);
	}

	/** Writes a resource, past all faults of the object API. */
	async apply(kind: string, name: string, spec: object): Promise<boolean> {
		try {
			const res = await fetch(`http://${this.objectApi.address}/v1/objects/${kind}/${name}`, {
				method: 'PUT',
				body: JSON.stringify({
					apiVersion: 'citronyard/v1', kind, metadata: {name}, spec,
				}),
				signal: AbortSignal.timeout(1000),
			});
			return res.ok;
		} catch {
			return false;
		}
	}

	async dispose(): Promise<void> {
		this.#allProcesses.forEach((_, program) => {
			this.#expectedEnds.add(program);
		});
		await this.processes.dispose();
		[...this.links.values(), ...this.engines.values(), ...this.services.values(), this.vmList, this.objectApi].forEach(part => {
			part.dispose();
		});
	}

	async #start() {
		this.objectApi = await ObjectApiStandin.start();
		this.vmList = await VmListStandin.start();
		this.processes.platform = {objectApi: this.objectApi.address, vmList: this.vmList.address};
		await this.#applyResources();
		await Promise.all(enginePlaces.map(async ({vm}) => {
			this.engines.set(vm, await EngineStandin.start({models: [{model: soakNames.model, version: 'tyre-scribe-1'}], stepMs: 4}));
		}));
		await Promise.all(servicePlaces.map(async ({vm}) => {
			this.services.set(vm, await ServiceStandin.start());
		}));
		await Promise.all([...enginePlaces, ...servicePlaces].map(async place => {
			const link = await FaultyLink.start();
			this.links.set(place.vm, link);
			await this.startAgent(place.vm);
			await this.processes.listVm(place, 'backend', link.address);
		}));
		await Promise.all(this.entryVms.map(async vm => this.startEntry(vm)));
	}

	async #applyResources() {
		await this.apply('ModelVersion', 'tyre-scribe-1', {weights: 'tyre-scribe-1'});
		await this.apply('ServedModel', soakNames.model, {version: 'tyre-scribe-1'});
		await this.apply('OnlineService', soakNames.service, {timeoutMs: 20_000});
		await this.apply('ClientAccount', 'nodibandh', {keySha256: [keyHash(soakNames.apiKey)], maxInFlight: 5000});
		await Promise.all([
			...enginePlaces.map(async ({vm}) => this.apply('BackendServer', vm, {type: 'engine', models: [soakNames.model]})),
			...servicePlaces.map(async ({vm}) => this.apply('BackendServer', vm, {type: 'service', service: soakNames.service})),
		]);
	}
}
