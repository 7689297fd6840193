/**
Types of the objects of a batch job. A file's items are packed into input chunks; each chunk's result is one object that is created once and never changed.
*/
import type {BatchJobSpec} from '../../typings/resources.js';
import {
	branded, type AccountName, type Branded, type Fence, type FileId, type JobId,
} from './ids.js';
import type {JsonObject} from './protocol.js';
import {h64ToString} from './xxhash.js';

/** One item of a batch, a line of the uploaded file. */
export type BatchItem = {
	/** The client's name for the item; unique in its file. */
	readonly custom_id: string;
	readonly method: string;
	readonly url: string;
	readonly body: JsonObject;
};

/** An input chunk: kind `InputChunk`, named by its content, so that a repeated upload writes no new objects. */
export type InputChunk = {readonly items: readonly BatchItem[]};

/** An uploaded file: kind `File`, named by account and content. */
export type FileRecord = {
	readonly id: FileId;
	readonly account: AccountName;
	readonly filename: string;
	readonly purpose: string;
	readonly bytes: number;
	/** Seconds since 1970. */
	readonly createdAt: number;
	/** The model that every item names. */
	readonly model: string;
	readonly endpoint: string;
	readonly items: number;
	/** Input chunks in order. */
	readonly chunks: ReadonlyArray<{readonly name: string; readonly items: number}>;
	/** True once its account has deleted it; jobs that were accepted with it still read it. */
	readonly isDeleted?: boolean;
};

/** The result of one item. Either `response` or `error` is set. */
export type ItemResult = {
	readonly id: string;
	readonly custom_id: string;
	readonly response: {readonly status_code: number; readonly request_id: string; readonly body: unknown} | null;
	readonly error: {readonly code: string; readonly message: string} | null;
};

/** The result of a chunk: kind `Result`, see {@link resultName}. Its creation is the commit. */
export type ChunkResult = {
	/** The writer's VM, incarnation and run, so that a writer that lost the answer to its write recognises its own result. */
	readonly writer: string;
	readonly fence: Fence;
	readonly completed: number;
	readonly failed: number;
	/** The items, in order; empty when they are in `parts`. */
	readonly items: readonly ItemResult[];
	/** Names of `ResultPart` objects, for results too large for one value. */
	readonly parts: readonly string[];
};

/** A piece of a large result: kind `ResultPart`. */
export type ResultPart = {readonly items: readonly ItemResult[]};

/** States of a job as clients see them. */
export type JobState = 'validating' | 'in_progress' | 'finalizing' | 'completed' | 'cancelling' | 'cancelled' | 'expired' | 'failed';

/** Totals of the committed chunks of a job, so that a new coordinator need not read their results again. */
export type CommittedCounts = {
	/** The chunks that are counted. */
	readonly chunks: readonly number[];
	readonly completed: number;
	readonly failed: number;
};

/** Progress of a job: kind `JobStatus`, named by the job's id. */
export type JobStatus = {
	readonly jobId: JobId;
	/** The `createdTime` of the job that this status belongs to. A job that was deleted and submitted again has the same id; the old status must not end the new job. */
	readonly jobCreatedTime?: string;
	readonly state: JobState;
	readonly total: number;
	readonly completed: number;
	readonly failed: number;
	/** Chunks whose results belong to the job, once it has ended: a result committed later is not part of it. */
	readonly sealedChunks?: readonly number[];
	/** While the job runs. */
	readonly counted?: CommittedCounts;
	/** Seconds since 1970. */
	readonly startedAt?: number;
	readonly endedAt?: number;
	/** Estimated end, seconds since 1970. */
	readonly estimatedEndAt?: number;
	/** Fencing number of the coordinator that wrote this. */
	readonly fence: Fence;
};

/** States that a job never leaves. */
export const terminalStates: ReadonlySet<JobState> = new Set<JobState>(['completed', 'cancelled', 'expired', 'failed']);

const chunkDigits = 6;

/** The common prefix of the names of one job's results. */
export type ResultPrefix = Branded<string, 'ResultPrefix'>;

/**
Returns the prefix of the names of a job's results. The id alone is not sufficient: a job that was deleted and submitted again under its key has the same id, and would be complete at once, with the results of the old input.
*/
export const resultPrefix = (jobId: JobId, {createdTime, inputFileId}: Pick<BatchJobSpec, 'createdTime' | 'inputFileId'>): ResultPrefix => branded(`${jobId}/${h64ToString(`${createdTime}/${inputFileId}`)}`);

/** True when the status belongs to this job, and not to an earlier one with the same id. */
export const isStatusOfJob = (status: JobStatus, {createdTime}: Pick<BatchJobSpec, 'createdTime'>): boolean => status.jobCreatedTime === undefined || status.jobCreatedTime === createdTime;

/** The name of a chunk's result. */
export const resultName = (prefix: ResultPrefix, chunk: number) => `${prefix}/${String(chunk).padStart(chunkDigits, '0')}`;

/** The chunk number in a result's name. */
export const chunkOfResultName = (name: string) => Number(name.slice(-chunkDigits));
