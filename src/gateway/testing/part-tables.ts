/**
Alternatives to the quarantine's way of finding the prompt parts that crash replicas, for comparison in the model. Each is one table that all fronts share without delay, which favours it.
*/
import type {Clock} from '../../common/services.js';
import {startOf, type ReplicaStart} from '../quarantine/crash-history.js';
import type {PartKey} from '../quarantine/prompt-part-keys.js';
import type {ReplicaRecord} from '../types.js';
import type {PartTable} from './part-crash-model.js';

/** A table that is told of every request. */
export type SharedPartTable = PartTable & {noteRequest(parts: readonly PartKey[]): void};

/** How long a part is held back, and the number of crashes after which plain counting holds it back. */
const holdMs = 60_000;
const plainThreshold = 3;

/** Logarithm of the likelihood ratio above which a part is held back: a thousand to one. */
const minLogRatio = Math.log(1000);

/** Number of requests among which a crash has its cause, at the beginning of their answers at one replica. */
const candidatesOfCrash = 3;

/** Common parts of the alternatives: the crashes of each part since its last sound run. */
abstract class CountingTable implements SharedPartTable {
	version = 0;
	protected readonly starts = new Map<PartKey, Set<ReplicaStart>>();
	readonly #clock: Clock;
	readonly #heldSince = new Map<PartKey, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	heldMs(parts: readonly PartKey[]): number {
		const now = this.#clock.now();
		return Math.max(0, ...parts.map(part => (this.#heldSince.get(part) ?? -Infinity) + holdMs - now));
	}

	isTrialDue(): boolean {
		return false;
	}

	startTrial(): void {
		// The simulated time is shorter than the hold.
	}

	noteCrash(parts: readonly PartKey[], replica: ReplicaRecord): void {
		this.version += 1;
		parts.forEach(part => {
			const starts = this.starts.get(part) ?? new Set<ReplicaStart>();
			starts.add(startOf(replica));
			this.starts.set(part, starts);
			if (this.isCulprit(part)) {
				this.#heldSince.set(part, this.#clock.now());
			}
		});
	}

	noteSound(parts: readonly PartKey[]): void {
		parts.forEach(part => {
			this.starts.delete(part);
			this.#heldSince.delete(part);
		});
	}

	abstract noteRequest(parts: readonly PartKey[]): void;

	protected abstract isCulprit(part: PartKey): boolean;
}

/** A part is held back after a number of crashes without a sound run in between. */
export class PlainCounts extends CountingTable {
	noteRequest(): void {
		// Requests are not counted.
	}

	protected isCulprit(part: PartKey): boolean {
		return (this.starts.get(part)?.size ?? 0) >= plainThreshold;
	}
}

/** A part is held back once it was present at crashes far more often than its share of the requests explains. */
export class LikelihoodRatio extends CountingTable {
	readonly #requests = new Map<PartKey, number>();
	#total = 0;

	noteRequest(parts: readonly PartKey[]): void {
		this.#total += 1;
		parts.forEach(part => {
			this.#requests.set(part, (this.#requests.get(part) ?? 0) + 1);
		});
	}

	protected isCulprit(part: PartKey): boolean {
		const share = (this.#requests.get(part) ?? 1) / this.#total;
		const byChance = 1 - ((1 - share) ** candidatesOfCrash);
		return -Math.log(byChance) * (this.starts.get(part)?.size ?? 0) >= minLogRatio;
	}
}
