/**
An entry's view of the replicas: from the VM list, from their own reports, and from its own requests in progress. All of it lags; each view carries the time of the last report.
*/
import type {FailureDomain, VmName} from './ids.js';
import {PrefixIndex} from './prefix-index.js';
import type {LoadReport} from './protocol.js';
import type {Clock} from './services.js';
import type {VmEntry} from './types.js';

/** An entry's view of one replica. */
export type ReplicaView = {
	readonly vm: VmName;
	readonly address: string;
	readonly failureDomain: FailureDomain;
	/** True when the VM list shows the VM as leaving, or no longer contains it. */
	readonly leaving: boolean;
	readonly load: LoadReport | undefined;
	/** The clock's `now` when the last report was received; negative infinity before the first. */
	readonly heardAt: number;
	/** Requests of this entry that the replica has not answered yet. */
	readonly ownInFlight: number;
	/** Tokens of those that were sent after the last report, which the report does not include. */
	readonly ownTokensSince: number;
	/** Consecutive failures. */
	readonly failures: number;
	/** Reason of the last failed exchange; left out before the first failure. */
	readonly lastFailure?: string;
};

/** The availability of a target's replicas, for the log line that explains why none of them gets work. */
export type TargetAvailability = {
	/** Replicas of all targets. */
	readonly replicas: number;
	/** Replicas whose last report lists the target. */
	readonly serving: number;
	/** Age of the newest of their reports, in milliseconds; left out where there is none. */
	readonly heardMs?: number;
	/** Reason of the last failed exchange with the replica that sent it. */
	readonly lastFailure?: string;
};

type Row = {-readonly [Key in keyof ReplicaView]: ReplicaView[Key]} & {
	missed: number;
	/** Time when its reports stopped listing a target, by target. */
	readonly stoppedServingAt: Map<string, number>;
};

// The list lags and may omit a VM once; a replica without requests in progress is removed only after this many lists without it.
const missesBeforeRemoval = 2;
/** While all replicas are unresponsive, the report timeout is multiplied by this factor; after that this process is considered disconnected, and refuses at once. */
export const allUnresponsiveFactor = 3;

// At most about 200 kB per replica.
const maxPrefixBlocks = 2000;

/** True when a replica may get new work: it serves the target, is not leaving or draining, and has sent a report within `silentMs`. */
export const isRoutable = ({leaving, load, heardAt}: ReplicaView, {target, now, silentMs}: {readonly target: string; readonly now: number; readonly silentMs: number}): boolean => !leaving
	&& load !== undefined
	&& !load.draining
	&& load.serves.includes(target)
	&& now - heardAt <= silentMs;

const isOutdated = (load: LoadReport, current: LoadReport | undefined): boolean => current?.incarnation === load.incarnation && current.at > load.at;

/** The replicas, by VM. */
export class ReplicaTable {
	/** Milliseconds without a report after which a replica gets no new work. */
	silentMs: number;
	/** Prompt blocks that the replicas are known to hold. */
	readonly prefixes = new PrefixIndex(maxPrefixBlocks);
	readonly #rows = new Map<VmName, Row>();
	readonly #clock: Clock;
	constructor(clock: Clock, silentMs: number) {
		this.#clock = clock;
		this.silentMs = silentMs;
	}

	/** All replicas. */
	get all(): readonly ReplicaView[] {
		return [...this.#rows.values()];
	}

	get(vm: VmName): ReplicaView | undefined {
		return this.#rows.get(vm);
	}

	/** Applies the backend server VMs of the VM list. */
	applyVmList(vms: readonly VmEntry[]): void {
		const listed = new Map(vms.filter(vm => vm.role === 'backend').map(vm => [vm.name, vm]));
		if (listed.size === 0 && this.#rows.size > 0) {
			// A list without a single backend server is more likely a fault of the platform than the end of the fleet, and applying it would refuse every request. The replicas' own reports still show which of them are available.
			return;
		}

		listed.forEach(vm => {
			this.#applyVm(vm);
		});
		[...this.#rows.values()].filter(row => !listed.has(row.vm)).forEach(row => {
			row.missed += 1;
			// It gets no new work from the first list on that omits it.
			row.leaving = true;
			if (row.missed >= missesBeforeRemoval && row.ownInFlight === 0) {
				this.#rows.delete(row.vm);
				this.prefixes.removeReplica(row.vm);
			}
		});
	}

	/** Applies a report, received by any channel. One that is older than the last report only shows that the replica is responsive. */
	applyReport(vm: VmName, load: LoadReport): void {
		const row = this.#rows.get(vm);
		if (row && isOutdated(load, row.load)) {
			row.heardAt = this.#clock.now();
			row.failures = 0;
		} else if (row) {
			this.#applyCacheChanges(row, load);
			this.#trackStoppedTargets(row, load);
			row.load = load;
			row.heardAt = this.#clock.now();
			row.ownTokensSince = 0;
			row.failures = 0;
		}
	}

	/**
	Compensates for a pause of this process, during which reports of the replicas were not read. Otherwise all replicas would appear unresponsive at once, and callers would be refused for lack of a replica.

	@param ms - Milliseconds that the pause lasted.
	*/
	compensateForPause(ms: number): void {
		this.#rows.forEach(row => {
			row.heardAt += ms;
		});
	}

	/** Counts a failed exchange. */
	failed(vm: VmName, reason: string): void {
		const row = this.#rows.get(vm);
		if (row) {
			row.failures += 1;
			row.lastFailure = reason;
		}
	}

	/** Counts a request of this entry that is sent to the replica. */
	began(vm: VmName, tokens: number): void {
		const row = this.#rows.get(vm);
		if (row) {
			row.ownInFlight += 1;
			row.ownTokensSince += tokens;
		}
	}

	/** Counts the end of a request of this entry. */
	ended(vm: VmName): void {
		const row = this.#rows.get(vm);
		if (row) {
			row.ownInFlight -= 1;
		}
	}

	/**
	Milliseconds without a report after which a replica currently gets no new work. When all replicas are unresponsive at once, it is more likely that this process can not receive reports, for instance on a busy machine, than that all replicas failed within the same second: they get work for longer, otherwise every caller would be refused for lack of a replica.
	*/
	effectiveReportTimeoutMs(now = this.#clock.now()): number {
		const rows = [...this.#rows.values()];
		const areAllUnresponsive = rows.length > 1 && rows.every(({heardAt}) => now - heardAt > this.silentMs);
		return areAllUnresponsive ? allUnresponsiveFactor * this.silentMs : this.silentMs;
	}

	/** The replicas that may get new work for `target`, for instance `model:tyre-scribe`. */
	routable(target: string, now = this.#clock.now()): ReplicaView[] {
		const silentMs = this.effectiveReportTimeoutMs(now);
		return [...this.#rows.values()].filter(row => isRoutable(row, {target, now, silentMs}));
	}

	/** Responsive replicas whose reports stopped listing the target within the last `withinMs` milliseconds: a backend server that restarts may serve it again by now. */
	stoppedServing(target: string, withinMs: number): ReplicaView[] {
		const since = this.#clock.now() - withinMs;
		return [...this.#rows.values()].filter(row => !row.leaving && row.heardAt > since && (row.stoppedServingAt.get(target) ?? -Infinity) > since);
	}

	/** True when any replica serves the target, whether or not it is reachable now. */
	isServed(target: string): boolean {
		return [...this.#rows.values()].some(row => row.load?.serves.includes(target));
	}

	/** See {@link TargetAvailability}. */
	availabilityOf(target: string, now = this.#clock.now()): TargetAvailability {
		const serving = [...this.#rows.values()].filter(({load}) => load?.serves.includes(target)).toSorted((a, b) => b.heardAt - a.heardAt);
		const [newest] = serving;
		return {
			replicas: this.#rows.size, serving: serving.length, heardMs: newest && Math.round(now - newest.heardAt), lastFailure: newest?.lastFailure,
		};
	}

	#applyCacheChanges(row: Row, load: LoadReport) {
		if (row.load && row.load.incarnation !== load.incarnation) {
			this.prefixes.removeReplica(row.vm);
		}

		if (load.cache) {
			this.prefixes.dropped(row.vm, load.cache);
		}
	}

	#trackStoppedTargets({load: current, stoppedServingAt}: Row, load: LoadReport) {
		const now = this.#clock.now();
		current?.serves.filter(target => !load.serves.includes(target)).forEach(target => {
			stoppedServingAt.set(target, now);
		});
		load.serves.forEach(target => {
			stoppedServingAt.delete(target);
		});
	}

	#applyVm(vm: VmEntry) {
		const current = this.#rows.get(vm.name);
		const isSame = current?.address === vm.address;
		const row: Row = current && isSame
			? current
			: {
				vm: vm.name,
				address: vm.address,
				failureDomain: vm.failureDomain,
				leaving: false,
				load: undefined,
				heardAt: Number.NEGATIVE_INFINITY,
				ownInFlight: 0,
				ownTokensSince: 0,
				failures: 0,
				missed: 0,
				stoppedServingAt: new Map(),
			};
		row.missed = 0;
		row.leaving = vm.state === 'leaving';
		this.#rows.set(vm.name, row);
	}
}
