/**
Writes the status of one job, by conditional updates, sparingly: at first every two seconds, later less often the longer the job has run, so that thousands of jobs at once stay within the object API's rate.
*/
import {terminalStates, type JobStatus} from '../common/batch-types.js';
import type {Revision} from '../common/ids.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {ApiError, StoredObject} from '../common/types.js';

const minIntervalMs = 2000;
const maxIntervalMs = 60_000;
// A status is at most this share of the job's age old.
const ageShare = 0.05;

const compared = (status: JobStatus) => JSON.stringify({...status, estimatedEndAt: undefined});

/** Remembers what was written last, and when. */
export class JobStatusWriter {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	#version: Revision | undefined;
	#last = '';
	#writtenAt = Number.NEGATIVE_INFINITY;

	/** @param version - The version of the status that is there; undefined when there is none. */
	constructor(api: ObjectApi, clock: Clock, version: Revision | undefined) {
		this.#api = api;
		this.#clock = clock;
		this.#version = version;
	}

	/** @param startedAt - When the job was begun, seconds since 1970. */
	isDue(startedAt: number): boolean {
		const ageMs = this.#clock.wall() - (startedAt * 1000);
		const intervalMs = Math.min(maxIntervalMs, Math.max(minIntervalMs, ageMs * ageShare));
		return this.#clock.now() - this.#writtenAt >= intervalMs;
	}

	/**
	Writes a status unless it says nothing new.

	@returns True when this status, or a final one, stands.
	*/
	async write(status: JobStatus): Promise<boolean> {
		const text = compared(status);
		if (text === this.#last) {
			return true;
		}

		const written = this.#version === undefined
			? await this.#api.create('JobStatus', status.jobId, status)
			: await this.#api.update('JobStatus', status.jobId, status, this.#version);
		if (written.isLeft()) {
			return this.#failed(written.extract(), status);
		}

		this.#version = (written.extract() as StoredObject).version;
		this.#last = text;
		this.#writtenAt = this.#clock.now();
		return true;
	}

	// After an unknown outcome the next write conflicts with what took effect, and comes here as a conflict.
	async #failed(err: ApiError, status: JobStatus): Promise<boolean> {
		if (err.kind !== 'conflict') {
			return false;
		}

		const current = await this.#current(err, status);
		if (!current) {
			this.#version = undefined;
			return false;
		}

		// A status that is final, or of a later holder of the lease, stands: a paused coordinator must not bring an old one back.
		const isOfThisJob = current.value.jobCreatedTime === undefined || current.value.jobCreatedTime === status.jobCreatedTime;
		if (isOfThisJob && terminalStates.has(current.value.state)) {
			return true;
		}

		const isNewer = isOfThisJob && current.value.fence > status.fence;
		this.#version = isNewer ? this.#version : current.version;
		return false;
	}

	async #current(err: Extract<ApiError, {kind: 'conflict'}>, status: JobStatus): Promise<StoredObject<JobStatus> | undefined> {
		if (err.current) {
			return err.current as StoredObject<JobStatus>;
		}

		const read = await this.#api.get<JobStatus>('JobStatus', status.jobId);
		return read.toMaybe().extract();
	}
}
