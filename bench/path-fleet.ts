/**
The shortest whole path as separate processes: one entry, one agent beside a model engine and one beside a plain service, and the platform's stand-ins. A request can be sent through the entry or straight to the backend server.
*/
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Caller, CallerOptions} from '../src/load/caller.js';
import {ProcessFleet, type ExtraSettings} from './process-fleet.js';

/** The model and the service on the path. */
export const pathModel = 'tyre-scribe';
/** See {@link pathModel}. */
export const pathService = 'gate-desk';

const apiKey = 'key-of-nodibandh';
const failureDomain = 'durgapur-hall';
const entryPlace = {vm: 'entry-1', failureDomain};
const enginePlace = {vm: 'vm-1', failureDomain};
const servicePlace = {vm: 'vm-2', failureDomain};
const pollMs = 20;
const polls = 500;

const resources = [
	{kind: 'ModelVersion', metadata: {name: `${pathModel}-1`}, spec: {weights: `${pathModel}-1`}},
	{kind: 'ServedModel', metadata: {name: pathModel}, spec: {version: `${pathModel}-1`}},
	{kind: 'OnlineService', metadata: {name: pathService}, spec: {}},
	{kind: 'BackendServer', metadata: {name: enginePlace.vm}, spec: {type: 'engine', models: [pathModel]}},
	{kind: 'BackendServer', metadata: {name: servicePlace.vm}, spec: {type: 'service', service: pathService}},
	{kind: 'ClientAccount', metadata: {name: 'nodibandh'}, spec: {keySha256: [createHash('sha256').update(apiKey).digest('hex')]}},
].map(resource => ({apiVersion: 'citronyard/v1', ...resource}));

/** A running path. Dispose of it. */
export class PathFleet {
	/** Starts the processes and waits until the entry routes to both backend servers. */
	static async start(caller: Caller, engine: ExtraSettings): Promise<PathFleet> {
		const path = new PathFleet();
		try {
			await path.#startAll(engine);
			await path.#awaitReady(caller);
		} catch (err) {
			await path.dispose();
			throw err;
		}

		return path;
	}

	readonly #fleet = new ProcessFleet('path');

	private constructor() {
		// Made by `start`.
	}

	/** The way through the entry. */
	get through(): CallerOptions {
		return this.#optionsOf(entryPlace.vm);
	}

	/** The way straight to the model engine. */
	get toEngine(): CallerOptions {
		return this.#optionsOf('engine');
	}

	/** `ip:port` of the plain service. */
	get serviceAddress(): string {
		return this.#fleet.get('service').address;
	}

	/** Process ids of the entry and of the model engine's agent. */
	get pids(): {readonly entry: number; readonly agent: number; readonly serviceAgent: number} {
		return {
			entry: this.#fleet.get(entryPlace.vm).pid, agent: this.#fleet.get(enginePlace.vm).pid, serviceAgent: this.#fleet.get(servicePlace.vm).pid,
		};
	}

	async dispose(): Promise<void> {
		await this.#fleet.dispose();
	}

	#optionsOf(name: string): CallerOptions {
		return {address: this.#fleet.get(name).address, apiKey};
	}

	async #startAll(settings: ExtraSettings) {
		const fleet = this.#fleet;
		const objectApi = await fleet.startStandin('object-api', 'object-api');
		const vmList = await fleet.startStandin('vm-list', 'vm-list');
		fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
		await Promise.all(resources.map(async resource => this.#write(resource)));
		const engine = await fleet.startStandin('engine', 'engine', {models: [{model: pathModel, version: `${pathModel}-1`}], ...settings});
		const service = await fleet.startStandin('service', 'service');
		const agent = await fleet.startAgent(enginePlace, {type: 'engine', address: engine.address});
		const serviceAgent = await fleet.startAgent(servicePlace, {type: 'service', address: service.address, service: pathService});
		await fleet.listVm(enginePlace, 'backend', agent.address);
		await fleet.listVm(servicePlace, 'backend', serviceAgent.address);
		const entry = await fleet.startEntry(entryPlace);
		await fleet.listVm(entryPlace, 'entry', entry.address);
	}

	async #write(resource: (typeof resources)[number]) {
		const res = await fetch(`http://${this.#fleet.platform.objectApi}/v1/objects/${resource.kind}/${resource.metadata.name}`, {
			method: 'PUT', body: JSON.stringify(resource),
		});
		if (!res.ok) {
			throw new Error(`${resource.metadata.name} was not taken: ${res.status}`);
		}
	}

	async #awaitReady(caller: Caller) {
		const isReady = async () => {
			const called = await caller.call({service: pathService, method: 'GET', path: '/ready'}, this.through);
			const generated = await caller.generate({
				model: pathModel, prompt: 'Ready?', maxTokens: 1, stream: false,
			}, this.through);
			return called.kind === 'whole' && generated.kind === 'whole';
		};

		for (let poll = 0; poll < polls; poll += 1) {
			if (await isReady()) {
				return;
			}

			await sleep(pollMs);
		}

		throw new Error('the path does not answer');
	}
}
