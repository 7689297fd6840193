/**
Accepts batch jobs. A caller that receives "accepted" may discard the job, so its record must be in the object API before; one that receives "refused" will send it elsewhere, so its record must not exist, now or later. If neither is certain, the caller receives "uncertain".
*/
import {errorOf} from '../../common/error-of.js';
import type {
	Clock, EventLog, Metrics, ObjectApi,
} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchJobId, ClientAccountName, GatewayRoute} from '../types.js';
import type {HeldJob} from '../keeping/held-job.js';
import type {HeldJobs} from '../keeping/held-jobs.js';
import type {KeeperPool} from '../keeping/keeper-pool.js';
import type {BatchJob} from './batch-job.js';
import type {JobIndex} from './job-index.js';
import type {ContentStore} from './content-store.js';
import {
	recordNames, tokensOf, type BatchItem, type JobRecord,
} from './batch-records.js';
import {JobWriter, type JobWriteResult} from './job-writer.js';

/** A job as a caller submitted it. */
export type JobSubmission = {
	readonly job: BatchJobId;
	/** The account that owns the job, if there are accounts. */
	readonly account?: ClientAccountName;
	readonly route: GatewayRoute;
	readonly host: string;
	/** The path that it was sent to. */
	readonly target: string;
	readonly items: readonly BatchItem[];
};

/** `full`: the limit of waiting tokens is exceeded. `away`: the object API is unavailable, nothing was written. `uncertain`: the job may have been written. `foreign`: another account has a job of this id. */
export type SubmissionOutcome = 'accepted' | 'full' | 'away' | 'tooLarge' | 'uncertain' | 'foreign';

/** Dependencies of the intake. */
export type IntakeParts = {
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly jobIndex: JobIndex;
	readonly contents: ContentStore;
	readonly keeperPool: Pick<KeeperPool, 'isSufficient' | 'hold'>;
	/** Writes jobs that keepers hold, as they do: they may all be gone when the object API is back. */
	readonly heldJobs: Pick<HeldJobs, 'add'>;
	/** The number of processes that accept jobs, this one included. */
	readonly processCount: () => number;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** The object API answers two writes within some ten milliseconds; if they take longer than this, in milliseconds, keepers are asked to hold the job meanwhile, so that it is accepted within the usual latency target of half a second. */
const holdAfterMs = 150;

/** A record is received with the next poll of the feed, a quarter of a second after the last one; after this many milliseconds it is read explicitly. */
const feedTimeoutMs = 350;

/**
With more than this share of the limit left, a job is accepted as soon as its record is written: what other processes accept within the second or two by which this one's index may lag is far less than half of the limit.
*/
const roomyShare = 0.5;

/** Room that an end which was requested here leaves is awaited for this long, in milliseconds: a write whose answer is lost is repeated within it, and its caller has time left to try elsewhere. */
const endTimeoutMs = 1500;

/** The delay between two reads of the records that free room, in milliseconds. */
const endPollMs = 100;

const limitOf = ({route}: JobSubmission): number => route.batch?.maxWaitingTokens ?? 0;

/** See the module's head. */
export class JobIntake {
	readonly #parts: IntakeParts;
	readonly #writer: JobWriter;

	constructor(parts: IntakeParts) {
		this.#parts = parts;
		this.#writer = new JobWriter(parts);
	}

	/** @returns The outcome to report to the caller. */
	async submit(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {clock, jobIndex, log, metrics} = this.#parts;
		const startedAt = clock.now();
		const outcome = await this.#submit(submission);
		const {job, account, route, items} = submission;
		log.emit(gatewayEvents.jobSubmitted, {
			id: job, account, route: route.name, items: items.length, tokens: tokensOf(items), waitingTokens: jobIndex.waitingTokens(route.name, account), cap: route.batch?.maxWaitingTokens, outcome, isHeld: jobIndex.job(job)?.isHeld, elapsedMs: Math.round(clock.now() - startedAt),
		});
		metrics.count('gateway.jobs', 1, {outcome});
		return outcome;
	}

	async #submit(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {jobIndex, feed, contents} = this.#parts;
		const {job} = submission;
		if (jobIndex.job(job)?.isAdmitted) {
			return this.#outcomeOfAccepted(submission);
		}

		if (!contents.fits({type: 'items', items: submission.items})) {
			// Keepers would hold it for ever.
			return 'tooLarge';
		}

		if (!this.#seemsToFit(submission)) {
			// The index may lag: results may have made room, or the job may have been accepted elsewhere.
			const isCertain = await feed.sync();
			if (!isCertain) {
				return 'away';
			}

			if (jobIndex.job(job)?.isAdmitted) {
				return this.#outcomeOfAccepted(submission);
			}

			if (!jobIndex.job(job) && !this.#seemsToFit(submission)) {
				return 'full';
			}
		}

		return await this.#hasRoomInRecords(submission) ? this.#write(submission) : 'full';
	}

	/** Waits until ends that were requested here are in the records: another process judges the new job by these alone, so the ends must precede it. */
	async #hasRoomInRecords(submission: JobSubmission): Promise<boolean> {
		const {clock, feed} = this.#parts;
		const startedAt = clock.now();
		const hasRoom = () => this.#roomAfter(submission) >= 0 || this.#endingTokens(submission) === 0;
		while (!hasRoom() && clock.now() - startedAt < endTimeoutMs) {
			await feed.sync();
			if (!hasRoom()) {
				await clock.sleep(endPollMs);
			}
		}

		return hasRoom();
	}

	#endingTokens({route, account}: JobSubmission): number {
		return this.#parts.jobIndex.endingTokens(route.name, account);
	}

	/** The outcome for a job that was accepted before: a retry, or the id of another account's job. */
	#outcomeOfAccepted({job, account}: Pick<JobSubmission, 'job' | 'account'>): SubmissionOutcome {
		return this.#parts.jobIndex.job(job)?.isAccessibleTo(account) ? 'accepted' : 'foreign';
	}

	#seemsToFit(submission: JobSubmission): boolean {
		return this.#roomAfter(submission) + this.#endingTokens(submission) >= 0;
	}

	/** Without a limit there is always room. Close to the limit, the order of the records decides. */
	#isRoomy(submission: JobSubmission): boolean {
		const limit = limitOf(submission);
		return limit === 0 || this.#roomAfter(submission) > limit * roomyShare;
	}

	/** Tokens that the limit leaves once the job is accepted, according to the index. */
	#roomAfter(submission: JobSubmission): number {
		const {route, account, items} = submission;
		const limit = limitOf(submission);
		return (limit === 0 ? Infinity : limit) - this.#parts.jobIndex.waitingTokens(route.name, account) - tokensOf(items);
	}

	async #write(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {job} = submission;
		const {jobIndex, feed} = this.#parts;
		if (isLeftover(jobIndex.job(job)) && await feed.sync() && isLeftover(jobIndex.job(job))) {
			// Left by a process that could not remove it after refusing the job; the job gets a new position in the order.
			const isRemoved = await this.#removeRecord(job);
			if (!isRemoved) {
				return 'uncertain';
			}
		}

		const record = this.#recordOf(submission);
		const writing = this.#writer.write(record, submission.items);
		if (record.isRoomy && this.#mayBeHeld(submission)) {
			return this.#writeOrHold(writing, {record, content: {type: 'items', items: submission.items}});
		}

		return this.#resolveOutcome(record, await writing);
	}

	/** A record that existed already may be another process's, which judged the job by its own index and may be about to remove the record: only the order of the records decides whether it stays. */
	async #resolveOutcome({job, account, isRoomy}: JobRecord, {outcome, hasUnansweredAttempt}: JobWriteResult): Promise<SubmissionOutcome> {
		if (outcome === 'created' && isRoomy) {
			return 'accepted';
		}

		return outcome === 'created' || outcome === 'found' ? this.#decideByOrder({job, account}, hasUnansweredAttempt) : outcome;
	}

	/** Processes do not see each other's held jobs: together they may hold no more than a roomy job leaves free. */
	#mayBeHeld(submission: JobSubmission): boolean {
		const {keeperPool, jobIndex, processCount} = this.#parts;
		const limit = limitOf(submission);
		const share = limit === 0 ? Infinity : limit * (1 - roomyShare) / processCount();
		return keeperPool.isSufficient && jobIndex.heldTokens + tokensOf(submission.items) <= share;
	}

	/** Waits for whichever comes first: the record in the object API, or enough copies on the disks of keepers, which will write it there. */
	async #writeOrHold(writing: Promise<JobWriteResult>, job: HeldJob): Promise<SubmissionOutcome> {
		const {
			clock, keeperPool, heldJobs, jobIndex, contents,
		} = this.#parts;
		const first = await Promise.race([writing, clock.sleep(holdAfterMs)]);
		if (first && first.outcome !== 'away' && first.outcome !== 'uncertain') {
			return this.#resolveOutcome(job.record, first);
		}

		const held = await keeperPool.hold(job);
		if (held === 'held') {
			contents.cache(job.record.content, job.content);
			jobIndex.addHeld(job.record);
			heldJobs.add(job);
			return 'accepted';
		}

		const resolved = await this.#resolveOutcome(job.record, await writing);
		return held === 'partly' && isRefusal(resolved) ? 'uncertain' : resolved;
	}

	#recordOf(submission: JobSubmission): JobRecord {
		const {
			job, account, route, host, target, items,
		} = submission;
		const {clock, contents} = this.#parts;
		return {
			type: 'job',
			job,
			account,
			route: route.name,
			host,
			target,
			submittedAt: clock.wall(),
			maxWaitingTokens: limitOf(submission),
			isRoomy: this.#isRoomy(submission),
			items: items.map(({id, tokens}) => ({id, tokens})),
			content: contents.newName(job),
		};
	}

	/**
	Decides by the records that precede this one in the order of versions.

	@param hasUnansweredAttempt - Whether an attempt to write it went unanswered. If it took effect after the record was removed, it would find room and run a job that its caller was told will never run.
	*/
	async #decideByOrder({job, account}: Pick<JobRecord, 'job' | 'account'>, hasUnansweredAttempt: boolean): Promise<SubmissionOutcome> {
		const {jobIndex, feed} = this.#parts;
		const isReceived = () => jobIndex.job(job) !== undefined;
		await jobIndex.waitUntil(job, isReceived, feedTimeoutMs);
		await feed.ensureLoaded(isReceived);
		const entry = jobIndex.job(job);
		if (!entry) {
			return 'uncertain';
		}

		if (entry.isAdmitted) {
			return this.#outcomeOfAccepted({job, account});
		}

		const isRemoved = await this.#removeRecord(job);
		return isRemoved && !hasUnansweredAttempt ? 'full' : 'uncertain';
	}

	/** @returns Whether the record certainly does not exist any more. */
	async #removeRecord(job: BatchJobId): Promise<boolean> {
		const {api, jobIndex} = this.#parts;
		const removed = await api.remove('BatchRecord', recordNames.job(job), jobIndex.job(job)?.revision);
		return removed.isRight() || errorOf(removed)?.kind === 'notFound';
	}
}

/** Whether a job has a record that was not admitted. */
const isLeftover = (job: BatchJob | undefined): boolean => job?.isAdmitted === false;

/** Refusals promise that the job will not run. */
const isRefusal = (outcome: SubmissionOutcome): boolean => outcome === 'away' || outcome === 'full';
