/**
Selects the batch job that gets the next chunk of idle capacity: jobs share it by the weights of their accounts, and the weight of a job that will be late is multiplied by {@link lateFactor}. Among equals the job that is due first goes first. Online work never competes here: agents offer only the capacity that it leaves.

Jobs are not strictly ordered by due time: one account with many early due times would keep all others waiting.
*/
import type {JobId} from './ids.js';

/** A job that has chunks to grant. Times are milliseconds since 1970. */
export type JobCandidate = {
	readonly jobId: JobId;
	readonly account: string;
	/** The account's share. */
	readonly share: number;
	readonly dueAt: number;
	/** Undefined while nothing has been completed. */
	readonly estimatedEndAt: number | undefined;
};

/** Factor by which the weight of a late job is multiplied. */
export const lateFactor = 4;

/** True when the job is past its due time, or will be at its current rate. */
export const isLate = ({dueAt, estimatedEndAt}: JobCandidate, now: number): boolean => now >= dueAt || (estimatedEndAt ?? 0) > dueAt;

/** The job's weight at agents and in {@link selectJob}. */
export const weightOf = (candidate: JobCandidate, now: number): number => candidate.share * (isLate(candidate, now) ? lateFactor : 1);

/**
Selects the job to serve next.

@param candidates - Jobs that have chunks to grant.
@param itemsOf - Returns the number of an account's items in progress.
@returns Undefined when there are no candidates.
*/
export const selectJob = (candidates: readonly JobCandidate[], itemsOf: (account: string) => number, now: number): JobCandidate | undefined => candidates
	.map(candidate => ({candidate, load: itemsOf(candidate.account) / weightOf(candidate, now)}))
	.toSorted((a, b) => a.load - b.load || a.candidate.dueAt - b.candidate.dueAt || (a.candidate.jobId < b.candidate.jobId ? -1 : 1))
	.at(0)?.candidate;
