/**
Applies the quarantine to one call over all its runs: tells whether it may be sent, and records the crashes and completions of its runs.
*/
import type {Clock, EventLog} from '../../common/services.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import type {PromptPart} from '../types.js';
import {contentDigest, type ContentDigest, type RequestContent} from './content-digest.js';
import type {PartQuarantine, PartTrial} from './part-quarantine.js';
import {partKeysOf, type PartKey} from './prompt-part-keys.js';
import type {Quarantine} from './quarantine.js';
import {RunProgress} from './run-progress.js';

/** Dependencies of the tracking. */
export type TrackedContentParts = {
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly reachability: Pick<ReplicaReachability, 'hasEnded'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** What a request is recognised by. */
export type TrackedRequest = {
	readonly content: RequestContent;
	/** Called at most once, and only when the parts are needed. */
	readonly promptParts: () => readonly PromptPart[];
};

/** Log fields of one run. */
export type RunFields = {
	readonly content: ContentDigest;
	readonly promptParts: readonly PartKey[];
	readonly chunks: number;
	readonly answeringMs: number;
};

type RunOfRequest = {
	readonly fields: RunFields;
	/** Parts that may be the cause if the replica has crashed. */
	readonly suspects: readonly PartKey[];
};

/** See the module's head. */
export class TrackedContent {
	readonly #parts: TrackedContentParts;
	readonly #request: TrackedRequest;
	readonly #progress: RunProgress;
	#digest: ContentDigest | undefined;
	#partKeys: readonly PartKey[] | undefined;
	/** Set while it is being sent to test the parts by which it was held back. */
	#trial: PartTrial | undefined;
	/** Connections of which it is not known yet whether their replicas have ended. */
	#pendingChecks = 0;
	#isOver = false;
	/** The crashes that were recorded when its parts were last reported as sound. */
	#reportedVersion = 0;

	constructor(parts: TrackedContentParts, request: TrackedRequest) {
		this.#parts = parts;
		this.#request = request;
		this.#progress = new RunProgress(parts.clock);
	}

	/** Computed when it is first needed: most requests never need it. */
	get digest(): ContentDigest {
		this.#digest ??= contentDigest(this.#request.content);
		return this.#digest;
	}

	/** The digest, or `undefined` if it has not been needed yet. */
	get computedDigest(): ContentDigest | undefined {
		return this.#digest;
	}

	/** The parts of its prompt that other requests may share. */
	get partKeys(): readonly PartKey[] {
		this.#partKeys ??= partKeysOf(this.#request.promptParts());
		return this.#partKeys;
	}

	/** Log fields that tell its current run from those of other requests. */
	get logFields(): RunFields {
		return {
			content: this.digest, promptParts: this.partKeys, chunks: this.#progress.chunks, answeringMs: this.#progress.answeringMs,
		};
	}

	/** For how many more milliseconds the request is not to be sent; 0 where it may be. */
	get heldMs(): number {
		const {partQuarantine} = this.#parts;
		const partsHeldMs = partQuarantine.hasSuspects && !this.#trial ? partQuarantine.heldMs(this.partKeys) : 0;
		return Math.max(this.#contentHeldMs, partsHeldMs);
	}

	/** The parts by which it is held back. */
	get heldParts(): readonly PartKey[] | undefined {
		const {partQuarantine} = this.#parts;
		const parts = partQuarantine.hasSuspects ? partQuarantine.heldPartsOf(this.partKeys) : [];
		return parts.length > 0 ? parts : undefined;
	}

	/** Whether it may be sent, if only to test the parts by which it is held back. */
	get canBeSent(): boolean {
		return this.heldMs === 0 || this.#isTrialDue;
	}

	/** Whether its current run is to be aborted: it is held back by now, and its replica has not yet survived the beginning of the answer. */
	get mayCrashReplica(): boolean {
		return !this.#progress.isWellUnderWay && this.heldMs > 0;
	}

	/** Whether its current run has been answered for so long that it cannot be the cause if its replica crashes. */
	get isWellUnderWay(): boolean {
		return this.#progress.isWellUnderWay;
	}

	/** To be called before it is sent. @returns For how many more milliseconds it is not to be sent; 0 where it may be. */
	claimRun(): number {
		if (this.#isTrialDue) {
			this.#trial = this.#parts.partQuarantine.startTrial(this.partKeys);
		}

		return this.heldMs;
	}

	/** Whether a replica has ended before while running it. */
	get isSuspected(): boolean {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects && quarantine.isSuspected(this.digest);
	}

	/** Records that it is being sent to a replica. */
	noteSent(): void {
		this.#progress.restart();
	}

	/** Records that part of the current run's answer was received. */
	noteChunk(): void {
		this.#progress.noteChunk();
		const {partQuarantine} = this.#parts;
		if (partQuarantine.hasSuspects && this.#reportedVersion !== partQuarantine.version && this.#progress.isWellUnderWay) {
			this.#reportSound();
		}
	}

	/** Records that its connection broke during a run. Resolves once it is known whether the replica has ended. */
	async noteConnectionLost(replica: Replica): Promise<void> {
		const run = this.#currentRun;
		this.#pendingChecks += 1;
		const hasEnded = await this.#parts.reachability.hasEnded(replica);
		this.#pendingChecks -= 1;
		if (hasEnded) {
			this.#noteCrash(replica, run);
		}

		this.#withdrawUndecided();
	}

	/** Records that it will not be sent again. */
	noteOver(): void {
		this.#isOver = true;
		this.#withdrawUndecided();
	}

	/** Records that the replica has ended during a run, if that is known already. */
	noteReplicaEnded(replica: Replica): void {
		this.#noteCrash(replica, this.#currentRun);
	}

	/** Records that a replica has completed it. An answer without a length may have ended because its replica did. */
	noteCompleted({isFramed}: {readonly isFramed: boolean}): void {
		const {quarantine, partQuarantine} = this.#parts;
		if (quarantine.hasSuspects) {
			quarantine.noteSuccess(this.digest);
		}

		if (partQuarantine.hasSuspects && isFramed) {
			this.#reportSound();
		}
	}

	get #contentHeldMs(): number {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects ? quarantine.heldMs(this.digest) : 0;
	}

	get #isTrialDue(): boolean {
		const {partQuarantine} = this.#parts;
		return !this.#trial && partQuarantine.hasSuspects && this.#contentHeldMs === 0 && partQuarantine.isTrialDue(this.partKeys);
	}

	/** The next run may have begun when it is known how this one ended. */
	get #currentRun(): RunOfRequest {
		return {fields: this.logFields, suspects: this.#progress.isWellUnderWay ? [] : this.partKeys};
	}

	#noteCrash({record}: Replica, {fields, suspects}: RunOfRequest) {
		const {quarantine, partQuarantine, log} = this.#parts;
		log.emit(gatewayEvents.replicaTerminated, {replica: record.id, ...fields});
		this.#trial = undefined;
		quarantine.noteCrash(this.digest, record);
		partQuarantine.noteCrash(suspects, record);
	}

	/** A trial that was refused, misdirected or cancelled has shown nothing; otherwise its parts would stay held back as if it had failed. */
	#withdrawUndecided() {
		if (this.#trial && this.#isOver && this.#pendingChecks === 0) {
			this.#parts.partQuarantine.withdrawTrial(this.#trial);
			this.#trial = undefined;
		}
	}

	#reportSound() {
		const {partQuarantine} = this.#parts;
		partQuarantine.noteSound(this.partKeys);
		this.#trial = undefined;
		this.#reportedVersion = partQuarantine.version;
	}
}
