/**
Batch jobs as callers of the OpenAI-compatible API see them.
*/
import type {BatchJobSpec} from '../../typings/resources.js';
import type {JobState} from '../common/batch-types.js';
import {branded, type FileId, type JobId} from '../common/ids.js';
import type {JobView} from './job-store.js';

const outputPrefix = 'file-out-';
const errorPrefix = 'file-err-';

/** The id of the file of completed items. */
export const outputFileId = (jobId: JobId) => `${outputPrefix}${jobId}`;

/** The id of the file of failed items. */
export const errorFileId = (jobId: JobId) => `${errorPrefix}${jobId}`;

/** Reads such an id; undefined for any other. */
export const parseResultFileId = (id: string): {readonly id: FileId; readonly jobId: JobId; readonly isErrors: boolean} | undefined => {
	const prefix = [outputPrefix, errorPrefix].find(candidate => id.startsWith(candidate));
	return prefix === undefined ? undefined : {id: branded(id), jobId: branded(id.slice(prefix.length)), isErrors: prefix === errorPrefix};
};

const seconds = (time: string | undefined) => time === undefined ? null : Math.floor(Date.parse(time) / 1000);

const msPerHour = 3_600_000;
const windowOf = ({createdTime, dueTime}: Pick<BatchJobSpec, 'createdTime' | 'dueTime'>) => `${Math.round((Date.parse(dueTime) - Date.parse(createdTime)) / msPerHour)}h`;

const endFields: Partial<Record<JobState, string>> = {
	completed: 'completed_at', cancelled: 'cancelled_at', expired: 'expired_at', failed: 'failed_at',
};

const stateOf = ({job, status}: JobView): JobState => {
	const state = status?.state ?? 'validating';
	return job.spec.cancelled && status?.endedAt === undefined ? 'cancelling' : state;
};

/** A job as the `batches` API shows it. */
export const batchObject = (view: JobView) => {
	const {id, job: {spec}, status} = view;
	const state = stateOf(view);
	const hasEnded = status?.endedAt !== undefined;
	const endField = endFields[state];
	return {
		id,
		object: 'batch',
		endpoint: spec.endpoint,
		errors: null,
		input_file_id: spec.inputFileId,
		completion_window: windowOf(spec),
		status: state,
		output_file_id: hasEnded ? outputFileId(id) : null,
		error_file_id: hasEnded && status.failed > 0 ? errorFileId(id) : null,
		created_at: seconds(spec.createdTime),
		in_progress_at: status?.startedAt ?? null,
		expires_at: seconds(spec.dueTime),
		cancelling_at: state === 'cancelling' || state === 'cancelled' ? seconds(spec.cancelledTime) : null,
		estimated_end_at: status?.estimatedEndAt ?? null,
		...(endField !== undefined && {[endField]: status?.endedAt}),
		request_counts: {total: status?.total ?? 0, completed: status?.completed ?? 0, failed: status?.failed ?? 0},
		metadata: spec.clientMetadata ?? null,
	};
};
