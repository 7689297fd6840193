/**
Holds jobs, on a keeper's disk or in the memory of the front that accepted them, and writes them to the object API once it is available. Records are only ever created, so each keeper that holds a copy may write it, in any order and more than once.
*/
import {errorOf} from '../../common/error-of.js';
import {jsonBytes} from '../../common/json-size.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import {
	abandonedAfterMs, readRecord, recordNames, type JobRecord,
} from '../batch/batch-records.js';
import {gatewayEvents} from '../log-events.js';
import type {BatchJobId} from '../types.js';
import type {HeldJob, HoldAnswer} from './held-job.js';
import type {JobJournal} from './job-journal.js';

/** Dependencies of the holder. */
export type HeldJobsParts = {
	readonly journal: Pick<JobJournal, 'load' | 'hold' | 'remove'>;
	/** The most that is held, in bytes of JSON; further jobs are left to the others that hold them. Unlimited by default. */
	readonly maxBytes?: number;
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** While the object API is unavailable, milliseconds until the next attempt: every process must receive the jobs about a second after it is available again. */
const retryDelayMs = 300;

/** A job is known for this long after it was written, in milliseconds: whoever asks may have read the object API just before. */
const knownAfterWrittenMs = 10_000;

/** `waits`: another record of the job exists, and it is not certain yet that it stays; or the object API refuses the job for good, which an operator has to see to. */
type WriteOutcome = 'stands' | 'waits' | 'away';

/** See the module's head. */
export class HeldJobs implements Disposable {
	readonly #parts: HeldJobsParts;
	readonly #jobs = new Map<string, HeldJob>();
	/** When another record of the job was first found, in milliseconds on the monotonic clock, by content. */
	readonly #blockedSince = new Map<string, number>();
	/** Contents of jobs that the object API has refused. */
	readonly #refused = new Set<string>();
	/** When jobs were written, in milliseconds on the monotonic clock, oldest first. */
	readonly #writtenAt = new Map<BatchJobId, number>();
	/** Bytes of JSON that are held, if they are limited. */
	#bytes = 0;
	#isDisposed = false;
	#isWriting = false;
	/** Whether all files of the journal could be read. */
	#isComplete = true;

	constructor(parts: HeldJobsParts) {
		this.#parts = parts;
	}

	get size(): number {
		return this.#jobs.size;
	}

	/** Loads the jobs that were held before the process started, and begins to write them. */
	async start(): Promise<void> {
		const {journal, log} = this.#parts;
		const {jobs, failures} = await journal.load();
		this.#isComplete = failures.length === 0;
		failures.forEach(reason => {
			log.emit(gatewayEvents.heldJobUnreadable, {reason});
		});
		jobs.forEach(job => {
			this.add(job);
		});
	}

	/** Writes a job to the disk and holds it. */
	async hold(job: HeldJob): Promise<HoldAnswer> {
		const {journal, log} = this.#parts;
		const {job: id, items} = job.record;
		const written = await journal.hold(job);
		return written.caseOf<HoldAnswer>({
			Left({isGone, reason}) {
				log.emit(gatewayEvents.jobHoldFailed, {id, isGone, reason});
				return isGone ? 'refused' : 'uncertain';
			},
			Right: () => {
				log.emit(gatewayEvents.jobHeld, {id, items: items.length});
				this.add(job);
				return 'held';
			},
		});
	}

	/** Holds a job that is on a disk already: this process's, or others'. */
	add(job: HeldJob): void {
		const bytes = this.#bytes + this.#sizeOf(job);
		if (bytes > (this.#parts.maxBytes ?? Infinity)) {
			return;
		}

		this.#bytes = bytes;
		this.#jobs.set(job.record.content, job);
		if (!this.#isWriting) {
			this.#isWriting = true;
			void this.#writeAll();
		}
	}

	/** Whether the job is held, or was written just now, or may be in a file that could not be read. */
	knows(id: BatchJobId): boolean {
		this.#forgetWritten();
		return !this.#isComplete || this.#writtenAt.has(id) || [...this.#jobs.values()].some(({record}) => record.job === id);
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	#forgetWritten() {
		const since = this.#parts.clock.now() - knownAfterWrittenMs;
		[...this.#writtenAt].filter(([, at]) => at < since).forEach(([id]) => {
			this.#writtenAt.delete(id);
		});
	}

	#sizeOf({content}: HeldJob): number {
		return this.#parts.maxBytes === undefined ? 0 : jsonBytes(content);
	}

	async #writeAll() {
		while (!this.#isDisposed && this.#jobs.size > 0) {
			await this.#writeRound();
			if (this.#jobs.size > 0) {
				await this.#parts.clock.sleep(retryDelayMs);
			}
		}

		this.#isWriting = false;
	}

	/** Stops at the first job that the object API does not accept: it is unavailable, and each attempt costs a call. */
	async #writeRound() {
		for (const job of this.#jobs.values()) {
			const outcome = await this.#write(job);
			if (outcome === 'away' || this.#isDisposed) {
				return;
			}

			if (outcome === 'stands') {
				await this.#removeWritten(job);
			}
		}
	}

	async #write({record, content}: HeldJob): Promise<WriteOutcome> {
		const {api} = this.#parts;
		const err = errorOf(await api.create('BatchContent', record.content, content));
		if (err?.kind === 'tooLarge') {
			this.#noteRefused(record);
			return 'waits';
		}

		if (err && err.kind !== 'conflict') {
			return 'away';
		}

		const created = await api.create('BatchRecord', recordNames.job(record.job), record);
		if (created.isRight()) {
			return 'stands';
		}

		return errorOf(created)?.kind === 'conflict' ? this.#checkExisting(record) : 'away';
	}

	/** Logged once: the job stays on the disk, and delays no other. */
	#noteRefused({job, content}: JobRecord) {
		if (!this.#refused.has(content)) {
			this.#refused.add(content);
			this.#parts.log.emit(gatewayEvents.heldJobRefused, {id: job, reason: 'too large'});
		}
	}

	/**
	Another record of the job exists. One that belongs to the same acceptance, or was written as roomy, stays. For any other, the process that wrote it may have found the job too large; it then removes the record within two seconds and reports this to its caller. The job that is held here was accepted, and would be lost if the other record were taken for it.
	*/
	async #checkExisting(record: JobRecord): Promise<WriteOutcome> {
		const {api, clock} = this.#parts;
		const found = await api.get('BatchRecord', recordNames.job(record.job));
		const existing = found.map(({value}) => readRecord(value)).toMaybe().extract();
		if (found.isLeft() || existing?.type !== 'job') {
			return errorOf(found)?.kind === 'notFound' ? 'waits' : 'away';
		}

		if (existing.content === record.content || existing.isRoomy || await this.#hasStarted(record.job)) {
			return 'stands';
		}

		const since = this.#blockedSince.get(record.content) ?? clock.now();
		this.#blockedSince.set(record.content, since);
		if (clock.now() - since > abandonedAfterMs) {
			// Its writer terminated before it removed the record. A job without a result can start from the beginning.
			await api.remove('BatchRecord', recordNames.job(record.job), found.unsafeCoerce().version);
		}

		return 'waits';
	}

	/** Only admitted jobs have results, or an end that was reported to a caller. */
	async #hasStarted(job: BatchJobId): Promise<boolean> {
		const {api} = this.#parts;
		const found = await Promise.all([recordNames.page(job, 0), recordNames.end(job)].map(async name => api.get('BatchRecord', name)));
		return found.some(outcome => outcome.isRight());
	}

	async #removeWritten(job: HeldJob) {
		const {journal, log} = this.#parts;
		const {record} = job;
		await journal.remove(job).catch((err: unknown) => {
			// After a restart it will be written once more, and found to exist.
			log.emit(gatewayEvents.heldJobRemovalFailed, {id: record.job, reason: String(err)});
		});
		this.#forgetWritten();
		this.#writtenAt.set(record.job, this.#parts.clock.now());
		this.#jobs.delete(record.content);
		this.#bytes -= this.#sizeOf(job);
		this.#blockedSince.delete(record.content);
		log.emit(gatewayEvents.heldJobWritten, {id: record.job});
	}
}
