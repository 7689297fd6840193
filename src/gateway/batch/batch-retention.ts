/**
Removes the records and contents of batch jobs whose retention time is over. A job's own record is first replaced by one that lists what is to be removed, and is removed last: a process that reads the records meanwhile neither takes the job for one without results, nor loses sight of what is left.
*/
import {errorOf} from '../../common/error-of.js';
import {rankMembers} from '../../common/rendezvous.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {BatchJobId, MemberName} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';
import {abandonedAfterMs, recordNames, type RemovalRecord} from './batch-records.js';

/** Dependencies and settings of the retention. */
export type RetentionParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly jobIndex: JobIndex;
	readonly peers: PeerTable;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds after its submission during which a finished job can be read. */
	readonly resultRetentionMs: number;
};

/** The interval between sweeps, in milliseconds; a job that stays some seconds longer costs nothing. */
const sweepIntervalMs = 10_000;

/** The wall clocks of two processes may differ by this much, in milliseconds. */
const maxClockSkewMs = 5000;

/** What belongs to a job, without its own record. */
const removalOf = (job: BatchJob): RemovalRecord => ({
	type: 'removal',
	job: job.id,
	contents: [...job.pageContents, ...job.handoverContents, job.record.content],
	records: [
		...Array.from({length: job.pageCount}, (_, number) => recordNames.page(job.id, number)),
		...job.handoverRecords,
		...(job.hasEnded ? [recordNames.end(job.id)] : []),
	],
});

/** See the module's head. */
export class BatchRetention implements Disposable {
	readonly #parts: RetentionParts;
	#timer: NodeJS.Timeout | undefined;
	#isSweeping = false;

	constructor(parts: RetentionParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.removeExpired();
		}, sweepIntervalMs);
	}

	/** Removes the expired jobs for which this process ranks first. */
	async removeExpired(): Promise<void> {
		if (this.#isSweeping) {
			return;
		}

		this.#isSweeping = true;
		const {jobIndex} = this.#parts;
		for (const removal of jobIndex.removals.filter(({job}) => this.#isAssigned(job))) {
			await this.#remove(removal);
		}

		for (const job of [...jobIndex.all].filter(one => this.#isAbandoned(one) && this.#isAssigned(one.id))) {
			await this.#removeRefused(job);
		}

		const lastRefused = [...jobIndex.all].reduce((last, {isAdmitted, revision}) => isAdmitted ? last : Math.max(last, revision), 0);
		for (const job of [...jobIndex.all].filter(one => this.#isExpired(one) && this.#isAssigned(one.id))) {
			// A later job that was not admitted would be found to fit by a process that reads the records without this one.
			if (job.isAdmitted && job.revision > lastRefused) {
				await this.#beginRemoval(job);
			}
		}

		this.#isSweeping = false;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#isExpired(job: BatchJob): boolean {
		const {clock, resultRetentionMs} = this.#parts;
		return !job.isOpen && clock.wall() > job.record.submittedAt + resultRetentionMs + maxClockSkewMs;
	}

	/** A job that was not admitted is removed by the process that refused it, within seconds. */
	#isAbandoned({isAdmitted, record}: BatchJob): boolean {
		return !isAdmitted && this.#parts.clock.wall() > record.submittedAt + abandonedAfterMs + maxClockSkewMs;
	}

	#isAssigned(id: BatchJobId): boolean {
		const {self, peers} = this.#parts;
		return rankMembers(id, [self, ...peers.live.map(({state}) => state.member)])[0] === self;
	}

	async #removeRefused({id, revision, record}: BatchJob): Promise<void> {
		const {api, log} = this.#parts;
		const removed = await api.remove('BatchRecord', recordNames.job(id), revision);
		if (removed.isRight()) {
			await api.remove('BatchContent', record.content);
			log.emit(gatewayEvents.jobRemoved, {job: id, reason: 'it was not admitted'});
		}
	}

	/** The job is gone for all processes from here on; what is left is removed by whichever ranks first. */
	async #beginRemoval(job: BatchJob): Promise<void> {
		const removal = removalOf(job);
		const replaced = await this.#parts.api.update('BatchRecord', recordNames.job(job.id), removal, job.revision);
		if (replaced.isRight()) {
			await this.#remove(removal);
		}
	}

	/** An object that does not exist was removed by another process before. Any other failure ends this attempt; the next sweep continues. */
	async #remove({job, contents, records}: RemovalRecord): Promise<void> {
		const {api, log} = this.#parts;
		const objects = [
			...contents.map(name => ({kind: 'BatchContent', name} as const)),
			...[...records, recordNames.job(job)].map(name => ({kind: 'BatchRecord', name} as const)),
		];
		for (const {kind, name} of objects) {
			const removed = await api.remove(kind, name);
			const err = errorOf(removed);
			if (err && err.kind !== 'notFound') {
				return;
			}
		}

		log.emit(gatewayEvents.jobRemoved, {job});
	}
}
