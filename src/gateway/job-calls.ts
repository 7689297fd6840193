/**
The requests that callers can make about batch jobs, and the interface by which a platform's adapter defines their paths and the fields of their answers.
*/
import type {IncomingMessage} from 'node:http';
import type {Either} from 'purify-ts/Either';
import type {BatchItem} from './batch/batch-records.js';
import type {ResultsPage} from './batch/job-reader.js';
import type {BatchItemId, BatchJobId} from './types.js';

/** A request about a job. */
export type JobCall
	= | {readonly kind: 'results'; readonly job: BatchJobId; readonly after: number; readonly waitMs: number}
		| {readonly kind: 'body'; readonly job: BatchJobId; readonly item: BatchItemId}
		| {readonly kind: 'end'; readonly job: BatchJobId};

/** Parses requests for and about jobs and formats their answers; implemented by the platform's adapter. */
export type JobCallDialect = {
	/** @returns The request about a job; `undefined` for an ordinary call. */
	match(req: Pick<IncomingMessage, 'method' | 'url' | 'headers'>): JobCall | undefined;
	/** @returns The items of a submitted job, or why the body is invalid. */
	readItems(body: string): Either<string, readonly BatchItem[]>;
	/** @returns The body of an answer that carries results. */
	writeResults(page: ResultsPage): string;
};
