/**
The jobs that a keeper holds for the object API, and their way there. Records are only ever created, so each keeper that holds a copy may write it, in any order and more than once.
*/
import {errorOf} from '../../common/error-of.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import {recordNames} from '../batch/batch-records.js';
import {gatewayEvents} from '../log-events.js';
import type {HeldJob} from './held-job.js';
import type {JobJournal} from './job-journal.js';

/** What holding needs. */
export type HeldJobsParts = {
	readonly journal: JobJournal;
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** While the object API is away, milliseconds until the next try: jobs must be known everywhere about a second after its return. */
const retryMs = 300;

/** See the module's head. */
export class HeldJobs implements Disposable {
	readonly #parts: HeldJobsParts;
	readonly #jobs = new Map<string, HeldJob>();
	#isDisposed = false;
	#isWriting = false;

	constructor(parts: HeldJobsParts) {
		this.#parts = parts;
	}

	get size(): number {
		return this.#jobs.size;
	}

	/** Takes up what was held before the process started. */
	async start(): Promise<void> {
		const jobs = await this.#parts.journal.load();
		jobs.forEach(job => {
			this.#take(job);
		});
	}

	/** @returns Whether the job is on the disk now. */
	async hold(job: HeldJob): Promise<boolean> {
		const {journal, log} = this.#parts;
		const {job: id} = job.record;
		try {
			await journal.hold(job);
		} catch (err) {
			log.emit(gatewayEvents.jobNotHeld, {id, reason: String(err)});
			return false;
		}

		log.emit(gatewayEvents.jobHeld, {id, items: job.record.items.length});
		this.#take(job);
		return true;
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	#take(job: HeldJob) {
		this.#jobs.set(job.record.content, job);
		if (!this.#isWriting) {
			this.#isWriting = true;
			void this.#writeAll();
		}
	}

	async #writeAll() {
		while (!this.#isDisposed && this.#jobs.size > 0) {
			const [job] = this.#jobs.values();
			const isWritten = await this.#write(job!);
			if (!isWritten) {
				await this.#parts.clock.sleep(retryMs);
			}
		}

		this.#isWriting = false;
	}

	async #write(job: HeldJob): Promise<boolean> {
		const {api, journal, log} = this.#parts;
		const {record, content} = job;
		const written = await api.create('BatchContent', record.content, content);
		const isContentThere = written.isRight() || errorOf(written)?.kind === 'conflict';
		const created = isContentThere ? await api.create('BatchRecord', recordNames.job(record.job), record) : written;
		const isThere = created.isRight() || errorOf(created)?.kind === 'conflict';
		if (!isThere) {
			return false;
		}

		await journal.drop(job).catch((err: unknown) => {
			// It will be written once more after a restart, and found to stand there.
			log.emit(gatewayEvents.jobNotHeld, {id: record.job, reason: `not dropped: ${String(err)}`});
		});
		this.#jobs.delete(record.content);
		log.emit(gatewayEvents.heldJobWritten, {id: record.job});
		return true;
	}
}
