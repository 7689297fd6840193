/**
Removes the records and contents of batch jobs whose retention time is over. A job's own record is removed last: while it exists, the next process finds what is still to be removed.
*/
import {errorOf} from '../../common/error-of.js';
import {rankMembers} from '../../common/rendezvous.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../../common/services.js';
import type {ObjectKind} from '../../common/types.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {MemberName} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';
import {recordNames} from './batch-records.js';

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

type Removal = {readonly kind: ObjectKind; readonly name: string};

/** All objects that belong to a job, its own record last. */
const removalsOf = (job: BatchJob): Removal[] => [
	...[...job.pageContents, ...job.handoverContents, job.record.content].map(name => ({kind: 'BatchContent' as const, name})),
	...Array.from({length: job.pageCount}, (_, number) => ({kind: 'BatchRecord' as const, name: recordNames.page(job.id, number)})),
	...job.handoverRecords.map(name => ({kind: 'BatchRecord' as const, name})),
	...(job.hasEnded ? [{kind: 'BatchRecord' as const, name: recordNames.end(job.id)}] : []),
	{kind: 'BatchRecord' as const, name: recordNames.job(job.id)},
];

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
		const expired = [...this.#parts.jobIndex.all].filter(job => this.#isExpired(job) && this.#isAssigned(job));
		for (const job of expired) {
			await this.#remove(job);
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

	#isAssigned({id}: BatchJob): boolean {
		const {self, peers} = this.#parts;
		return rankMembers(id, [self, ...peers.live.map(({state}) => state.member)])[0] === self;
	}

	/** An object that does not exist was removed by another process before. Any other failure ends this attempt; the next sweep continues. */
	async #remove(job: BatchJob): Promise<void> {
		const {api, log} = this.#parts;
		for (const {kind, name} of removalsOf(job)) {
			const removed = await api.remove(kind, name);
			const err = errorOf(removed);
			if (err && err.kind !== 'notFound') {
				return;
			}
		}

		log.emit(gatewayEvents.jobRemoved, {job: job.id});
	}
}
