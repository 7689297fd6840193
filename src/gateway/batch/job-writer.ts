/**
Writes the stored objects of a new batch job: its content, then the record that names it. The outcome tells the caller what it may promise: whether the record is certainly this process's own, whether it may still appear, and whether it certainly will not.
*/
import type {Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {Clock, ObjectApi} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import {recordNames, type BatchItem, type JobRecord} from './batch-records.js';
import type {ContentStore} from './content-store.js';

/**
The outcome of a write. `created`: this write created the record. `found`: a record of the job existed already, from an earlier attempt of this process or from another process. `away`: no record of the job exists or will appear. `uncertain`: its record may exist, or appear later.
*/
export type JobWriteOutcome = 'created' | 'found' | 'away' | 'tooLarge' | 'uncertain';

/** See {@link JobWriteOutcome}. */
export type JobWriteResult = {
	readonly outcome: JobWriteOutcome;
	/** Whether an attempt went unanswered. The object API may carry it out seconds later, even after the record was removed again. */
	readonly hasUnansweredAttempt: boolean;
};

/** Dependencies of the writer. */
export type JobWriterParts = {
	readonly api: ObjectApi;
	readonly contents: ContentStore;
	readonly clock: Clock;
};

/** A write is retried for this long, in milliseconds: callers wait a few seconds, and must have time left to try elsewhere. */
const writeTimeoutMs = 1500;

/** As long as no attempt can have taken effect, a refusal is certain and may be reported after this shorter time, in milliseconds. */
const certainTimeoutMs = writeTimeoutMs / 3;

/** The delay between two attempts, in milliseconds. */
const retryDelayMs = 100;

const isFinal = ({kind}: ApiError): boolean => kind === 'conflict' || kind === 'tooLarge';

/** See the module's head. */
export class JobWriter {
	readonly #parts: JobWriterParts;

	constructor(parts: JobWriterParts) {
		this.#parts = parts;
	}

	/** Writes the content before the record that names it; without the record the content has no effect. */
	async write(record: JobRecord, items: readonly BatchItem[]): Promise<JobWriteResult> {
		const {api, contents} = this.#parts;
		const content = await this.#retry(async () => contents.write(record.content, {type: 'items', items}));
		if (content.outcome !== 'created') {
			return {outcome: content.outcome === 'tooLarge' ? 'tooLarge' : 'away', hasUnansweredAttempt: false};
		}

		return this.#retry(async () => api.create('BatchRecord', recordNames.job(record.job), record));
	}

	async #retry(write: () => Promise<Either<ApiError, unknown>>): Promise<JobWriteResult> {
		const {clock} = this.#parts;
		const startedAt = clock.now();
		let hasUnansweredAttempt = false;
		while (clock.now() - startedAt < (hasUnansweredAttempt ? writeTimeoutMs : certainTimeoutMs)) {
			const err = errorOf(await write());
			if (!err || isFinal(err)) {
				return {outcome: finalOutcome(err), hasUnansweredAttempt};
			}

			hasUnansweredAttempt ||= err.kind === 'unknown';
			await clock.sleep(retryDelayMs);
		}

		return {outcome: hasUnansweredAttempt ? 'uncertain' : 'away', hasUnansweredAttempt};
	}
}

const finalOutcome = (err: ApiError | undefined): JobWriteOutcome => {
	if (!err) {
		return 'created';
	}

	return err.kind === 'conflict' ? 'found' : 'tooLarge';
};
