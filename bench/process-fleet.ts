/**
A fleet of separate processes on loopback: each agent, entry and stand-in is its own program with its own settings file, as on the VMs. At most {@link maxProcesses} run at once.
*/
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {ProgramProcess} from './program-process.js';

/** Where the platform's services are. */
export type PlatformAddresses = {readonly objectApi: string; readonly vmList: string};

/** What an agent stands beside. */
export type BackendSettings = Readonly<Record<string, unknown>> & {readonly type: 'engine' | 'service'; readonly address: string};

/** Where a program runs. */
export type Place = {readonly vm: string; readonly failureDomain: string};

/** Settings of a program beside those the fleet fills in. */
export type ExtraSettings = Readonly<Record<string, unknown>>;

const maxProcesses = 60;
const anyPort = '127.0.0.1:0';

/** Starts programs, knows them by name, and ends them all. */
export class ProcessFleet {
	/** Where logs and settings files are. */
	readonly folder: string;
	/** Set once the platform's stand-ins run. */
	platform: PlatformAddresses = {objectApi: '', vmList: ''};
	readonly #processes = new Map<string, ProgramProcess>();
	#starts = 0;

	/** @param name - Part of the folder's name below `.tmp/`. */
	constructor(name: string) {
		mkdirSync('.tmp', {recursive: true});
		this.folder = mkdtempSync(path.join('.tmp', `${name}-`));
	}

	/** The process that was last started under this name. */
	get(name: string): ProgramProcess {
		const found = this.#processes.get(name);
		if (!found) {
			throw new Error(`no process ${name} was started`);
		}

		return found;
	}

	/** Starts `citronyard-standin` for one outside system. */
	async startStandin(name: string, kind: string, settings?: ExtraSettings): Promise<ProgramProcess> {
		const file = settings && this.#write(name, settings);
		return this.#start(name, 'citronyard-standin', [kind, ...(file === undefined ? [] : ['--settings', file])]);
	}

	/** Starts an agent. It is not in the VM list yet. */
	async startAgent(place: Place, backend: BackendSettings, extra: ExtraSettings = {}): Promise<ProgramProcess> {
		return this.#startDaemon('citronyard-agent', place, {backend, ...extra});
	}

	/** Starts an entry. */
	async startEntry(place: Place, extra: ExtraSettings = {}): Promise<ProgramProcess> {
		return this.#startDaemon('citronyard-entry', place, extra);
	}

	/** Puts a VM on the stand-in of the VM list. */
	async listVm({vm, failureDomain}: Place, role: 'entry' | 'backend', address: string, state: 'live' | 'leaving' = 'live'): Promise<void> {
		const res = await fetch(`http://${this.platform.vmList}/control/vms/${vm}`, {
			method: 'PUT',
			body: JSON.stringify({
				role, address, failureDomain, state,
			}),
		});
		if (!res.ok) {
			throw new Error(`the VM list did not take ${vm}: ${res.status}`);
		}
	}

	/** Ends all processes. */
	async dispose(): Promise<void> {
		await Promise.all([...this.#processes.values()].map(async started => started.dispose()));
	}

	async #startDaemon(program: string, place: Place, extra: ExtraSettings) {
		const file = this.#write(place.vm, {
			...place, listen: anyPort, platform: this.platform, ...extra,
		});
		return this.#start(place.vm, program, ['--settings', file]);
	}

	async #start(name: string, program: string, args: readonly string[]) {
		const running = [...this.#processes.values()].filter(started => started.isRunning).length;
		if (running >= maxProcesses) {
			throw new Error(`${running} processes run already`);
		}

		this.#starts += 1;
		const started = await ProgramProcess.start({program, args, logFile: path.join(this.folder, `${name}.${this.#starts}.log`)});
		this.#processes.set(name, started);
		return started;
	}

	#write(name: string, settings: ExtraSettings): string {
		const file = path.join(this.folder, `${name}.jsonc`);
		writeFileSync(file, JSON.stringify(settings, undefined, '\t'));
		return file;
	}
}
