/**
Applies the quarantine to one request over all its runs: tells whether it may be sent, and records the crashes and completions of its runs.
*/
import type {EventLog} from '../../common/services.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import type {LoadKind} from '../load-board.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import {contentDigest, type ContentDigest, type RequestContent} from './content-digest.js';
import type {Quarantine} from './quarantine.js';

/** Dependencies of the tracking. */
export type TrackedContentParts = {
	readonly quarantine: Quarantine;
	readonly reachability: Pick<ReplicaReachability, 'hasEnded'>;
	readonly log: EventLog;
};

/** See the module's head. */
export class TrackedContent {
	readonly #parts: TrackedContentParts;
	readonly #kind: LoadKind;
	readonly #content: RequestContent;
	#digest: ContentDigest | undefined;

	constructor(parts: TrackedContentParts, kind: LoadKind, content: RequestContent) {
		this.#parts = parts;
		this.#kind = kind;
		this.#content = content;
	}

	/** Computed when it is first needed: most requests never need it. */
	get digest(): ContentDigest {
		this.#digest ??= contentDigest(this.#content);
		return this.#digest;
	}

	/** The digest, or `undefined` if it has not been needed yet. */
	get computedDigest(): ContentDigest | undefined {
		return this.#digest;
	}

	/** For how many more milliseconds the request is not to be sent; 0 where it may be. */
	get heldMs(): number {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects ? quarantine.heldMs(this.digest, this.#kind) : 0;
	}

	/** Whether a replica has ended before while running it. */
	get isSuspected(): boolean {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects && quarantine.isSuspected(this.digest);
	}

	/** Records that its connection broke during a run. Resolves once it is known whether the replica has ended. */
	async noteConnectionLost(replica: Replica): Promise<void> {
		const {quarantine, reachability, log} = this.#parts;
		const {record} = replica;
		if (await reachability.hasEnded(replica)) {
			log.emit(gatewayEvents.replicaTerminated, {replica: record.id, content: this.digest});
			quarantine.noteCrash(this.digest, record);
		}
	}

	/** Records that a replica has completed it. */
	noteCompleted(): void {
		const {quarantine} = this.#parts;
		if (quarantine.hasSuspects) {
			quarantine.noteSuccess(this.digest);
		}
	}
}
