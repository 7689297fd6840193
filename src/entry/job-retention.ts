/**
Removes the objects of jobs that ended long ago: results, parts of results, then the job and last its status. The holder of the jobs' shard does it, slowly, so that removals stay a small part of the object API's rate.

The order matters. A sweep that is broken off goes on from the status, which is removed last. A job that a client submits again after its old resource is gone is a new one: the old status names the time its job was created, and is passed over. One that is submitted while the removal goes on has the same id: only what was there before the job was looked at is removed, and only as it was then.
*/
import type {BatchJob} from '../../typings/resources.js';
import {terminalStates, isStatusOfJob, type JobStatus} from '../common/batch-types.js';
import {branded, type JobId} from '../common/ids.js';
import {resourceFault} from '../common/resource-check.js';
import type {Clock, EventLog, ObjectApi} from '../common/services.js';
import type {
	ApiError, ObjectKind, ObjectPage, StoredObject,
} from '../common/types.js';
import {batchEvents} from './batch-log-events.js';

/** What the clean-up needs. */
export type RetentionParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
	/** How long ended jobs are kept. */
	readonly retentionMs: number;
	/** Pause between two removals. */
	readonly removalPauseMs: number;
};

const pageSize = 500;

/** Sweeps one shard at a time. */
export class JobRetention {
	readonly #parts: RetentionParts;

	constructor(parts: RetentionParts) {
		this.#parts = parts;
	}

	/**
	Removes what is due in a shard.

	@param mayGoOn - False once the shard's lease is no longer held.
	@returns Jobs removed.
	*/
	async sweep(shard: string, mayGoOn: () => boolean): Promise<number> {
		let removed = 0;
		let after: string | undefined;
		let more = true;
		while (more && mayGoOn()) {
			const read = await this.#parts.api.list<JobStatus>('JobStatus', {prefix: `batch_${shard}`, after, limit: pageSize});
			if (read.isLeft()) {
				return removed;
			}

			const page = read.extract() as ObjectPage<JobStatus>;
			const due = page.items.filter(({value}) => this.#isDue(value));
			for (const status of due) {
				removed += await this.#removeJob(status, mayGoOn) ? 1 : 0;
			}

			after = page.items.at(-1)?.name;
			more = page.more;
		}

		return removed;
	}

	#isDue({state, endedAt}: JobStatus): boolean {
		return terminalStates.has(state) && endedAt !== undefined && this.#parts.clock.wall() - (endedAt * 1000) >= this.#parts.retentionMs;
	}

	async #removeJob(status: StoredObject<JobStatus>, mayGoOn: () => boolean): Promise<boolean> {
		const jobId = branded<JobId>(status.name);
		// Listed before the job is looked at: what is there by then is not of a job that is sent later, while the removal goes on.
		const results = await this.#listAll(['ResultPart', 'Result'], `${jobId}/`);
		const job = results && await this.#jobOf(jobId, status.value);
		if (!job) {
			return false;
		}

		const isGone = await this.#removeAll([...results, ...job, status], mayGoOn);
		if (isGone) {
			this.#parts.log.emit(batchEvents.jobRemoved, {jobId});
		}

		return isGone;
	}

	/** The job that the status speaks of, none where it is gone; undefined when it must not be removed. It may have been cleaned away and submitted anew under its key, with this status still that of the old one. */
	async #jobOf(jobId: JobId, status: JobStatus): Promise<readonly StoredObject[] | undefined> {
		const read = await this.#parts.api.get<BatchJob>('BatchJob', jobId);
		return read.caseOf({
			Left: err => err.kind === 'notFound' ? [] : undefined,
			Right: job => resourceFault('BatchJob', jobId, job.value) !== undefined || isStatusOfJob(status, job.value.spec) ? [job] : undefined,
		});
	}

	async #listAll(kinds: readonly ObjectKind[], prefix: string): Promise<StoredObject[] | undefined> {
		const found: StoredObject[] = [];
		for (const kind of kinds) {
			let after: string | undefined;
			let more = true;
			while (more) {
				const read = await this.#parts.api.list(kind, {
					prefix, values: false, limit: pageSize, after,
				});
				if (read.isLeft()) {
					return undefined;
				}

				const page = read.extract() as ObjectPage;
				found.push(...page.items);
				after = page.items.at(-1)?.name;
				more = page.more;
			}
		}

		return found;
	}

	async #removeAll(objects: readonly StoredObject[], mayGoOn: () => boolean): Promise<boolean> {
		for (const object of objects) {
			if (!await this.#remove(object, mayGoOn)) {
				return false;
			}
		}

		return true;
	}

	// An object that was changed since, or made anew, is not the one that was looked at.
	async #remove({kind, name, version}: StoredObject, mayGoOn: () => boolean): Promise<boolean> {
		if (!mayGoOn()) {
			return false;
		}

		const removed = await this.#parts.api.remove(kind, name, version);
		await this.#parts.clock.sleep(this.#parts.removalPauseMs);
		return removed.isRight() || (removed.extract() as ApiError).kind === 'notFound';
	}
}
