/**
Answers requests about batch jobs at any process. A job that is not in this process's index may still exist, so the object API is read before the job is reported as unknown, and then keepers are asked, which may hold it; if it cannot be read, or a keeper may hold the job, the answer is `unsure`.
*/
import {Buffer} from 'node:buffer';
import {errorOf} from '../../common/error-of.js';
import type {
	Clock, EventLog, ObjectApi,
} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {HeldJobSearch} from '../keeping/held-job-search.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchItemId, BatchJobId, CallerIdentity} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';
import {recordNames, type EndRecord, type ItemResult} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import {resultBytes, ResultStore} from './result-store.js';

/** Why a request has no answer. */
export type JobReadError = 'unknown' | 'unsure';

/** Results from a position on. */
export type ResultsPage = {
	readonly total: number;
	readonly next: number;
	readonly results: readonly ItemResult[];
};

/** A request for results. */
export type ResultsRequest = {
	readonly job: BatchJobId;
	/** The first position, counted from 0. */
	readonly after: number;
	/** Milliseconds that the caller is willing to wait for the first result. */
	readonly waitMs: number;
};

/** Dependencies of the reader. */
export type ReaderParts = {
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly jobIndex: JobIndex;
	readonly contents: ContentStore;
	readonly heldJobSearch: Pick<HeldJobSearch, 'mayBeHeld'>;
	readonly clock: Clock;
	readonly log: EventLog;
	/** When the records were last confirmed to be current, by this process or a peer, in milliseconds on the monotonic clock. */
	readonly confirmedAt: () => number;
};

/** The maximum size of an answer, in bytes of JSON; it holds one result at least. */
const maxPageBytes = 900_000;

/** If the records have not been confirmed for this long, in milliseconds, another process may have returned results that are not cached here. */
const maxCacheAgeMs = 950;

/** A record of a job's end that could not be written is retried for this long, in milliseconds, even though the caller was told that the end is uncertain. */
const endWriteTimeoutMs = 20_000;

const endRetryDelayMs = 300;

/** See the module's head. */
export class JobReader {
	readonly #parts: ReaderParts;
	readonly #resultStore: ResultStore;

	constructor(parts: ReaderParts) {
		this.#parts = parts;
		this.#resultStore = new ResultStore(parts.contents);
	}

	/** @param caller - The caller, if there are accounts; jobs of other accounts are unknown to it. */
	async results({job, after, waitMs}: ResultsRequest, caller?: CallerIdentity): Promise<ResultsPage | JobReadError> {
		const found = await this.#find(job, caller);
		if (typeof found === 'string') {
			return found;
		}

		const {jobIndex, feed} = this.#parts;
		const current = () => jobIndex.job(job);
		if (after > found.results.length && !(await feed.ensureLoaded(() => (current()?.results.length ?? 0) >= after))) {
			// Another process has returned results up to that position to the caller.
			return 'unsure';
		}

		const isAnswerable = () => (current()?.results.length ?? 0) > after || current()?.isOpen !== true;
		await jobIndex.waitUntil(job, isAnswerable, waitMs);
		if (!isAnswerable() && !(await this.#isCacheFresh())) {
			return 'unsure';
		}

		const entry = current();
		return entry ? this.#page(entry, after) : 'unknown';
	}

	/** @returns The body with which the item is sent. */
	async body({job, item}: {readonly job: BatchJobId; readonly item: BatchItemId}, caller?: CallerIdentity): Promise<Buffer | JobReadError> {
		const found = await this.#find(job, caller);
		if (typeof found === 'string') {
			return found;
		}

		if (!found.has(item)) {
			return 'unknown';
		}

		const read = await this.#parts.contents.read('items', found.record.content);
		return read.caseOf<Buffer | JobReadError>({
			Left: () => 'unsure',
			Right: ({items}) => Buffer.from(items.find(({id}) => id === item)?.body ?? '', 'base64'),
		});
	}

	/** Ends a job. */
	async end(job: BatchJobId, caller?: CallerIdentity): Promise<'ended' | JobReadError> {
		const found = await this.#find(job, caller);
		const outcome = typeof found === 'string' ? found : await this.#end(job);
		this.#parts.log.emit(gatewayEvents.jobEnded, {id: job, outcome});
		return outcome;
	}

	/** Reads the contents of as many results as an answer may hold; the answer ends before the first one that cannot be read. */
	async #page({results, record}: BatchJob, after: number): Promise<ResultsPage | JobReadError> {
		const page: ItemResult[] = [];
		const available = results.slice(after);
		let bytes = 0;
		for (const {id, content} of available) {
			const result = await this.#resultStore.read(content, id);
			bytes += result ? resultBytes(result) : 0;
			if (!result || (page.length > 0 && bytes > maxPageBytes)) {
				break;
			}

			page.push(result);
		}

		return available.length > 0 && page.length === 0
			? 'unsure'
			: {total: record.items.length, next: Math.min(after, results.length) + page.length, results: page};
	}

	async #end(job: BatchJobId): Promise<'ended' | JobReadError> {
		// The job stops at once: its caller gains nothing from runs while the record is still to be written.
		this.#parts.jobIndex.requestEnd(job);
		if (await this.#writeEnd(job)) {
			return 'ended';
		}

		void this.#retryWritingEnd(job);
		return 'unsure';
	}

	async #writeEnd(job: BatchJobId): Promise<boolean> {
		const record: EndRecord = {type: 'end', job};
		const created = await this.#parts.api.create('BatchRecord', recordNames.end(job), record);
		return created.isRight() || errorOf(created)?.kind === 'conflict';
	}

	async #retryWritingEnd(job: BatchJobId): Promise<void> {
		const {clock} = this.#parts;
		const startedAt = clock.now();
		let isWritten = false;
		while (!isWritten && clock.now() - startedAt < endWriteTimeoutMs) {
			await clock.sleep(endRetryDelayMs);
			isWritten = await this.#writeEnd(job);
		}

		this.#parts.log.emit(gatewayEvents.jobEnded, {id: job, outcome: isWritten ? 'written later' : 'not written'});
	}

	async #find(id: BatchJobId, caller: CallerIdentity | undefined): Promise<BatchJob | JobReadError> {
		const found = await this.#findAny(id);
		return typeof found === 'string' || !caller || found.isAccessibleTo(caller.account) ? found : 'unknown';
	}

	async #findAny(id: BatchJobId): Promise<BatchJob | JobReadError> {
		const {
			api, jobIndex, feed, heldJobSearch,
		} = this.#parts;
		const indexed = admitted(jobIndex.job(id));
		if (indexed) {
			return indexed;
		}

		const read = await api.get('BatchRecord', recordNames.job(id));
		if (read.isLeft()) {
			return errorOf(read)?.kind === 'notFound' && !(await heldJobSearch.mayBeHeld(id)) ? 'unknown' : 'unsure';
		}

		// A record that was not admitted is about to be removed, or replaced by the record of a job that keepers hold.
		await feed.ensureLoaded(() => jobIndex.job(id) !== undefined);
		return admitted(jobIndex.job(id)) ?? 'unsure';
	}

	async #isCacheFresh(): Promise<boolean> {
		const {feed, clock, confirmedAt} = this.#parts;
		return clock.now() - confirmedAt() < maxCacheAgeMs || feed.sync();
	}
}

const admitted = (job: BatchJob | undefined): BatchJob | undefined => job?.isAdmitted ? job : undefined;
