/**
One request as the quarantine sees it, over all its runs: whether it may be sent, and what its runs have shown.
*/
import type {EventLog} from '../../common/services.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import type {LoadKind} from '../load-board.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import {contentDigest, type ContentDigest, type RequestContent} from './content-digest.js';
import type {Quarantine} from './quarantine.js';

/** What a request is watched with. */
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

	/** Made when it is first needed: most requests never need it. */
	get digest(): ContentDigest {
		this.#digest ??= contentDigest(this.#content);
		return this.#digest;
	}

	/** The digest, if anything has needed it yet. */
	get computedDigest(): ContentDigest | undefined {
		return this.#digest;
	}

	/** For how many more milliseconds it is not to be sent; 0 where it may be. */
	get heldMs(): number {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects ? quarantine.heldMs(this.digest, this.#kind) : 0;
	}

	/** Whether a replica has ended under it before. */
	get isSuspected(): boolean {
		const {quarantine} = this.#parts;
		return quarantine.hasSuspects && quarantine.isSuspected(this.digest);
	}

	/** Its connection broke within a run. Resolves once it is known whether the replica has ended. */
	async noteConnectionLost(replica: Replica): Promise<void> {
		const {quarantine, reachability: contacts, log} = this.#parts;
		const {record} = replica;
		if (await contacts.hasEnded(replica)) {
			log.emit(gatewayEvents.replicaTerminated, {replica: record.id, content: this.digest});
			quarantine.noteCrash(this.digest, record);
		}
	}

	/** A replica has run it to its end. */
	noteCompleted(): void {
		const {quarantine} = this.#parts;
		if (quarantine.hasSuspects) {
			quarantine.noteSuccess(this.digest);
		}
	}
}
