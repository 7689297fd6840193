/**
What a soak does to its fleet, drawn from a seed: kills, freezes, cuts, silences, planned stops, and faults of the platform. Several may go on at once, but only one at each target.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '../../src/common/services.js';
import {soakNames, type SoakFleet} from './soak-fleet.js';

/** One kind of disturbance. Resolves when its target works again. */
type Disturbance = {
	readonly weight: number;
	/** The targets it can be done to. */
	readonly targets: (fleet: SoakFleet) => readonly string[];
	readonly run: (fleet: SoakFleet, target: string, random: RandomSource) => Promise<void>;
};

/** How planned stops ended. */
export type StopRecord = {readonly vm: string; readonly code: number | null};

const pauseMs = async (random: RandomSource, min: number, max: number) => sleep(min + (random.next() * (max - min)));
const agents = (fleet: SoakFleet) => fleet.agentVms;
const entries = (fleet: SoakFleet) => fleet.entryVms;
const engines = (fleet: SoakFleet) => [...fleet.engines.keys()];
const objectApi = () => ['object-api'];

const start = async (fleet: SoakFleet, vm: string) => fleet.links.has(vm) ? fleet.startAgent(vm) : fleet.startEntry(vm);

const kill: Disturbance['run'] = async (fleet, vm, random) => {
	const end = fleet.beginOutage(vm);
	await fleet.kill(vm);
	await pauseMs(random, 0, 1500);
	await start(fleet, vm);
	end();
};

const freeze: Disturbance['run'] = async (fleet, vm, random) => {
	const end = fleet.beginOutage(vm);
	const program = fleet.processes.get(vm);
	program.signal('SIGSTOP');
	await pauseMs(random, 200, 4000);
	program.signal('SIGCONT');
	end();
};

const engineFreeze: Disturbance['run'] = async (fleet, vm, random) => {
	const engine = fleet.engines.get(vm)!;
	engine.faults({freeze: true});
	await pauseMs(random, 200, 2000);
	engine.faults({freeze: false});
};

const engineCrash: Disturbance['run'] = async (fleet, vm) => {
	await fetch(`http://${fleet.engines.get(vm)!.address}/v1/completions`, {
		method: 'POST', body: JSON.stringify({model: soakNames.model, prompt: '[[crash]]', request_id: 'soak-crash'}),
	}).catch(() => undefined);
};

type ObjectApiFaults = Parameters<SoakFleet['objectApi']['faults']>[0];

const objectApiFault = (during: ObjectApiFaults, after: ObjectApiFaults, maxMs: number): Disturbance['run'] => async (fleet, _target, random) => {
	fleet.objectApi.faults(during);
	await pauseMs(random, maxMs / 4, maxMs);
	fleet.objectApi.faults(after);
};

const disturbances: Readonly<Record<string, Disturbance>> = {
	killAgent: {weight: 5, targets: agents, run: kill},
	killEntry: {weight: 2, targets: entries, run: kill},
	freezeAgent: {weight: 3, targets: agents, run: freeze},
	freezeEntry: {weight: 2, targets: entries, run: freeze},
	crashEngine: {weight: 2, targets: engines, run: engineCrash},
	freezeEngine: {weight: 2, targets: engines, run: engineFreeze},
	cutEngine: {
		weight: 2, targets: engines, async run(fleet, vm) {
			fleet.engines.get(vm)!.faults({cut: true});
		},
	},
	cutAgentLink: {
		weight: 4, targets: agents, async run(fleet, vm) {
			fleet.links.get(vm)!.cut();
		},
	},
	silenceAgentLink: {
		weight: 4, targets: agents, async run(fleet, vm) {
			fleet.links.get(vm)!.silence();
		},
	},
	objectApiDown: {weight: 2, targets: objectApi, run: objectApiFault({down: true}, {down: false}, 6000)},
	objectApiHangs: {weight: 1, targets: objectApi, run: objectApiFault({hang: true}, {hang: false}, 4000)},
	objectApiSlow: {weight: 2, targets: objectApi, run: objectApiFault({latencyMs: 300}, {latencyMs: 0}, 4000)},
	objectApiLosesAnswers: {weight: 3, targets: objectApi, run: objectApiFault({loseAnswerShare: 0.5}, {loseAnswerShare: 0}, 4000)},
	objectApiCut: {weight: 1, targets: objectApi, run: objectApiFault({cut: true}, {}, 100)},
	vmListLags: {
		weight: 1, targets: () => ['vm-list'], async run(fleet, _target, random) {
			fleet.vmList.faults({lagMs: 3000});
			await pauseMs(random, 500, 3000);
			fleet.vmList.faults({lagMs: 0});
		},
	},
};

const maxAtOnce = 4;

/** Disturbs one fleet. */
export class Disturber {
	/** How often each kind was done. */
	readonly counts: Record<string, number> = {};
	/** The planned stops so far. */
	readonly stops: StopRecord[] = [];
	readonly #fleet: SoakFleet;
	readonly #random: RandomSource;
	readonly #busy = new Map<string, Promise<void>>();
	#bag: Array<readonly [string, Disturbance]> = [];

	constructor(fleet: SoakFleet, random: RandomSource) {
		this.#fleet = fleet;
		this.#random = random;
	}

	/** Stops agents and entries as planned, one after the other, and starts them again, until the moment of `performance.now()`. */
	async plannedStops(until: number): Promise<void> {
		while (performance.now() < until) {
			const vms = this.#random.next() < 0.5 ? this.#fleet.agentVms : this.#fleet.entryVms;
			await this.#plannedStop(vms[Math.floor(this.#random.next() * vms.length)]!);
			await pauseMs(this.#random, 300, 1000);
		}
	}

	/** Disturbs until the moment of `performance.now()`, then waits until all targets work again. */
	async disturb(until: number): Promise<void> {
		while (performance.now() < until) {
			if (this.#busy.size < maxAtOnce) {
				this.#begin();
			}

			await pauseMs(this.#random, 150, 600);
		}

		await Promise.all(this.#busy.values());
	}

	async #plannedStop(vm: string) {
		this.#count('plannedStop');
		this.stops.push({vm, code: await this.#fleet.stop(vm)});
		await start(this.#fleet, vm);
	}

	#begin() {
		const [name, {targets, run}] = this.#draw();
		const free = targets(this.#fleet).filter(target => !this.#busy.has(target));
		const target = free[Math.floor(this.#random.next() * free.length)];
		if (target === undefined) {
			return;
		}

		this.#count(name);
		this.#busy.set(target, run(this.#fleet, target, this.#random).finally(() => {
			this.#busy.delete(target);
		}));
	}

	// Drawn without putting back until all are through, so that every kind comes in every run that is long enough.
	#draw(): readonly [string, Disturbance] {
		if (this.#bag.length === 0) {
			this.#bag = Object.entries(disturbances).flatMap(row => Array.from({length: row[1].weight}, () => row));
		}

		const [drawn] = this.#bag.splice(Math.floor(this.#random.next() * this.#bag.length), 1);
		return drawn!;
	}

	#count(name: string) {
		this.counts[name] = (this.counts[name] ?? 0) + 1;
	}
}
