/**
Runs of batch items that a replica has ended with a failure, whichever process had sent them: part of the blackboard. Processes tell each other of each such run, by a name of its own, so that it counts once however often it is told.

A route allows an item so many failures. A process that counted for itself took its count with it when it was killed, or when it let a job go that another one runs as well; the next one began at nothing, and the item took places from others for runs that were bound to fail.
*/
import {EventEmitter} from 'node:events';
import {branded, type Branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import type {BatchItemId, MemberName, ReplicaId} from '../types.js';

/** Names one run; the same at every process. */
export type FailedRunId = Branded<string, 'FailedRunId'>;

/** One run that failed. */
export type FailedRun = {
	readonly run: FailedRunId;
	readonly item: BatchItemId;
	readonly replica: ReplicaId;
};

/** What the table needs. */
export type FailedRunsParts = {
	readonly self: MemberName;
	readonly clock: Clock;
};

/** A run is told anew with each of several messages for this long, in milliseconds, so that none is missed for the loss of a few. */
const tellMs = 2000;

/** Runs in one message, the newest; about 6 kB. */
const maxTold = 60;

/** Items that are remembered; those whose last failure is longest ago are forgotten first. Thousands of items fail while replicas are at fault, and each is over or tried again within a minute. */
const maxItems = 5000;

/** See the module's head. */
export class FailedRuns {
	readonly #parts: FailedRunsParts;
	readonly #events = new EventEmitter();
	/** By item; that of the last failure comes last. */
	readonly #byItem = new Map<BatchItemId, ReadonlyMap<FailedRunId, FailedRun>>();
	readonly #startedAt: number;
	#count = 0;
	#told: ReadonlyArray<FailedRun & {readonly at: number}> = [];

	constructor(parts: FailedRunsParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.wall();
	}

	/** Calls the listener when there is something to tell peers soon. */
	onAnnouncementDue(listener: () => void): void {
		this.#events.on('news', listener);
	}

	/** A replica has ended a run of this process with a failure. */
	addOwn(item: BatchItemId, replica: ReplicaId): void {
		this.#count += 1;
		const run = branded<FailedRunId>(`${this.#parts.self}/${this.#startedAt}/${this.#count}`);
		this.#take({run, item, replica});
		this.#told = [...this.#told, {
			run, item, replica, at: this.#parts.clock.now(),
		}].slice(-maxTold);
		this.#events.emit('news');
	}

	/** Takes over what a peer tells, or what the former holder of a job has left. */
	addReceived(runs: readonly FailedRun[]): void {
		runs.forEach(run => {
			this.#take(run);
		});
	}

	/** Runs of an item that have failed. */
	of(item: BatchItemId): readonly FailedRun[] {
		return [...this.#byItem.get(item)?.values() ?? []];
	}

	/** How many runs of an item have failed. */
	countOf(item: BatchItemId): number {
		return this.#byItem.get(item)?.size ?? 0;
	}

	/** What this process's peers are to be told; nothing while nothing has failed of late. */
	announcement(): readonly FailedRun[] | undefined {
		const since = this.#parts.clock.now() - tellMs;
		this.#told = this.#told.filter(({at}) => at > since);
		return this.#told.length > 0 ? this.#told.map(({run, item, replica}) => ({run, item, replica})) : undefined;
	}

	#take(failed: FailedRun) {
		const known = this.#byItem.get(failed.item);
		if (known?.has(failed.run)) {
			return;
		}

		this.#byItem.delete(failed.item);
		this.#byItem.set(failed.item, new Map([...known ?? [], [failed.run, failed]]));
		this.#forgetOldest();
	}

	#forgetOldest() {
		const [oldest] = this.#byItem.keys();
		if (this.#byItem.size > maxItems && oldest !== undefined) {
			this.#byItem.delete(oldest);
		}
	}
}
