/**
Writes what lasts of a new batch job: its content, then the record that names it. The writer tells apart what its caller must know before it promises anything: whether the record is certainly this process's own, whether it may still come to stand, and whether it certainly will not.
*/
import type {Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {Clock, ObjectApi} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import {recordNames, type BatchItem, type JobRecord} from './batch-records.js';
import type {ContentStore} from './content-store.js';

/**
What came of a write. `created`: the record stands, and this write made it. `found`: a record of the job stood already, an earlier try's of this process or another process's. `away`: nothing of the job stands or will. `uncertain`: its record may stand, or come to stand.
*/
export type JobWriteOutcome = 'created' | 'found' | 'away' | 'tooLarge' | 'uncertain';

/** See {@link JobWriteOutcome}. */
export type JobWriteResult = {
	readonly outcome: JobWriteOutcome;
	/** Whether a try went unanswered. The object API may carry it out seconds later, also after the record was removed again. */
	readonly hasUnansweredAttempt: boolean;
};

/** What writing needs. */
export type JobWriterParts = {
	readonly api: ObjectApi;
	readonly contents: ContentStore;
	readonly clock: Clock;
};

/** For how long a write is tried, in milliseconds: callers wait a few seconds, and must have time left to try elsewhere. */
const writeLimitMs = 1500;

/** As long as no try can have taken effect, a refusal is certain and may be told sooner, in milliseconds. */
const certainLimitMs = writeLimitMs / 3;

/** Between two tries, in milliseconds. */
const retryMs = 100;

const isFinal = ({kind}: ApiError): boolean => kind === 'conflict' || kind === 'tooLarge';

/** See the module's head. */
export class JobWriter {
	readonly #parts: JobWriterParts;

	constructor(parts: JobWriterParts) {
		this.#parts = parts;
	}

	/** The content stands before the record that names it; alone it means nothing. */
	async write(record: JobRecord, items: readonly BatchItem[]): Promise<JobWriteResult> {
		const {api, contents} = this.#parts;
		const content = await this.#tryFor(async () => contents.write(record.content, {type: 'items', items}));
		if (content.outcome !== 'created') {
			return {outcome: content.outcome === 'tooLarge' ? 'tooLarge' : 'away', hasUnansweredAttempt: false};
		}

		return this.#tryFor(async () => api.create('BatchRecord', recordNames.job(record.job), record));
	}

	async #tryFor(write: () => Promise<Either<ApiError, unknown>>): Promise<JobWriteResult> {
		const {clock} = this.#parts;
		const startedAt = clock.now();
		let hasUnansweredAttempt = false;
		while (clock.now() - startedAt < (hasUnansweredAttempt ? writeLimitMs : certainLimitMs)) {
			const err = errorOf(await write());
			if (!err || isFinal(err)) {
				return {outcome: finalOutcome(err), hasUnansweredAttempt};
			}

			hasUnansweredAttempt ||= err.kind === 'unknown';
			await clock.sleep(retryMs);
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
