/**
Places models on engines: reads what is wanted and what is, asks the policy for the next step, and writes the assignments that changed. One entry does it, under the lease `placement`.
*/
import type {
	BackendServer, ModelVersion, ServedModel,
} from '../../typings/resources.js';
import type {Fence} from '../common/ids.js';
import {
	placementEpochName, isCurrentAssignment, placementLeaseName, type Assignment, type PlacementEpoch,
} from '../common/placement.js';
import {
	placeModels, type ModelProgress, type Placement, type PlacementChoice, type PlacementServer, type DesiredModel,
} from '../common/placement-policy.js';
import type {ReplicaView} from '../common/replica-table.js';
import type {Disposable, EventLog} from '../common/services.js';
import {h64ToString} from '../common/xxhash.js';
import {configEvents} from './config-log-events.js';
import {EntryLease, type EntryLeaseParts} from './entry-lease.js';
import {StatusWriter, type StatusReport} from './status-writer.js';

/** What the controller needs. */
export type PlacementParts = EntryLeaseParts & {
	readonly log: EventLog;
	/** All backend servers that this entry knows. */
	readonly replicas: () => readonly ReplicaView[];
	/** Milliseconds without a report after which an engine is silent; grows with the fleet, as reports become rarer. */
	readonly silentMs: () => number;
	/** Loads that may be under way at once. */
	readonly maxLoads: number;
	readonly leaseMs: number;
	/** Milliseconds between two steps. */
	readonly tickMs: number;
};

const tendsPerLease = 3;
/** An engine that was not heard for so long, and is silent, is lost, whatever the VM list says. */
const lostMs = 10_000;
/** A new holder waits so long for the agents' first reports before it decides without some. */
const hearMs = 5000;
const writesPerTick = 20;

const stable = (value: unknown) => JSON.stringify(value);

/** Places until disposed. */
export class PlacementController implements Disposable {
	readonly #parts: PlacementParts;
	readonly #lease: EntryLease;
	readonly #writer: StatusWriter;
	readonly #reported = new Map<string, string>();
	#epoch: PlacementEpoch | undefined;
	#beganAt = 0;
	#disposed = false;

	constructor(parts: PlacementParts) {
		this.#parts = parts;
		this.#lease = new EntryLease(parts, {name: placementLeaseName, ttlMs: parts.leaseMs, tendMs: parts.leaseMs / tendsPerLease});
		this.#writer = new StatusWriter(parts.api, parts.clock);
	}

	/** True while this entry places; it then needs reports of all engines, not of a few. */
	get isHolder(): boolean {
		return this.#lease.isHeld;
	}

	/** Places for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await this.tick();
			await this.#parts.clock.sleep(this.#parts.tickMs);
		}
	}

	/** Looks after the lease and takes one step. */
	async tick(): Promise<void> {
		await this.#tend();
		if (this.#lease.isHeld && await this.#begin()) {
			await this.#place();
		}
	}

	/** Gives the lease back. */
	async release(): Promise<void> {
		this.dispose();
		await this.#lease.release();
	}

	dispose(): void {
		this.#disposed = true;
	}

	async #tend() {
		const hasLooked = await this.#lease.tend();
		if (hasLooked && !this.#lease.isHeld && this.#epoch) {
			this.#epoch = undefined;
			this.#reported.clear();
			this.#parts.log.emit(configEvents.placementLost, {});
		}
	}

	// Before the first assignment under a new number, the number is made known: from then on agents hold back what a former holder writes when it wakes up.
	async #begin(): Promise<boolean> {
		const {api, table, log, clock} = this.#parts;
		const {fence} = this.#lease;
		if (this.#epoch?.fence === fence) {
			return true;
		}

		const epoch: PlacementEpoch = {fence, knownUpTo: table.revision};
		const read = await api.get<PlacementEpoch>('Assignment', placementEpochName);
		const stored = read.isRight() ? read.unsafeCoerce() : undefined;
		if (read.isLeft() && read.extract().kind !== 'notFound') {
			return false;
		}

		const written = stored ? await api.update('Assignment', placementEpochName, epoch, stored.version) : await api.create('Assignment', placementEpochName, epoch);
		if (written.isRight()) {
			this.#epoch = epoch;
			this.#beganAt = clock.now();
			log.emit(configEvents.placementTaken, {...epoch});
		}

		return written.isRight();
	}

	async #place() {
		const {replicas, clock, maxLoads} = this.#parts;
		const servers = this.#servers();
		if (servers.some(({loaded}) => loaded === undefined) && clock.now() - this.#beganAt < hearMs && replicas().length > 0) {
			return;
		}

		const wanted = this.#wanted();
		const placement = placeModels(wanted, servers, maxLoads);
		await this.#writeAssignments(placement, h64ToString(stable([wanted, servers])));
		await this.#reportAll(placement.progress);
	}

	#wanted(): DesiredModel[] {
		const {table} = this.#parts;
		return table.list<ServedModel>('ServedModel').flatMap(({name, value}) => {
			const version = table.get<ModelVersion>('ModelVersion', value.spec.version);
			const {replicas, minReady} = value.spec;
			return version
				? [{
					model: name, version: version.spec.weights, adapter: version.spec.adapter, replicas, minReady,
				}]
				: [];
		});
	}

	#servers(): PlacementServer[] {
		const {table, replicas, clock, silentMs} = this.#parts;
		const lostAt = clock.now() - Math.max(lostMs, silentMs());
		return replicas()
			.filter(({leaving, load, heardAt}) => !leaving && load?.draining !== true && (heardAt === Number.NEGATIVE_INFINITY || heardAt > lostAt))
			.flatMap(({vm, failureDomain, load}): PlacementServer[] => {
				const spec = table.get<BackendServer>('BackendServer', vm)?.spec;
				return spec?.type === 'engine'
					? [{
						vm, failureDomain, allowed: spec.models ?? [], loaded: load?.loaded, assigned: table.get<Assignment>('Assignment', vm)?.models,
					}]
					: [];
			})
			.toSorted((a, b) => (a.vm < b.vm ? -1 : 1));
	}

	async #writeAssignments({choices, progress}: Placement, digest: string) {
		const due = choices.filter(choice => this.#isDue(choice)).slice(0, writesPerTick);
		for (const choice of due) {
			await this.#write(choice, progress, digest);
		}
	}

	#isDue({vm, models, unload}: PlacementChoice): boolean {
		const {table} = this.#parts;
		const known = table.get<Assignment>('Assignment', vm);
		if (!known) {
			return models.length > 0;
		}

		return stable([known.models, known.unload]) !== stable([models, unload]) || !isCurrentAssignment(known, table.versionOf('Assignment', vm), this.#epoch!);
	}

	async #write({vm, models, unload}: PlacementChoice, progress: readonly ModelProgress[], digest: string) {
		const {api, table, log} = this.#parts;
		const version = table.versionOf('Assignment', vm);
		const assignment: Assignment = {fence: this.#fence(), models, unload};
		// Checked before each write: the step took time, and the lease may have lapsed on the way.
		if (!this.#lease.isHeld) {
			return;
		}

		const written = version === 0 ? await api.create('Assignment', vm, assignment) : await api.update('Assignment', vm, assignment, version);
		const names = new Set([...models.map(({model}) => model), ...unload]);
		log.emit(configEvents.placed, {
			vm,
			...assignment,
			inputs: digest,
			written: written.isRight(),
			models: models.map(({model, version: key}) => `${model}@${key}`),
			runnersUp: progress.filter(({model}) => names.has(model)).map(({model, runnersUp}) => ({model, runnersUp})),
		});
	}

	#fence(): Fence {
		return this.#epoch!.fence;
	}

	async #reportAll(progress: readonly ModelProgress[]) {
		for (const row of progress) {
			await this.#report(row);
		}
	}

	async #report(row: ModelProgress) {
		const {table} = this.#parts;
		const generation = table.get<ServedModel>('ServedModel', row.model)?.metadata?.generation ?? 1;
		const report = reportOf(row, generation);
		const text = stable(report);
		if (this.#reported.get(row.model) === text || !this.#lease.isHeld) {
			return;
		}

		const written = await this.#writer.write('ServedModel', row.model, report);
		written.ifRight(() => {
			this.#reported.set(row.model, text);
		});
	}
}

const reportOf = ({target, ready, rolledOut, minReady}: ModelProgress, generation: number): StatusReport => {
	const isReady = target > 0 && ready >= Math.max(1, minReady);
	const isRolledOut = target > 0 && rolledOut === target;
	return {
		observedGeneration: generation,
		conditions: [
			{
				type: 'Ready', status: isReady ? 'True' : 'False', reason: isReady ? 'EnoughReplicas' : 'TooFewReplicas', message: `${ready} of ${target} replicas are ready, at least ${minReady} are to be`,
			},
			{
				type: 'RolledOut', status: isRolledOut ? 'True' : 'False', reason: isRolledOut ? 'AllReplicas' : 'InProgress', message: `${rolledOut} of ${target} replicas have the wanted version`,
			},
		],
	};
};
