/**
What callers can ask of batch jobs, and how the answers are spelled; the paths and fields are the adapter's.
*/
import type {IncomingMessage} from 'node:http';
import type {Either} from 'purify-ts/Either';
import type {BatchItem} from './batch/batch-records.js';
import type {ResultsPage} from './batch/job-reader.js';
import type {BatchItemId, BatchJobId} from './types.js';

/** A question about a job. */
export type JobCall
	= | {readonly kind: 'results'; readonly job: BatchJobId; readonly after: number; readonly waitMs: number}
		| {readonly kind: 'body'; readonly job: BatchJobId; readonly item: BatchItemId}
		| {readonly kind: 'end'; readonly job: BatchJobId};

/** See the module's head. */
export type JobCallDialect = {
	/** @returns The question that a request asks; nothing where it is an ordinary call. */
	match(req: Pick<IncomingMessage, 'method' | 'url' | 'headers'>): JobCall | undefined;
	/** @returns The items of a submission, or what is wrong with it. */
	readItems(body: string): Either<string, readonly BatchItem[]>;
	/** @returns The body of an answer with results. */
	writeResults(page: ResultsPage): string;
};
