/**
The batch path in memory: entries with their shards, agents with their batch workers, one object API, and calls between them that can be lost. Times are short, so that leases and grants lapse within a scenario.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {BatchWorker} from '../../agent/batch-worker.js';
import {ResultWriter} from '../../agent/result-writer.js';
import {SoloGate} from '../../agent/solo-gate.js';
import {WorkRunner} from '../../agent/work-runner.js';
import {Admission} from '../../common/admission.js';
import {branded, type Revision, type VmName} from '../../common/ids.js';
import type {
	GrantRequest, Incarnation, LoadReport, RenewRequest,
} from '../../common/protocol.js';
import {ReplicaTable} from '../../common/replica-table.js';
import type {Disposable, EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {EventDefinition, LogFields, VmEntry} from '../../common/types.js';
import {NoMetrics} from '../../io/no-metrics.js';
import {SeededRandom} from '../../io/seeded-random.js';
import type {RpcFailure} from '../../io/rpc-client.js';
import {SystemClock} from '../../io/system-clock.js';
import {JobShards} from '../job-shards.js';
import {FakeEngine} from './fake-engine.js';
import {NodeObjectApi} from './node-object-api.js';

/** Runs when a call has reached its agent, before the caller hears of it. */
export type RpcHook = (method: string, vm: string) => void;

/** Times of a fleet, in milliseconds. */
export type FleetTimes = {readonly leaseMs: number; readonly grantMs: number};

/** As in operation: grants outlast the time until another entry has taken the lease of a lost one. */
export const usualTimes: FleetTimes = {leaseMs: 500, grantMs: 1500};
/** Grants that lapse within one slow call of the object API. */
export const shortGrants: FleetTimes = {leaseMs: 1000, grantMs: 400};

const tickMs = 10;
const watchMs = 100;
const farMs = 1_000_000;
const maxRunning = 4;

const clock = new SystemClock();
const silent: EventLog = {emit: () => undefined};

/** An agent. */
export class FleetAgent implements Disposable {
	readonly vm: string;
	readonly api: NodeObjectApi;
	readonly engine = new FakeEngine();
	isDown = false;
	/** While true, it is listed but answers nobody. */
	isPaused = false;
	readonly worker: BatchWorker;
	readonly #runner: WorkRunner;
	readonly #admission = new Admission(clock, {maxRunning, maxQueued: 10, tokensPerSecond: 1000});
	readonly #incarnation: Incarnation;

	constructor(vm: string, shared: FakeObjectApi) {
		this.vm = vm;
		this.#incarnation = branded(`${vm}-1`);
		this.api = new NodeObjectApi(shared);
		this.#runner = new WorkRunner(this.#admission, silent, new NoMetrics());
		const around = {
			api: this.api, clock, gate: new SoloGate(), runner: this.#runner, backend: this.engine, window: maxRunning,
		};
		let runs = 0;
		this.worker = new BatchWorker(around, isGranted => new ResultWriter(`${vm}-${runs++}`, {
			api: this.api, clock, random: new SeededRandom(1), isGranted,
		}), {maxChunks: 3, minItemsAhead: maxRunning * 2});
	}

	load(): LoadReport {
		return {
			vm: branded(this.vm),
			incarnation: this.#incarnation,
			at: 0,
			draining: false,
			serves: ['model:m'],
			running: 0,
			queued: 0,
			pendingTokens: 0,
			batchRunning: this.#admission.batchRunning,
			batchRoom: this.worker.room,
			maxRunning,
			configRevision: branded<Revision>(0),
		};
	}

	/** As when its VM is lost: nothing comes from it or reaches it any more. */
	lose(): void {
		this.isDown = true;
		this.api.cut = true;
		this.dispose();
	}

	dispose(): void {
		this.worker.dispose();
		this.#runner.dispose();
	}
}

/** An entry's coordination of jobs. */
export class FleetEntry implements Disposable {
	readonly vm: string;
	readonly api: NodeObjectApi;
	readonly shards: JobShards;
	isDown = false;
	isPaused = false;

	constructor(vm: string, fleet: BatchFleet) {
		this.vm = vm;
		this.api = new NodeObjectApi(fleet.api);
		this.shards = new JobShards({
			api: this.api,
			rpc: {
				call: async (target: {address: string}, method: string, params: unknown) => fleet.call(this, target.address, method, params) as never,
			},
			clock,
			log: fleet.log,
			replicas: fleet.replicas,
			shareOf: () => 1,
			vm,
			self: branded(`${vm}-run`),
			entries: () => fleet.entryNames,
			...fleet.times,
			tickMs,
			watchMs,
			retentionMs: farMs,
			retentionSweepMs: farMs,
			rpcTimeoutMs: 100,
		});
		void this.shards.run();
	}

	/** As when its VM is lost. */
	lose(): void {
		this.isDown = true;
		this.api.cut = true;
		this.dispose();
	}

	dispose(): void {
		this.shards.dispose();
	}
}

/** The whole of it. */
export class BatchFleet implements Disposable {
	readonly api = new FakeObjectApi();
	readonly replicas = new ReplicaTable(clock, 300);
	readonly agents: FleetAgent[] = [];
	readonly entries: FleetEntry[] = [];
	readonly times: FleetTimes;
	/** Events that entries logged. */
	readonly events: Array<{readonly event: EventDefinition; readonly fields: LogFields}> = [];
	readonly log: EventLog = {
		emit: (event, fields = {}) => {
			this.events.push({event, fields});
		},
	};

	/** Runs after a call has taken effect at its agent. */
	rpcHook: RpcHook | undefined;
	readonly #timer: NodeJS.Timeout;

	constructor(entries: number, agents: number, times: FleetTimes) {
		this.times = times;
		this.agents.push(...Array.from({length: agents}, (_, index) => new FleetAgent(`gpu-${index}`, this.api)));
		this.#hear();
		this.#timer = setInterval(() => {
			this.#hear();
		}, tickMs);
		Array.from({length: entries}).forEach((_, index) => {
			this.entries.push(new FleetEntry(`entry-${index}`, this));
		});
	}

	/** Entries that the VM list shows. */
	get entryNames(): readonly string[] {
		return this.entries.filter(({isDown}) => !isDown).map(({vm}) => vm);
	}

	/** Longer than a grant lasts. */
	get outlastMs(): number {
		return this.times.grantMs * 1.1;
	}

	/** The entry that coordinates a job now; undefined when none does. */
	holderOf(jobId: string): FleetEntry | undefined {
		return this.entries.find(({isDown, shards}) => !isDown && shards.held.includes(jobId.charAt('batch_'.length)));
	}

	/** The agent that holds most chunks. */
	get busiest(): FleetAgent {
		return this.agents.toSorted((a, b) => b.worker.size - a.worker.size)[0]!;
	}

	/** Carries a call from an entry to an agent. */
	async call(from: FleetEntry, address: string, method: string, params: unknown): Promise<Either<RpcFailure, unknown>> {
		const agent = this.agents.find(({vm}) => vm === address)!;
		if (from.isDown || agent.isDown) {
			return Left({kind: 'notSent', reason: 'down'});
		}

		if (agent.isPaused) {
			return Left({kind: 'silent', reason: 'paused'});
		}

		const handlers: Record<string, () => unknown> = {
			'batch.grant': () => agent.worker.grant(params as GrantRequest),
			'batch.renew': () => agent.worker.renew(params as RenewRequest),
		};
		const answer = handlers[method]!();
		this.rpcHook?.(method, agent.vm);
		return from.isDown || agent.isDown ? Left({kind: 'lost', reason: 'down'}) : Right(answer);
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.entries.forEach(entry => {
			entry.dispose();
		});
		this.agents.forEach(agent => {
			agent.dispose();
		});
	}

	#hear() {
		const live = this.agents.filter(({isDown}) => !isDown);
		this.replicas.applyVmList(live.map(({vm}): VmEntry => ({
			name: branded(vm), role: 'backend', address: vm, failureDomain: branded('hall'), state: 'live',
		})));
		live.filter(({isPaused}) => !isPaused).forEach(agent => {
			this.replicas.applyReport(branded<VmName>(agent.vm), agent.load());
		});
	}
}
