/**
What lasts of a batch job: a record of its submission, pages of its results, and a record of its end. Each is created once and never changed, so that no holder that was paused can undo another's write, and a write whose answer was lost may simply be made again.
*/
import {
	isAmount, isCount, isFlag, isObject, isText, listOf, objectOf, oneOf, type FieldTest,
} from '../../common/field-tests.js';
import type {BatchItemId, BatchJobId} from '../types.js';

/** One item as its caller handed it in. */
export type BatchItem = {
	readonly id: BatchItemId;
	/** Path and query at the replica. */
	readonly path: string;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	/** Base64. */
	readonly body: string;
	/** Of the prompt and of the longest output, summed. */
	readonly tokens: number;
};

/** A job as it was accepted. */
export type JobRecord = {
	readonly type: 'job';
	readonly job: BatchJobId;
	/** The name of its route. */
	readonly route: string;
	/** The `Host` that it was sent to, and that its items are sent with. */
	readonly host: string;
	/** Wall clock of the process that took it in, in milliseconds. */
	readonly submittedAt: number;
	/** Tokens that could wait on the route then; 0 for no limit. */
	readonly maxWaitingTokens: number;
	/** Whether the process that took it in saw so much room that nothing written at the same time could fill it. */
	readonly isRoomy: boolean;
	readonly items: readonly BatchItem[];
};

/** What became of an item. */
export type ItemResult = {
	readonly id: BatchItemId;
	readonly state: 'completed' | 'errored';
	/** The data of all events, separated by line feeds. */
	readonly output: string;
};

/** Results in the order of their positions. Page n + 1 begins where page n ends. */
export type PageRecord = {
	readonly type: 'page';
	readonly job: BatchJobId;
	/** Counted from 0, without gaps. */
	readonly number: number;
	readonly results: readonly ItemResult[];
};

/** The job's caller wants no more of it. */
export type EndRecord = {
	readonly type: 'end';
	readonly job: BatchJobId;
};

/** What an item's run had brought when its process shut down; the next run goes on from there. */
export type ItemProgress = {
	readonly id: BatchItemId;
	/** The data of the events from the first on. */
	readonly events: readonly string[];
	/** Runs that the replica ended with a failure. */
	readonly failures: number;
};

/** What a process that shuts down leaves to the one that runs the job next. */
export type HandoverRecord = {
	readonly type: 'handover';
	readonly job: BatchJobId;
	readonly items: readonly ItemProgress[];
};

/** Any record of a batch job. */
export type BatchRecord = JobRecord | PageRecord | EndRecord | HandoverRecord;

const item: FieldTest = objectOf({
	id: isText, path: isText, headers: Array.isArray, body: value => typeof value === 'string', tokens: isAmount,
});
const result: FieldTest = objectOf({id: isText, state: oneOf('completed', 'errored'), output: value => typeof value === 'string'});

const recordTests: Readonly<Record<string, FieldTest>> = {
	job: objectOf({
		job: isText, route: isText, host: isText, submittedAt: isAmount, maxWaitingTokens: isAmount, isRoomy: isFlag, items: listOf(item),
	}),
	page: objectOf({job: isText, number: isCount, results: listOf(result)}),
	end: objectOf({job: isText}),
	handover: objectOf({job: isText, items: listOf(objectOf({id: isText, events: listOf(value => typeof value === 'string'), failures: isCount}))}),
};

/** @returns The record, or nothing where the value is none: another version of the program may have written it. */
export const readRecord = (value: unknown): BatchRecord | undefined => isObject(value) && recordTests[String(value.type)]?.(value)
	? value as BatchRecord
	: undefined;

/** Names of records in the object API. */
export const recordNames = {
	job: (job: BatchJobId): string => `job-${job}`,
	page: (job: BatchJobId, number: number): string => `page-${job}-${number}`,
	end: (job: BatchJobId): string => `end-${job}`,
	handover: (job: BatchJobId, member: string): string => `handover-${job}-${member}`,
} as const;

/** Tokens of all items of a job. */
export const tokensOf = (items: readonly BatchItem[]): number => items.reduce((sum, {tokens}) => sum + tokens, 0);
