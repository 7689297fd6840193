/**
A small fleet with a relay before each agent, so that a scenario can bring about the faults of a network, and a log that it can wait on.
*/
import type {EventLog} from '../../common/services.js';
import type {EventDefinition, LogFields} from '../../common/types.js';
import {fleetResources, LocalFleet, type FleetPlan} from '../../demo/local-fleet.js';
import {NoMetrics} from '../../io/no-metrics.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import {TcpRelay} from '../../io/testing/tcp-relay.js';
import {keyHash} from '../accounts.js';

/** An event that was logged. */
export type Logged = {readonly event: EventDefinition; readonly fields: LogFields};

export const apiKey = 'key-of-pit-gate';
export const modelName = 'gate-desk';
export const serviceName = 'tyre-status';

const pollMs = 10;
// A heartbeat is due every 250 ms.
const online = {silenceMs: 700, loadPollMs: 50, vmListPollMs: 50};

/** Waits for a condition; the step's timeout ends a wait in vain. */
export const until = async (isMet: () => boolean | Promise<boolean>): Promise<void> => {
	while (!await isMet()) {
		await new Promise<void>(resolve => {
			setTimeout(resolve, pollMs).unref();
		});
	}
};

/** The fleet. */
export class RelayedFleet {
	/**
	@param replicas - Engines, and services beside them: `engine-1`, `service-1` and so on.
	@param plan - Merged into the fleet's plan.
	*/
	static async start(replicas: number, plan: Partial<FleetPlan> = {}): Promise<RelayedFleet> {
		const relayed = new RelayedFleet();
		const vms = (name: string) => Array.from({length: replicas}, (_, i) => ({vm: `${name}-${i + 1}`, failureDomain: 'durgapur-hall'}));
		const full: FleetPlan = {
			engines: vms('engine').map(vm => ({...vm, models: [modelName], engine: {stepMs: 5}})),
			services: vms('service').map(vm => ({...vm, service: serviceName})),
			entries: ['entry-1', 'entry-2'].map(vm => ({vm, failureDomain: 'durgapur-hall'})),
			entry: {online},
			agentAddress: async (vm, address) => relayed.#relayFor(vm, address),
			...plan,
		};
		relayed.fleet = await LocalFleet.start(full, {
			clock: new SystemClock(), random: new SeededRandom(1), log: relayed.log, metrics: new NoMetrics(),
		});
		await relayed.fleet.apply(fleetResources(full, [{name: 'pit-gate', keySha256: keyHash(apiKey)}]));
		await relayed.fleet.awaitModels(apiKey);
		return relayed;
	}

	fleet!: LocalFleet;
	readonly relays = new Map<string, TcpRelay>();
	readonly logged: Logged[] = [];
	readonly log: EventLog = {
		emit: (event, fields = {}) => {
			this.logged.push({event, fields});
		},
	};

	/** Events of one kind, the oldest first. */
	events(wanted: EventDefinition): LogFields[] {
		return this.logged.filter(({event}) => event === wanted).map(({fields}) => fields);
	}

	/** How often a service call ran, by its marker, over all replicas. */
	runs(marker: string): number {
		return [...this.fleet.services.values()].reduce((sum, service) => sum + (service.runs()[marker] ?? 0), 0);
	}

	/** Requests that the engines were given, over all replicas. */
	get generations(): number {
		return [...this.fleet.engines.values()].reduce((sum, engine) => sum + engine.stats().requests, 0);
	}

	/** Ends an agent as a crash would: every connection is cut, and its address refuses. */
	kill(vm: string): void {
		this.relays.get(vm)?.dispose();
		this.fleet.agents.get(vm)?.dispose();
	}

	dispose(): void {
		this.relays.forEach(relay => {
			relay.dispose();
		});
		this.fleet.dispose();
	}

	/** Ends an agent as a crash would, and starts its successor at the same address. */
	async restart(vm: string): Promise<void> {
		this.relays.get(vm)?.cut();
		this.fleet.agents.get(vm)?.dispose();
		await this.fleet.startAgent(vm);
	}

	async #relayFor(vm: string, address: string): Promise<string> {
		const relay = this.relays.get(vm) ?? await TcpRelay.start(address);
		relay.target = address;
		this.relays.set(vm, relay);
		return relay.address;
	}
}
