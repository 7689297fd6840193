/**
Runs of batch items that a replica has ended with a failure, from all processes; part of the blackboard. Processes announce each such run to each other under a unique id, so that it counts once however often it is received.

A route allows an item a limited number of failures. If each process counted for itself, its count would be lost when it was killed, or when it released a job that another process runs as well; the next process would start from zero, and the item would take slots from others for runs that are bound to fail.
*/
import {EventEmitter} from 'node:events';
import {branded, type Branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import {RepeatedAnnouncements} from '../peers/repeated-announcements.js';
import type {BatchItemId, MemberName, ReplicaId} from '../types.js';

/** Identifies one run; the same at every process. */
export type FailedRunId = Branded<string, 'FailedRunId'>;

/** One run that failed. */
export type FailedRun = {
	readonly run: FailedRunId;
	readonly item: BatchItemId;
	readonly replica: ReplicaId;
};

/** Dependencies of the table. */
export type FailedRunsParts = {
	readonly self: MemberName;
	readonly clock: Clock;
};

/** The maximum number of runs in one message, the newest ones; about 6 kB. */
const maxAnnounced = 60;

/** The maximum number of items in the table; those whose last failure is the oldest are evicted first. Thousands of items fail while replicas are faulty, and each is finished or tried again within a minute. */
const maxItems = 5000;

/** See the module's head. */
export class FailedRuns {
	readonly #parts: FailedRunsParts;
	readonly #events = new EventEmitter();
	/** By item, in the order of the last failure. */
	readonly #byItem = new Map<BatchItemId, ReadonlyMap<FailedRunId, FailedRun>>();
	readonly #startedAt: number;
	#count = 0;
	readonly #announced: RepeatedAnnouncements<FailedRunId, FailedRun>;

	constructor(parts: FailedRunsParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.wall();
		this.#announced = new RepeatedAnnouncements(parts.clock, maxAnnounced);
	}

	/** Calls the listener when there is something to announce to peers soon. */
	onAnnouncementDue(listener: () => void): void {
		this.#events.on('announcementDue', listener);
	}

	/** Adds a run of this process that a replica has ended with a failure. */
	addOwn(item: BatchItemId, replica: ReplicaId): void {
		this.#count += 1;
		const run = branded<FailedRunId>(`${this.#parts.self}/${this.#startedAt}/${this.#count}`);
		this.#add({run, item, replica});
		this.#announced.set(run, {run, item, replica});
		this.#events.emit('announcementDue');
	}

	/** Adds runs received from a peer or from the former holder of a job. */
	addReceived(runs: readonly FailedRun[]): void {
		runs.forEach(run => {
			this.#add(run);
		});
	}

	/** The failed runs of an item. */
	of(item: BatchItemId): readonly FailedRun[] {
		return [...this.#byItem.get(item)?.values() ?? []];
	}

	/** The number of failed runs of an item. */
	countOf(item: BatchItemId): number {
		return this.#byItem.get(item)?.size ?? 0;
	}

	/** The runs to announce to peers; nothing if none has failed recently. */
	announcement(): readonly FailedRun[] | undefined {
		const announced = this.#announced.current();
		return announced.length > 0 ? announced : undefined;
	}

	#add(failed: FailedRun) {
		const recorded = this.#byItem.get(failed.item);
		if (recorded?.has(failed.run)) {
			return;
		}

		this.#byItem.delete(failed.item);
		this.#byItem.set(failed.item, new Map([...recorded ?? [], [failed.run, failed]]));
		this.#evictOldest();
	}

	#evictOldest() {
		const [oldest] = this.#byItem.keys();
		if (this.#byItem.size > maxItems && oldest !== undefined) {
			this.#byItem.delete(oldest);
		}
	}
}
