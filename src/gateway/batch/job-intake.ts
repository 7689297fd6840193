/**
Takes batch jobs in. A caller that hears "accepted" may forget the job, so its record stands in the object API before; one that hears "refused" will send it elsewhere, so its record must not stand, now or later. Where neither is certain, the caller is told just that.
*/
import type {Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {
	Clock, EventLog, Metrics, ObjectApi,
} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchJobId, GatewayRoute} from '../types.js';
import type {HeldJob} from '../keeping/held-job.js';
import type {JobHolders} from '../keeping/job-holders.js';
import type {BatchBook} from './batch-book.js';
import type {ContentStore} from './content-store.js';
import {
	recordNames, tokensOf, type BatchItem, type JobRecord,
} from './batch-records.js';

/** A job as a caller sent it. */
export type JobSubmission = {
	readonly job: BatchJobId;
	readonly route: GatewayRoute;
	readonly host: string;
	/** The path that it was sent to. */
	readonly target: string;
	readonly items: readonly BatchItem[];
};

/** `full`: more tokens wait than may. `away`: nothing was written. `uncertain`: the job may stand. */
export type SubmissionOutcome = 'accepted' | 'full' | 'away' | 'tooLarge' | 'uncertain';

/** What the intake reads and writes. */
export type IntakeParts = {
	readonly api: ObjectApi;
	readonly feed: ObjectFeed;
	readonly book: BatchBook;
	readonly contents: ContentStore;
	readonly holders: JobHolders;
	/** How many processes take jobs in, this one included. */
	readonly sharers: () => number;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** For how long a write is tried, in milliseconds: callers wait a few seconds, and must have time left to try elsewhere. */
const writeLimitMs = 1500;

/** The object API answers two writes within some ten milliseconds; a job that waits longer than this, in milliseconds, is held by keepers meanwhile, so that it is accepted within the usual latency target of half a second. */
const patienceMs = 150;

/** Between two tries, in milliseconds. */
const retryMs = 100;

/** A record comes back with the feed as soon as the feed looks again; after this many milliseconds it is asked for. */
const feedPatienceMs = 250;

/**
With more than this share of the limit left, a job is accepted as soon as its record is written: what other processes accept within the second or two by which this one's view may lag is far less than half of what may wait.
*/
const roomyShare = 0.5;

const limitOf = ({route}: JobSubmission): number => route.batch?.maxWaitingTokens ?? 0;

/** See the module's head. */
export class JobIntake {
	readonly #parts: IntakeParts;

	constructor(parts: IntakeParts) {
		this.#parts = parts;
	}

	/** @returns What the caller may be told. */
	async submit(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {clock, book, log, metrics} = this.#parts;
		const startedAt = clock.now();
		const outcome = await this.#submit(submission);
		const {job, route, items} = submission;
		log.emit(gatewayEvents.jobSubmitted, {
			id: job, route: route.name, items: items.length, tokens: tokensOf(items), waitingTokens: book.waitingTokens(route.name), cap: route.batch?.maxWaitingTokens, outcome, isHeld: book.job(job)?.isHeld, elapsedMs: Math.round(clock.now() - startedAt),
		});
		metrics.count('gateway.jobs', 1, {outcome});
		return outcome;
	}

	async #submit(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {book, feed} = this.#parts;
		const {job} = submission;
		if (book.job(job)?.isAdmitted) {
			return 'accepted';
		}

		if (!this.#seemsToFit(submission)) {
			// What is known may lag: results may have made room, or the job may have been accepted elsewhere.
			const isCertain = await feed.sync();
			if (!isCertain) {
				return 'away';
			}

			if (book.job(job)?.isAdmitted) {
				return 'accepted';
			}

			if (!book.job(job) && !this.#seemsToFit(submission)) {
				return 'full';
			}
		}

		return this.#write(submission);
	}

	#seemsToFit(submission: JobSubmission): boolean {
		return this.#roomAfter(submission) >= 0;
	}

	/** Without a limit there is always room. Close to the limit, the order of the records decides. */
	#isRoomy(submission: JobSubmission): boolean {
		const limit = limitOf(submission);
		return limit === 0 || this.#roomAfter(submission) > limit * roomyShare;
	}

	/** Tokens that could still wait once the job does, as far as is known. */
	#roomAfter(submission: JobSubmission): number {
		const {route, items} = submission;
		const limit = limitOf(submission);
		return (limit === 0 ? Infinity : limit) - this.#parts.book.waitingTokens(route.name) - tokensOf(items);
	}

	async #write(submission: JobSubmission): Promise<SubmissionOutcome> {
		const {job} = submission;
		const standing = this.#parts.book.job(job);
		if (standing && !standing.isAdmitted) {
			// Left by a process that could not take its refusal back; the job gets a new place in the order.
			const isRemoved = await this.#takeBack(job);
			if (!isRemoved) {
				return 'uncertain';
			}
		}

		const isRoomy = this.#isRoomy(submission);
		const content = this.#parts.contents.newName(job);
		const record = this.#recordOf(submission, isRoomy, content);
		const writing = this.#writeBoth(record, submission.items);
		if (isRoomy && this.#mayBeHeld(submission)) {
			return this.#writeOrHold(writing, {record, content: {type: 'items', items: submission.items}});
		}

		const written = await writing;
		if (written !== 'written') {
			return written;
		}

		return isRoomy ? 'accepted' : this.#judge(job);
	}

	/** Processes do not know of each other's held jobs: together they may hold no more than what a roomy job leaves free. */
	#mayBeHeld(submission: JobSubmission): boolean {
		const {holders, book, sharers} = this.#parts;
		const limit = limitOf(submission);
		const share = limit === 0 ? Infinity : limit * (1 - roomyShare) / sharers();
		return holders.areEnough && book.heldTokens + tokensOf(submission.items) <= share;
	}

	/** Whichever comes first: the record in the object API, or enough copies on disks that will bring it there. */
	async #writeOrHold(writing: Promise<'written' | SubmissionOutcome>, job: HeldJob): Promise<SubmissionOutcome> {
		const {clock, holders, book, contents} = this.#parts;
		const first = await Promise.race([writing, clock.sleep(patienceMs)]);
		if (first === 'written') {
			return 'accepted';
		}

		if (first === 'tooLarge') {
			return first;
		}

		const held = await holders.hold(job);
		if (held === 'held') {
			contents.keep(job.record.content, job.content);
			book.addHeld(job.record);
			return 'accepted';
		}

		const written = await writing;
		if (written === 'written') {
			return 'accepted';
		}

		return held === 'partly' && written === 'away' ? 'uncertain' : written;
	}

	/** The content stands before the record that names it; alone it means nothing. */
	async #writeBoth(record: JobRecord, items: readonly BatchItem[]): Promise<'written' | SubmissionOutcome> {
		const {api, contents} = this.#parts;
		const contentOutcome = await this.#tryFor(async () => contents.write(record.content, {type: 'items', items}));
		if (contentOutcome !== 'written') {
			return contentOutcome === 'uncertain' ? 'away' : contentOutcome;
		}

		return this.#tryFor(async () => api.create('BatchRecord', recordNames.job(record.job), record));
	}

	async #tryFor(write: () => Promise<Either<ApiError, unknown>>): Promise<'written' | SubmissionOutcome> {
		const {clock} = this.#parts;
		const startedAt = clock.now();
		let mayStand = false;
		while (clock.now() - startedAt < writeLimitMs) {
			const written = await write();
			const err = errorOf(written);
			if (!err || err.kind === 'conflict') {
				return 'written';
			}

			if (err.kind === 'tooLarge') {
				return 'tooLarge';
			}

			mayStand ||= mayHaveTakenEffect(err);
			if (!mayStand && clock.now() - startedAt > writeLimitMs / 3) {
				break;
			}

			await clock.sleep(retryMs);
		}

		return mayStand ? 'uncertain' : 'away';
	}

	#recordOf({job, route, host, target, items}: JobSubmission, isRoomy: boolean, content: string): JobRecord {
		return {
			type: 'job',
			job,
			route: route.name,
			host,
			target,
			submittedAt: this.#parts.clock.wall(),
			maxWaitingTokens: route.batch?.maxWaitingTokens ?? 0,
			isRoomy,
			items: items.map(({id, tokens}) => ({id, tokens})),
			content,
		};
	}

	/** The record has a place in the order of versions; what stands before it decides. */
	async #judge(job: BatchJobId): Promise<SubmissionOutcome> {
		const {book, feed} = this.#parts;
		const isThere = () => book.job(job) !== undefined;
		await book.until(job, isThere, feedPatienceMs);
		await feed.bring(isThere);
		const entry = book.job(job);
		if (!entry) {
			return 'uncertain';
		}

		if (entry.isAdmitted) {
			return 'accepted';
		}

		return await this.#takeBack(job) ? 'full' : 'uncertain';
	}

	/** @returns Whether the record certainly stands no more. */
	async #takeBack(job: BatchJobId): Promise<boolean> {
		const {api, book} = this.#parts;
		const removed = await api.remove('BatchRecord', recordNames.job(job), book.job(job)?.revision);
		return removed.isRight() || errorOf(removed)?.kind === 'notFound';
	}
}

const mayHaveTakenEffect = ({kind}: ApiError): boolean => kind === 'unknown';
