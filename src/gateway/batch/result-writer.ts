/**
Writes the results of one job as pages. A page is created under the next number and never changed: if two processes have claimed a job at once, the first one to create a page decides, and the other continues after it without the results on that page.
*/
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import {errorOf} from '../../common/error-of.js';
import type {ApiError} from '../../common/types.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';
import {recordNames, type ItemResult, type PageRecord} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import {
	firstFitting, resultBytes, ResultStore, type StoredPage,
} from './result-store.js';

/** Dependencies of the writer. */
export type ResultWriterParts = {
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly jobIndex: JobIndex;
	readonly contents: ContentStore;
	readonly clock: Clock;
	readonly log: EventLog;
};

/**
Results are gathered for this share of the time that is left until they are due, within these bounds in milliseconds. Each page costs two calls of the object API, and the items of a job end within a second or two of each other; readers poll about twice a second, and nobody waits for a result that comes well before its due time.
*/
const gatherShare = 0.1;
const minGatherMs = 200;
const maxGatherMs = 800;

/** The delay after a page that could not be written, in milliseconds. */
const retryDelayMs = 200;

/** The maximum size of a page, in bytes of JSON; it holds one result at least. A larger one would take up a link for longer than readers wait. */
const maxPageBytes = 600_000;

/** The object API may accept less than its settings say. The size of pages is then halved, down to this many bytes. */
const minPageBytes = 8192;

/** A page that was written is received with the feed within this time, in milliseconds; after it the page is read explicitly. */
const feedTimeoutMs = 400;

/** See the module's head. */
export class ResultWriter implements Disposable {
	readonly #parts: ResultWriterParts;
	readonly #job: () => BatchJob | undefined;
	readonly #dueAt: (job: BatchJob) => number;
	readonly #pending = new Map<BatchItemId, ItemResult>();
	#writing: Promise<void> | undefined;
	readonly #resultStore: ResultStore;
	/** The name under which the next page is written, also if the write is repeated. */
	#nextContent: {readonly key: string; readonly name: string; stored?: StoredPage} | undefined;
	#pageBytes: number;
	#lastFailure: ApiError['kind'] | undefined;
	#endGathering: (() => void) | undefined;
	#isDisposed = false;
	#isFlushing = false;

	/**
	@param job - Returns the current state of the job in the index.
	@param dueAt - When a job's results are due, in milliseconds of the wall clock.
	*/
	constructor(parts: ResultWriterParts, job: () => BatchJob | undefined, dueAt: (job: BatchJob) => number) {
		this.#parts = parts;
		this.#job = job;
		this.#dueAt = dueAt;
		this.#resultStore = new ResultStore(parts.contents);
		this.#pageBytes = Math.min(maxPageBytes, parts.contents.maxBytes);
	}

	/** Whether an item has a result that is not committed yet. */
	has(item: BatchItemId): boolean {
		return this.#pending.has(item);
	}

	/** Results that are not committed yet. */
	get pending(): ItemResult[] {
		return [...this.#pending.values()];
	}

	/** Adds a result, which will be written soon. */
	add(result: ItemResult): void {
		this.#pending.set(result.id, result);
		if (this.#isGatheringOver()) {
			this.#endGathering?.();
		}

		this.#writing ??= this.#writeAll();
	}

	/** Writes the pending results without gathering more. Resolves when all are written, or after the time limit. */
	async flush(limitMs: number): Promise<void> {
		this.#isFlushing = true;
		this.#endGathering?.();
		await Promise.race([this.#writing, this.#parts.clock.sleep(limitMs)]);
	}

	/** Stops writing. */
	dispose(): void {
		this.#isDisposed = true;
	}

	async #writeAll() {
		const {clock} = this.#parts;
		if (!this.#isGatheringOver()) {
			await this.#gather();
		}

		while (!this.#isDisposed && this.#removeCommitted()) {
			const isWritten = await this.#writePage();
			if (!isWritten && !this.#isDisposed) {
				await clock.sleep(retryDelayMs);
			}
		}

		this.#writing = undefined;
	}

	/** Waits for more results. Ends early if no further result will come. */
	async #gather() {
		const gatheringOver = new Promise<void>(resolve => {
			this.#endGathering = resolve;
		});
		await Promise.race([gatheringOver, this.#parts.clock.sleep(this.#gatherMs())]);
		this.#endGathering = undefined;
	}

	#gatherMs(): number {
		const job = this.#job();
		const remainingMs = job ? this.#dueAt(job) - this.#parts.clock.wall() : 0;
		return Math.min(maxGatherMs, Math.max(minGatherMs, remainingMs * gatherShare));
	}

	/** Whether nothing is gained by gathering, since no further result will come or the process shuts down. */
	#isGatheringOver(): boolean {
		const job = this.#job();
		return this.#isFlushing || (job !== undefined && job.results.length + this.#pending.size >= job.record.items.length);
	}

	/** @returns Whether anything is left to write. */
	#removeCommitted(): boolean {
		const job = this.#job();
		if (!job?.isOpen) {
			this.#pending.clear();
			return false;
		}

		[...this.#pending.keys()].filter(id => job.isCommitted(id)).forEach(id => {
			this.#pending.delete(id);
		});
		return this.#pending.size > 0;
	}

	async #writePage(): Promise<boolean> {
		const {api, feed, jobIndex, log} = this.#parts;
		const job = this.#job();
		if (!job) {
			return true;
		}

		if (job.isHeld) {
			// Other processes do not have the job yet, and would ignore the page.
			return false;
		}

		const results = firstFitting(this.pending, this.#pageBytes);
		const stored = await this.#writeContent(job, results);
		if (!stored) {
			return false;
		}

		const {content, parts} = stored;
		const page: PageRecord = {
			type: 'page', job: job.id, number: job.pageCount, results: results.map(({id, state}) => ({id, state})), content, ...(parts.length > 0 && {parts}),
		};
		const created = await api.create('BatchRecord', recordNames.page(page.job, page.number), page);
		const err = errorOf(created);
		log.emit(gatewayEvents.resultsCommitted, {
			job: job.id, page: page.number, results: results.length, outcome: err?.kind ?? 'written',
		});
		if (err && err.kind !== 'conflict') {
			return false;
		}

		const isReceived = () => (this.#job()?.pageCount ?? Infinity) > page.number;
		await jobIndex.waitUntil(job.id, isReceived, feedTimeoutMs);
		return feed.ensureLoaded(isReceived);
	}

	/** @returns Where the results are stored, or nothing if they could not be written. Results that were written before are not written again. */
	async #writeContent({id: job, pageCount}: BatchJob, results: readonly ItemResult[]): Promise<StoredPage | undefined> {
		const key = results.map(({id}) => id).join(' ');
		if (this.#nextContent?.key !== key) {
			this.#nextContent = {key, name: this.#parts.contents.newName(job)};
		}

		const content = this.#nextContent;
		if (content.stored) {
			return content.stored;
		}

		const written = await this.#resultStore.write({job, name: content.name, results}, this.#pageBytes);
		const err = errorOf(written);
		if (err) {
			this.#noteFailure(err, {job, page: pageCount, results});
			return undefined;
		}

		this.#lastFailure = undefined;
		content.stored = written.unsafeCoerce();
		return content.stored;
	}

	/** Results that were too large once are refused each time, so the next page holds fewer. */
	#noteFailure({kind}: ApiError, {job, page, results}: {readonly job: BatchJobId; readonly page: number; readonly results: readonly ItemResult[]}) {
		if (kind !== this.#lastFailure) {
			this.#lastFailure = kind;
			this.#parts.log.emit(gatewayEvents.resultsCommitted, {
				job, page, results: results.length, bytes: results.reduce((sum, result) => sum + resultBytes(result), 0), outcome: kind,
			});
		}

		if (kind === 'tooLarge') {
			this.#pageBytes = Math.max(minPageBytes, Math.floor(this.#pageBytes / 2));
			this.#nextContent = undefined;
		}
	}
}
