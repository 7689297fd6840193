/**
Reads what a coordinator needs to take jobs up: the open jobs of a shard, a job's file, and the chunks that have results.
*/
import type {BatchJob} from '../../typings/resources.js';
import {
	chunkOfResultName, terminalStates, resultPrefix, isStatusOfJob, type FileRecord, type JobStatus, type ResultPrefix,
} from '../common/batch-types.js';
import {branded, type JobId, type Revision} from '../common/ids.js';
import {resourceFault} from '../common/resource-check.js';
import type {EventLog, ObjectApi} from '../common/services.js';
import type {ObjectKind, ObjectPage, StoredObject} from '../common/types.js';
import {batchEvents} from './batch-log-events.js';

/** A job as it stands in the object API. */
export type OpenJob = {readonly jobId: JobId; readonly job: BatchJob; readonly version: Revision};

/** The open jobs of a shard, and the version from which changes have to be followed. */
export type ShardJobs = {readonly jobs: readonly OpenJob[]; readonly version: Revision};

/** What a job's run is rebuilt from. */
export type JobRecord = {
	readonly file: FileRecord;
	readonly committed: readonly number[];
	/** Undefined for a job that no coordinator has taken up yet. */
	readonly status: StoredObject<JobStatus> | undefined;
};

const pageSize = 500;

/** Reads jobs. */
export class JobReader {
	readonly #api: ObjectApi;
	readonly #log: EventLog;

	constructor(api: ObjectApi, log: EventLog) {
		this.#api = api;
		this.#log = log;
	}

	/** The jobs of a shard that have not ended; undefined when they can not be read. */
	async openJobs(shard: string): Promise<ShardJobs | undefined> {
		const prefix = `batch_${shard}`;
		const jobs = await this.#listAll<BatchJob>('BatchJob', prefix, true);
		const statuses = jobs && await this.#listAll<JobStatus>('JobStatus', prefix, true);
		if (!statuses) {
			return undefined;
		}

		const ended = new Map(statuses.items.filter(({value}) => terminalStates.has(value.state)).map(({name, value}) => [name, value]));
		const open = jobs.items.filter(stored => this.#isWellFormed(stored)).filter(({name, value}) => {
			const status = ended.get(name);
			return !status || !isStatusOfJob(status, value.spec);
		});
		return {
			version: jobs.version,
			jobs: open.map(({name, value, version}) => ({jobId: branded<JobId>(name), job: value, version})),
		};
	}

	/**
	Reads one job's record.

	@returns `ended` when the job needs no coordinator any more, undefined when the object API does not answer.
	*/
	async record({jobId, job}: OpenJob): Promise<JobRecord | 'ended' | undefined> {
		const read = await this.#api.get<JobStatus>('JobStatus', jobId);
		if (read.isLeft() && read.extract().kind !== 'notFound') {
			return undefined;
		}

		const status = read.toMaybe().extract();
		if (status && terminalStates.has(status.value.state) && isStatusOfJob(status.value, job.spec)) {
			return 'ended';
		}

		const file = await this.#api.get<FileRecord>('File', job.spec.inputFileId);
		const committed = file.isRight() ? await this.committedChunks(resultPrefix(jobId, job.spec)) : undefined;
		return committed && {file: (file.extract() as StoredObject<FileRecord>).value, committed, status};
	}

	/** The chunks of a job that have results; undefined when they can not be read. */
	async committedChunks(results: ResultPrefix): Promise<number[] | undefined> {
		const found = await this.#listAll('Result', `${results}/`, false);
		return found?.items.map(({name}) => chunkOfResultName(name));
	}

	// Without this, one job without a spec would end each entry that takes the shard over, one after the other.
	#isWellFormed({name, version, value}: StoredObject): boolean {
		const fault = resourceFault('BatchJob', name, value);
		if (fault !== undefined) {
			this.#log.emit(batchEvents.jobRefused, {jobId: name, version, fault});
		}

		return fault === undefined;
	}

	async #listAll<T>(kind: ObjectKind, prefix: string, values: boolean): Promise<Pick<ObjectPage<T>, 'items' | 'version'> | undefined> {
		const items: Array<StoredObject<T>> = [];
		let first: ObjectPage<T> | undefined;
		let more = true;
		while (more) {
			const read = await this.#api.list<T>(kind, {
				prefix, values, limit: pageSize, after: items.at(-1)?.name,
			});
			if (read.isLeft()) {
				return undefined;
			}

			const page = read.extract() as ObjectPage<T>;
			items.push(...page.items);
			first ??= page;
			more = page.more;
		}

		// Changes made while later pages were read are after the first page's version, and will be watched.
		return {items, version: first!.version};
	}
}
