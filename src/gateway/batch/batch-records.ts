/**
The stored form of a batch job: a record of its submission, pages of its results, and a record of its end. Each is created once and never changed, so a holder that was paused cannot undo another's write, and a write whose answer was lost can simply be repeated.

Records are short, since every process watches all of them. Prompts and outputs are stored as contents, each written before the record that names it and read only by the processes that need it; otherwise a process with a narrow link would spend seconds after its start on texts that nobody requests from it.
*/
import {
	isNonNegativeNumber, isNonNegativeInteger, isBoolean, isObject, isString, isNonEmptyString, listOf, objectOf, oneOf, optional, type FieldValidator,
} from '../../common/field-validators.js';
import {isItemProgress} from '../../common/message-validators.js';
import type {
	BatchItemId, BatchJobId, ClientAccountName, SoftwareVersion,
} from '../types.js';
import type {FailedRun} from './failed-runs.js';

/** A record of a job that was not admitted is removed within seconds by the process that wrote it. One that exists for longer than this, in milliseconds, was abandoned. */
export const abandonedAfterMs = 10_000;

/** One item as its caller submitted it. */
export type BatchItem = {
	readonly id: BatchItemId;
	/** Path and query at the replica. */
	readonly path: string;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	/** Base64. */
	readonly body: string;
	/** Tokens of the prompt and of the longest possible output, summed. */
	readonly tokens: number;
};

/** The part of an item that every process caches. */
export type ItemSummary = Pick<BatchItem, 'id' | 'tokens'>;

/** A job as it was accepted. */
export type JobRecord = {
	readonly type: 'job';
	readonly job: BatchJobId;
	/** The account that owns the job; missing if there were no accounts, or the route accepts jobs without a key. */
	readonly account?: ClientAccountName;
	/** The name of its route. */
	readonly route: string;
	/** The `Host` that it was sent to, and that its items are sent with. */
	readonly host: string;
	/** The path that it was sent to, by which its route is found. */
	readonly target: string;
	/** Wall clock of the process that accepted it, in milliseconds. */
	readonly submittedAt: number;
	/** The limit of its account's waiting tokens on the route at that time; 0 for no limit. */
	readonly maxWaitingTokens: number;
	/** Whether the process that accepted it saw so much room that concurrent writes could not fill it. */
	readonly isRoomy: boolean;
	readonly items: readonly ItemSummary[];
	/** The name of its {@link JobContent}. */
	readonly content: string;
};

/** The items of a job in full. */
export type JobContent = {
	readonly type: 'items';
	readonly items: readonly BatchItem[];
};

/** The result of an item. */
export type ItemResult = {
	readonly id: BatchItemId;
	readonly state: 'completed' | 'errored';
	/** The data of all events, separated by line feeds. */
	readonly output: string;
};

/** The part of a result that every process caches. */
export type ResultSummary = Pick<ItemResult, 'id' | 'state'>;

/** A page of results in the order of their positions. Page n + 1 begins where page n ends. */
export type PageRecord = {
	readonly type: 'page';
	readonly job: BatchJobId;
	/** Counted from 0, without gaps. */
	readonly number: number;
	readonly results: readonly ResultSummary[];
	/** The name of its {@link PageContent}. */
	readonly content: string;
	/** Names of the {@link TextContent}s of a result that is too large for one content. */
	readonly parts?: readonly string[];
};

/** A result whose output is stored in parts. */
export type SplitResult = ResultSummary & {
	/** Names of its {@link TextContent}s, in order. */
	readonly outputParts: readonly string[];
};

/** A result as it is stored. */
export type StoredResult = ItemResult | SplitResult;

/** The results of a page in full, in the same order. */
export type PageContent = {
	readonly type: 'results';
	readonly results: readonly StoredResult[];
};

/** A part of an output. */
export type TextContent = {
	readonly type: 'text';
	readonly text: string;
};

/** The job was ended by its caller. */
export type EndRecord = {
	readonly type: 'end';
	readonly job: BatchJobId;
};

/** The progress of an item when its process shut down; the next run resumes from it. */
export type ItemProgress = {
	readonly id: BatchItemId;
	/** The data of the events from the first on. */
	readonly events: readonly string[];
	/** The version of the replicas that generated them; processes of earlier versions do not state it. */
	readonly softwareVersion?: SoftwareVersion;
	/** Runs that a replica ended with a failure, as far as the process had recorded them. */
	readonly failedRuns: readonly FailedRun[];
};

/** Names the progress that a process wrote at shutdown for the next one to run the job. */
export type HandoverRecord = {
	readonly type: 'handover';
	readonly job: BatchJobId;
	/** The name of its {@link HandoverContent}. */
	readonly content: string;
};

/** See {@link HandoverRecord}. */
export type HandoverContent = {
	readonly type: 'progress';
	readonly items: readonly ItemProgress[];
};

/** Takes the place of a job's record while what belongs to the job is being removed, so that a process that reads the records meanwhile never finds the job without its pages. */
export type RemovalRecord = {
	readonly type: 'removal';
	readonly job: BatchJobId;
	/** Names of the contents to remove. */
	readonly contents: readonly string[];
	/** Names of the records to remove, without this one. */
	readonly records: readonly string[];
};

/** Any content. */
export type BatchContent = JobContent | PageContent | TextContent | HandoverContent;

/** Any record of a batch job. */
export type BatchRecord = JobRecord | PageRecord | EndRecord | HandoverRecord | RemovalRecord;

const state = oneOf('completed', 'errored');

const recordTests: Readonly<Record<string, FieldValidator>> = {
	job: objectOf({
		job: isNonEmptyString, account: optional(isNonEmptyString), route: isNonEmptyString, host: isNonEmptyString, target: isNonEmptyString, submittedAt: isNonNegativeNumber, maxWaitingTokens: isNonNegativeNumber, isRoomy: isBoolean, items: listOf(objectOf({id: isNonEmptyString, tokens: isNonNegativeNumber})), content: isNonEmptyString,
	}),
	page: objectOf({
		job: isNonEmptyString, number: isNonNegativeInteger, results: listOf(objectOf({id: isNonEmptyString, state})), content: isNonEmptyString, parts: optional(listOf(isNonEmptyString)),
	}),
	end: objectOf({job: isNonEmptyString}),
	handover: objectOf({job: isNonEmptyString, content: isNonEmptyString}),
	removal: objectOf({job: isNonEmptyString, contents: listOf(isNonEmptyString), records: listOf(isNonEmptyString)}),
};

const isWholeResult = objectOf({id: isNonEmptyString, state, output: isString});
const isSplitResult = objectOf({id: isNonEmptyString, state, outputParts: listOf(isNonEmptyString)});

const contentTests: Readonly<Record<BatchContent['type'], FieldValidator>> = {
	items: objectOf({
		items: listOf(objectOf({
			id: isNonEmptyString, path: isNonEmptyString, headers: Array.isArray, body: isString, tokens: isNonNegativeNumber,
		})),
	}),
	results: objectOf({results: listOf(result => isWholeResult(result) || isSplitResult(result))}),
	text: objectOf({text: isString}),
	progress: objectOf({
		items: listOf(isItemProgress),
	}),
};

/** @returns The record, or nothing if the value is not a valid one: another version of the program may have written it. */
export const readRecord = (value: unknown): BatchRecord | undefined => isObject(value) && recordTests[String(value.type)]?.(value)
	? value as BatchRecord
	: undefined;

/** @returns The content, or nothing if the value is not a valid content of the type. */
export const readContent = <T extends BatchContent['type']>(type: T, value: unknown): Extract<BatchContent, {type: T}> | undefined => isObject(value) && value.type === type && contentTests[type](value)
	? value as Extract<BatchContent, {type: T}>
	: undefined;

/** Names of records in the object API. */
export const recordNames = {
	job: (job: BatchJobId): string => `job-${job}`,
	page: (job: BatchJobId, number: number): string => `page-${job}-${number}`,
	end: (job: BatchJobId): string => `end-${job}`,
	handover: (job: BatchJobId, member: string): string => `handover-${job}-${member}`,
} as const;

/** Tokens of all items of a job. */
export const tokensOf = (items: readonly ItemSummary[]): number => items.reduce((sum, {tokens}) => sum + tokens, 0);
