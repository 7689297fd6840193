/**
What this entry knows of the replicas: from the VM list, from their own reports, and from its own requests under way. All of it is late; each view carries the time it was heard.
*/
import type {FailureDomain, VmName} from './ids.js';
import {PrefixIndex} from './prefix-index.js';
import type {LoadReport} from './protocol.js';
import type {Clock} from './services.js';
import type {VmEntry} from './types.js';

/** One replica as this entry sees it. */
export type ReplicaView = {
	readonly vm: VmName;
	readonly address: string;
	readonly failureDomain: FailureDomain;
	/** Leaving by the VM list. */
	readonly leaving: boolean;
	readonly load: LoadReport | undefined;
	/** The clock's `now` when the replica was last heard; negative infinity before the first time. */
	readonly heardAt: number;
	/** Requests of this entry that the replica has not answered yet. */
	readonly ownInFlight: number;
	/** Tokens of those that were sent after the last report, which the report can not count. */
	readonly ownTokensSince: number;
	/** Failures in a row. */
	readonly failures: number;
	/** Why the last exchange failed; left out before the first failure. */
	readonly lastFailure?: string;
};

/** What is known of a target's replicas, for a line that tells why none of them gets work. */
export type TargetAvailability = {
	/** Replicas of any kind. */
	readonly replicas: number;
	/** Replicas whose last report says that they serve the target. */
	readonly serving: number;
	/** Age of the youngest of their reports, in milliseconds; left out where there is none. */
	readonly heardMs?: number;
	/** Why the last exchange with that replica failed. */
	readonly lastFailure?: string;
};

type Row = {-readonly [Key in keyof ReplicaView]: ReplicaView[Key]} & {
	missed: number;
	/** When its reports stopped naming a target, by target. */
	readonly stoppedServingAt: Map<string, number>;
};

// The list lags and may miss a VM for a read; one that still answers is dropped only after this many lists without it.
const missesBeforeDrop = 2;
/** While no replica is heard, each keeps getting work for this many times longer; after that this process is cut off, and refuses at once. */
export const allUnresponsiveFactor = 3;

// About 200 kB for each replica at the most.
const maxPrefixBlocks = 2000;

/** True when a replica may get new work: it serves the target, is not leaving, and was heard of late. */
export const isRoutable = ({leaving, load, heardAt}: ReplicaView, {target, now, silentMs}: {readonly target: string; readonly now: number; readonly silentMs: number}): boolean => !leaving
	&& load !== undefined
	&& !load.draining
	&& load.serves.includes(target)
	&& now - heardAt <= silentMs;

const isOvertaken = (load: LoadReport, known: LoadReport | undefined): boolean => known?.incarnation === load.incarnation && known.at > load.at;

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

	/** Takes over the VM list's backend server VMs. */
	applyVmList(vms: readonly VmEntry[]): void {
		const listed = new Map(vms.filter(vm => vm.role === 'backend').map(vm => [vm.name, vm]));
		if (listed.size === 0 && this.#rows.size > 0) {
			// A list without a single backend server is a fault of the platform sooner than the end of the fleet, and believing it would refuse every request. The replicas' own reports go on saying who is there.
			return;
		}

		listed.forEach(vm => {
			this.#applyVm(vm);
		});
		[...this.#rows.values()].filter(row => !listed.has(row.vm)).forEach(row => {
			row.missed += 1;
			// No more work from the first list on that lacks it.
			row.leaving = true;
			if (row.missed >= missesBeforeDrop && row.ownInFlight === 0) {
				this.#rows.delete(row.vm);
				this.prefixes.removeReplica(row.vm);
			}
		});
	}

	/** Takes over a report that came by any way. One that a later report has overtaken shows only that the replica answers. */
	applyReport(vm: VmName, load: LoadReport): void {
		const row = this.#rows.get(vm);
		if (row && isOvertaken(load, row.load)) {
			row.heardAt = this.#clock.now();
			row.failures = 0;
		} else if (row) {
			this.#noteCache(row, load);
			this.#noteServes(row, load);
			row.load = load;
			row.heardAt = this.#clock.now();
			row.ownTokensSince = 0;
			row.failures = 0;
		}
	}

	/**
	This process was paused: what the replicas said meanwhile is still unread. Without this, all of them would look silent at once, and callers be told that there is none.

	@param ms - For how long.
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

	/** Counts a request of ours that goes to the replica. */
	began(vm: VmName, tokens: number): void {
		const row = this.#rows.get(vm);
		if (row) {
			row.ownInFlight += 1;
			row.ownTokensSince += tokens;
		}
	}

	/** Counts the end of a request of ours. */
	ended(vm: VmName): void {
		const row = this.#rows.get(vm);
		if (row) {
			row.ownInFlight -= 1;
		}
	}

	/**
	Milliseconds without a report after which a replica gets no new work at this moment. When all are silent at once, more likely this process cannot hear, for instance on a busy machine, than that all have ended in the same second: they get work for longer, or every caller would be told that there is no replica.
	*/
	effectiveReportTimeoutMs(now = this.#clock.now()): number {
		const rows = [...this.#rows.values()];
		const hearsNone = rows.length > 1 && rows.every(({heardAt}) => now - heardAt > this.silentMs);
		return hearsNone ? allUnresponsiveFactor * this.silentMs : this.silentMs;
	}

	/** The replicas that may get new work for `target`, for instance `model:tyre-scribe`. */
	routable(target: string, now = this.#clock.now()): ReplicaView[] {
		const silentMs = this.effectiveReportTimeoutMs(now);
		return [...this.#rows.values()].filter(row => isRoutable(row, {target, now, silentMs}));
	}

	/** Replicas that are heard and whose reports have stopped naming the target within some milliseconds: a backend server that restarts may serve it again by now. */
	stoppedServing(target: string, withinMs: number): ReplicaView[] {
		const since = this.#clock.now() - withinMs;
		return [...this.#rows.values()].filter(row => !row.leaving && row.heardAt > since && (row.stoppedServingAt.get(target) ?? -Infinity) > since);
	}

	/** True when some replica serves the target, be it reachable now or not. */
	isServed(target: string): boolean {
		return [...this.#rows.values()].some(row => row.load?.serves.includes(target));
	}

	/** See {@link TargetAvailability}. */
	availabilityOf(target: string, now = this.#clock.now()): TargetAvailability {
		const serving = [...this.#rows.values()].filter(({load}) => load?.serves.includes(target)).toSorted((a, b) => b.heardAt - a.heardAt);
		const [youngest] = serving;
		return {
			replicas: this.#rows.size, serving: serving.length, heardMs: youngest && Math.round(now - youngest.heardAt), lastFailure: youngest?.lastFailure,
		};
	}

	#noteCache(row: Row, load: LoadReport) {
		if (row.load && row.load.incarnation !== load.incarnation) {
			this.prefixes.removeReplica(row.vm);
		}

		if (load.cache) {
			this.prefixes.dropped(row.vm, load.cache);
		}
	}

	#noteServes({load: known, stoppedServingAt}: Row, load: LoadReport) {
		const now = this.#clock.now();
		known?.serves.filter(target => !load.serves.includes(target)).forEach(target => {
			stoppedServingAt.set(target, now);
		});
		load.serves.forEach(target => {
			stoppedServingAt.delete(target);
		});
	}

	#applyVm(vm: VmEntry) {
		const known = this.#rows.get(vm.name);
		const isSame = known?.address === vm.address;
		const row: Row = known && isSame
			? known
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
