/**
One job at its coordinator: its run, and what the coordinator remembers of its objects.
*/
import type {JobRun} from '../common/job-run.js';
import type {JobCandidate} from '../common/job-order.js';
import type {Revision} from '../common/ids.js';
import type {JobStatusWriter} from './job-status-writer.js';

/** A job that is coordinated here. */
export type TrackedJob = {
	readonly run: JobRun;
	readonly status: JobStatusWriter;
	/** The version of the job's resource that was applied last. */
	version: Revision;
	/** True while calls of the object API for this job are under way. */
	busy: boolean;
	/** True once it was logged that the job will be late. */
	wasLate: boolean;
};

/**
What the job asks for among others.

@param now - Milliseconds since 1970.
*/
export const claimOf = ({run}: TrackedJob, shareOf: (account: string) => number, now: number): JobCandidate => ({
	jobId: run.jobId,
	account: run.spec.account,
	share: shareOf(run.spec.account),
	dueAt: Date.parse(run.spec.dueTime),
	estimatedEndAt: run.estimatedEnd(now),
});
