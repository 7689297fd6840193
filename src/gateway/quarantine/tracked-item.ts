/**
Tracks one batch item over all its runs: when it may be sent again after replicas have crashed under it, and what its runs show of the requests and prompt parts that the quarantines suspect. Its crashes say nothing of those: only that a replica has ended.
*/
import type {Clock, EventLog} from '../../common/services.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import {contentDigest, type ContentDigest} from './content-digest.js';
import {maxPauseMs, type ItemPauses} from './item-pauses.js';
import type {PartQuarantine} from './part-quarantine.js';
import {partKeysOf, type PartKey} from './prompt-part-keys.js';
import type {Quarantine} from './quarantine.js';
import {RunProgress} from './run-progress.js';
import type {TrackedRequest} from './tracked-content.js';

/** Dependencies of the tracking. */
export type TrackedItemParts = {
	readonly itemPauses: ItemPauses;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly reachability: Pick<ReplicaReachability, 'hasEnded'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Number of crashes under an item after which its runs are apart by a pause. */
const crashesBeforePause = 3;

/** See the module's head. */
export class TrackedItem {
	readonly #parts: TrackedItemParts;
	readonly #request: TrackedRequest;
	readonly #progress: RunProgress;
	#digest: ContentDigest | undefined;
	#partKeys: readonly PartKey[] | undefined;
	#crashes = 0;
	#lastCrashAt = -Infinity;
	/** The crashes that were recorded when its parts were last reported as sound. */
	#reportedVersion = 0;

	constructor(parts: TrackedItemParts, request: TrackedRequest) {
		this.#parts = parts;
		this.#request = request;
		this.#progress = new RunProgress(parts.clock);
	}

	/** Whether it may be sent now. */
	get canBeSent(): boolean {
		return this.heldMs === 0;
	}

	/** For how many more milliseconds it is not to be sent; 0 where it may be, at most {@link maxPauseMs}. */
	get heldMs(): number {
		const {itemPauses, clock} = this.#parts;
		const ownMs = this.#crashes < crashesBeforePause ? 0 : this.#lastCrashAt + maxPauseMs - clock.now();
		return Math.max(0, ownMs, itemPauses.hasSuspects ? itemPauses.heldMs(this.#keys) : 0);
	}

	/** Records that it is being sent to a replica. */
	noteSent(): void {
		const {itemPauses} = this.#parts;
		this.#progress.restart();
		if (itemPauses.hasSuspects) {
			itemPauses.noteSent(this.#keys);
		}
	}

	/** Records that part of the current run's answer was received. */
	noteChunk(): void {
		this.#progress.noteChunk();
		if (this.#reportedVersion !== this.#version && this.#progress.isWellUnderWay) {
			this.#reportSound();
		}
	}

	/** Records that its connection broke during a run. Resolves once it is known whether the replica has ended. */
	async noteConnectionLost(replica: Replica): Promise<void> {
		const isSuspect = !this.#progress.isWellUnderWay;
		const {chunks, answeringMs} = this.#progress;
		if (!(await this.#parts.reachability.hasEnded(replica))) {
			return;
		}

		const {itemPauses, partQuarantine, clock, log} = this.#parts;
		log.emit(gatewayEvents.replicaTerminated, {
			replica: replica.record.id, content: this.#contentDigest, promptParts: this.#keys, chunks, answeringMs,
		});
		this.#crashes += 1;
		this.#lastCrashAt = clock.now();
		itemPauses.noteCrash(isSuspect ? this.#keys : [], replica.record);
		partQuarantine.noteCrash([], replica.record);
	}

	/** Records that a replica has completed it. */
	noteCompleted(): void {
		const {quarantine} = this.#parts;
		if (quarantine.hasSuspects) {
			quarantine.noteSuccess(this.#contentDigest);
		}

		this.#reportSound();
	}

	/** Crashes that are recorded here, under items and under calls. */
	get #version(): number {
		return this.#parts.itemPauses.version + this.#parts.partQuarantine.version;
	}

	get #contentDigest(): ContentDigest {
		this.#digest ??= contentDigest(this.#request.content);
		return this.#digest;
	}

	get #keys(): readonly PartKey[] {
		this.#partKeys ??= partKeysOf(this.#request.promptParts());
		return this.#partKeys;
	}

	#reportSound() {
		const {itemPauses, partQuarantine} = this.#parts;
		this.#crashes = 0;
		this.#reportedVersion = this.#version;
		if (itemPauses.hasSuspects) {
			itemPauses.noteSound(this.#keys);
		}

		if (partQuarantine.hasSuspects) {
			partQuarantine.noteSound(this.#keys);
		}
	}
}
