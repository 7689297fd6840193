/**
A batch job that was accepted while the object API was unavailable: its record and its items, as they will be written there.
*/
import {
	readContent, readRecord, type JobContent, type JobRecord,
} from '../batch/batch-records.js';

/** See the module's head. */
export type HeldJob = {
	readonly record: JobRecord;
	readonly content: JobContent;
};

/** The name of the method with which a front asks a keeper to hold a job. */
export const holdJobMethod = 'gateway.holdJob';

/** The name of the method with which a front asks a keeper whether it has a job. */
export const findHeldJobMethod = 'gateway.findHeldJob';

/** A keeper's answer: whether it holds the job, or has just stored it in the object API. */
export type FindHeldJobAnswer = {readonly isKnown: boolean};

/** A keeper's answer. `uncertain`: it does not hold the job, but may still have it on its disk, and write it to the object API after a restart. */
export type HoldAnswer = 'held' | 'refused' | 'uncertain';

/** @returns The job, or nothing if the value is not a valid one. */
export const readHeldJob = (value: unknown): HeldJob | undefined => {
	const {record, content} = (value ?? {}) as Partial<Record<keyof HeldJob, unknown>>;
	const job = readRecord(record);
	const items = readContent('items', content);
	return job?.type === 'job' && items ? {record: job, content: items} : undefined;
};
