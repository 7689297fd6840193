/**
Decides which batch job gets the next chunk of idle room: jobs share it by the weights of their accounts, and a job that will be late counts several times as much. Among equals the one that is due first goes first. Online work never competes here: agents offer only the room that it leaves.

Strict order by due time was weighed and dropped: one account with many early due times would keep all others waiting.
*/
import type {JobId} from './ids.js';

/** What a job asks for. Times are milliseconds since 1970. */
export type JobCandidate = {
	readonly jobId: JobId;
	readonly account: string;
	/** The account's share. */
	readonly share: number;
	readonly dueAt: number;
	/** Undefined while nothing has been completed. */
	readonly estimatedEndAt: number | undefined;
};

/** How many times its account's share a late job gets. */
export const lateFactor = 4;

/** True when the job is past its due time, or will be at its present rate. */
export const isLate = ({dueAt, estimatedEndAt}: JobCandidate, now: number): boolean => now >= dueAt || (estimatedEndAt ?? 0) > dueAt;

/** The job's weight at agents and in {@link selectJob}. */
export const weightOf = (claim: JobCandidate, now: number): number => claim.share * (isLate(claim, now) ? lateFactor : 1);

/**
The claim to serve next.

@param claims - Jobs that have chunks to grant.
@param itemsOf - Items under way of an account.
@returns Undefined when there are no claims.
*/
export const selectJob = (claims: readonly JobCandidate[], itemsOf: (account: string) => number, now: number): JobCandidate | undefined => claims
	.map(claim => ({claim, load: itemsOf(claim.account) / weightOf(claim, now)}))
	.toSorted((a, b) => a.load - b.load || a.claim.dueAt - b.claim.dueAt || (a.claim.jobId < b.claim.jobId ? -1 : 1))
	.at(0)?.claim;
