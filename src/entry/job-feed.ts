/**
Follows the changes of batch jobs by one long poll of the object API, for all shards that this entry coordinates. An entry without a shard makes no call. Reading each shard's list every second, as was done before, cost sixteen lists a second whatever happened, and grew with the jobs that had ended.
*/
import type {BatchJob} from '../../typings/resources.js';
import {branded, type JobId, type Revision} from '../common/ids.js';
import {resourceFault} from '../common/resource-check.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../common/services.js';
import type {ApiError, WatchBatch, WatchEvent} from '../common/types.js';
import {batchEvents} from './batch-log-events.js';

/** What a feed needs. */
export type FeedParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
	/** How long one long poll waits. */
	readonly watchMs: number;
	/** Receives each change. */
	readonly onChange: (jobId: JobId, job: BatchJob | undefined, version: Revision) => void;
	/** Changes were missed: the jobs have to be listed again. */
	readonly onGap: () => void;
};

const idleMs = 200;
const retryMs = 500;

/** Watches while it has a version to watch from. */
export class JobFeed implements Disposable {
	readonly #parts: FeedParts;
	#since: Revision | undefined;
	#disposed = false;

	constructor(parts: FeedParts) {
		this.#parts = parts;
	}

	/** Follows from a version on, unless it already follows from an earlier one; changes that come twice are harmless. */
	followFrom(version: Revision): void {
		this.#since ??= version;
	}

	/** Stops watching until `followFrom` is called. */
	pause(): void {
		this.#since = undefined;
	}

	/** Watches for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await (this.#since === undefined ? this.#parts.clock.sleep(idleMs) : this.#watchOnce(this.#since));
		}
	}

	dispose(): void {
		this.#disposed = true;
	}

	async #watchOnce(since: Revision) {
		const {api, clock, watchMs} = this.#parts;
		const watched = await api.watch(['BatchJob'], since, watchMs);
		if (this.#disposed || this.#since === undefined) {
			return;
		}

		if (watched.isRight()) {
			this.#passOn(watched.extract());
			return;
		}

		if ((watched.extract() as ApiError).kind === 'expired') {
			this.#since = undefined;
			this.#parts.onGap();
		}

		await clock.sleep(retryMs);
	}

	#passOn({events, version}: WatchBatch) {
		events.filter(event => this.#isWellFormed(event)).forEach(event => {
			this.#parts.onChange(branded(event.name), event.value as BatchJob | undefined, event.version);
		});
		this.#since = version;
	}

	#isWellFormed({type, kind, name, version, value}: WatchEvent): boolean {
		const fault = type === 'put' ? resourceFault(kind, name, value) : undefined;
		if (fault !== undefined) {
			this.#parts.log.emit(batchEvents.jobRefused, {jobId: name, version, fault});
		}

		return fault === undefined;
	}
}
