/**
Files and batch jobs in the object API, for the callers' routes.
*/
import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {BatchJob, BatchJobSpec} from '../../typings/resources.js';
import {
	resultName, isStatusOfJob, type ChunkResult, type FileRecord, type ItemResult, type JobStatus, type ResultPart, type ResultPrefix,
} from '../common/batch-types.js';
import {ConcurrencyLimit} from '../common/concurrency-limit.js';
import {branded, type FileId, type JobId} from '../common/ids.js';
import {resourceFault} from '../common/resource-check.js';
import type {ObjectApi} from '../common/services.js';
import type {
	ApiError as PlatformError, ObjectKind, ObjectPage, StoredObject,
} from '../common/types.js';
import type {Account} from './accounts.js';
import {invalidRequest, unavailable, type ApiError} from './api-error.js';
import type {ApiGate} from './api-gate.js';
import type {PackedFile} from './item-packer.js';

/** A job with its progress; none yet when no coordinator has taken it up. */
export type JobView = {readonly id: JobId; readonly job: BatchJob; readonly status: JobStatus | undefined};

/** What a client asks for when it submits a job. */
export type JobWish = Pick<BatchJobSpec, 'inputFileId' | 'endpoint' | 'dueTime' | 'createdTime' | 'clientMetadata'> & {readonly jobKey: string};

const comeBackMs = 5000;
const hashLength = 32;
const accountHashLength = 8;
const listPageSize = 500;
const maxStatusReads = 16;
const storeTries = 3;

const hashOf = (...parts: readonly string[]) => createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, hashLength);

const platformError = (err: PlatformError): ApiError => err.kind === 'notFound'
	? invalidRequest('no such object', {status: 404, code: 'not_found'})
	: unavailable('the platform\'s object API does not answer; nothing was accepted', comeBackMs);

/** The value, unless it is malformed: then its caller gets an answer, and the process goes on. */
const wellFormed = <T>(kind: ObjectKind, name: string, value: T): Either<ApiError, T> => resourceFault(kind, name, value) === undefined
	? Right(value)
	: Left(unavailable(`the object ${kind} ${name} is malformed, an operator has to mend it`, comeBackMs, 'malformed_object'));

// The last try may still take effect: it would be untrue to say that nothing was accepted.
const outcomeUnknown: ApiError = {
	...unavailable('the platform\'s object API did not answer; send the job again under the same key to learn whether it was accepted', comeBackMs, 'outcome_unknown'),
	run: 'unknown',
};

const notFoundStatus = 404;

const resultsLost: ApiError = {
	status: 500, type: 'server_error', code: 'results_lost', message: 'results of this job are missing in the platform\'s object API', run: 'run',
};

// The last write may have taken effect, or still do.
const cancellationUnknown: ApiError = {
	...unavailable('the platform\'s object API did not answer; cancel the job again to learn whether it is cancelled', comeBackMs, 'outcome_unknown'),
	run: 'unknown',
};

// The account comes first, so that its jobs are found by a prefix of their names.
const jobIdPrefix = (account: Account) => `batch_${hashOf(account.name).slice(0, accountHashLength)}`;

/** A page of an account's jobs. */
export type JobPage = {readonly views: readonly JobView[]; readonly hasMore: boolean};

/** Reads and writes files and jobs. */
export class JobStore {
	readonly #api: ObjectApi;
	readonly #gate: ApiGate;

	constructor(api: ObjectApi, gate: ApiGate) {
		this.#api = api;
		this.#gate = gate;
	}

	/** An error at once when the object API is known not to answer; for callers who would make it hold something new. */
	get ready(): Either<ApiError, void> {
		return this.#gate.isShut ? Left(platformError({kind: 'unavailable', reason: 'shut'})) : Right(undefined);
	}

	/** Records a packed file. The same content of the same account is the same file. */
	async createFile(account: Account, packed: PackedFile, options: {filename: string; bytes: number; createdAt: number}): Promise<Either<ApiError, FileRecord>> {
		const id: FileId = branded(`file-${hashOf(account.name, packed.digest)}`);
		const {digest: _, ...content} = packed;
		const record: FileRecord = {
			id, account: account.name, purpose: 'batch', ...options, ...content,
		};
		const stored = await this.#createOrRead<FileRecord>('File', id, record);
		return stored.isRight() && stored.extract().isDeleted ? this.#setDeleted(account, id, false) : stored;
	}

	/** Hides a file from its account. Jobs that were accepted with it go on. */
	async deleteFile(account: Account, id: string): Promise<Either<ApiError, FileRecord>> {
		const read = await this.readFile(account, id);
		return read.isLeft() ? read : this.#setDeleted(account, id, true);
	}

	/** Reads a file of the account; others' files are not found. */
	async readFile(account: Account, id: string): Promise<Either<ApiError, FileRecord>> {
		const read = await this.#read<FileRecord>('File', id);
		return read.chain(file => file.account === account.name && !file.isDeleted ? Right(file) : Left(platformError({kind: 'notFound'})));
	}

	/** The items of an input chunk or the results of a chunk, by name. */
	async readInput(name: string): Promise<Either<ApiError, {items: readonly unknown[]}>> {
		return this.#read('InputChunk', name);
	}

	/**
	Accepts a job, or finds the one that was accepted under the same key. Only once the object API has confirmed the job is it accepted.

	@returns The job; an error when the key was used for another input.
	*/
	async createJob(account: Account, wish: JobWish): Promise<Either<ApiError, JobView & {readonly isNew: boolean}>> {
		const id: JobId = branded(`${jobIdPrefix(account)}${hashOf(account.name, wish.jobKey).slice(accountHashLength)}`);
		const job: BatchJob = {
			apiVersion: 'citronyard/v1',
			kind: 'BatchJob',
			metadata: {name: id, generation: 1},
			spec: {...wish, account: account.name},
		};
		const stored = await this.#createOrRead<BatchJob>('BatchJob', id, job);
		return stored.chain(found => {
			const isSame = found.spec.inputFileId === wish.inputFileId && found.spec.endpoint === wish.endpoint;
			return isSame
				? Right({
					id, job: found, status: undefined, isNew: found.spec.createdTime === wish.createdTime,
				})
				: Left(invalidRequest(`the job key ${wish.jobKey} was used for another input`, {status: 409, code: 'job_key_reused'}));
		});
	}

	/** Reads a job of the account with its progress. */
	async readJob(account: Account, id: string): Promise<Either<ApiError, JobView>> {
		const job = await this.#read<BatchJob>('BatchJob', id);
		const status = job.isRight() ? await this.#readStatus(branded(id), job.extract()) : Right<JobStatus | undefined, ApiError>(undefined);
		return job.chain(found => found.spec.account === account.name
			? status.map(progress => ({id: branded<JobId>(id), job: found, status: progress}))
			: Left(platformError({kind: 'notFound'})));
	}

	/** Marks a job as cancelled. Repeats through races with other writers; an ended job stays as it is. */
	async cancelJob(account: Account, id: string, now: string): Promise<Either<ApiError, JobView>> {
		let isUnknown = false;
		for (let tries = 0; tries < storeTries; tries += 1) {
			const read = await this.readJob(account, id);
			const isDone = read.map(({job, status}) => job.spec.cancelled ?? status?.endedAt !== undefined).orDefault(true);
			if (isDone) {
				// A write whose answer was lost may have cancelled the job: when the object API fails after it, its caller must not hear that nothing was changed.
				return isUnknown ? read.mapLeft(() => cancellationUnknown) : read;
			}

			const written = await this.#writeCancelled(id, now);
			isUnknown ||= written.isLeft() && (written.extract()).kind === 'unknown';
		}

		const settled = await this.readJob(account, id);
		const failed = isUnknown ? cancellationUnknown : unavailable('the cancellation could not be stored, try again', comeBackMs);
		return settled.mapLeft(() => failed).chain(view => view.job.spec.cancelled ? Right(view) : Left(failed));
	}

	/**
	Jobs of an account, the newest first.

	@param after - The id of the last job of the page before.
	*/
	async listJobs(account: Account, {limit, after}: {limit: number; after?: string}): Promise<Either<ApiError, JobPage>> {
		const all = await this.#allJobs(account);
		if (all.isLeft()) {
			return Left(all.extract());
		}

		const jobs = all.unsafeCoerce().toSorted((a, b) => b.value.spec.createdTime.localeCompare(a.value.spec.createdTime) || a.name.localeCompare(b.name));
		const last = after === undefined ? undefined : jobs.findIndex(({name}) => name === after);
		if (last === -1) {
			// Where the next page begins is not known: begun anew, the list would show each job a second time.
			return Left(invalidRequest('there is no such job to go on after, read the list anew', {param: 'after', code: 'unknown_job'}));
		}

		const start = last === undefined ? 0 : last + 1;
		const page = jobs.slice(start, start + limit);
		const reads = new ConcurrencyLimit(maxStatusReads);
		const views = await Promise.all(page.map(async ({name, value}) => reads.run(async () => {
			const status = await this.#readStatus(branded(name), value);
			return status.map((progress): JobView => ({id: branded<JobId>(name), job: value, status: progress}));
		})));
		const failed = views.find(view => view.isLeft());
		return failed
			? Left(failed.extract())
			: Right({views: views.map(view => view.unsafeCoerce()), hasMore: start + limit < jobs.length});
	}

	/** The results of one chunk that the job's sealed list names; an error when one of its objects is gone. */
	async readResults(results: ResultPrefix, chunk: number): Promise<Either<ApiError, readonly ItemResult[]>> {
		const read = await this.#api.get<ChunkResult>('Result', resultName(results, chunk));
		if (read.isLeft()) {
			const err = read.extract();
			// The sealed list names it: passed over, the rest would look like the whole.
			return Left(err.kind === 'notFound' ? resultsLost : platformError(err));
		}

		const {value} = read.extract() as StoredObject<ChunkResult>;
		const parts = await Promise.all(value.parts.map(async name => this.#read<ResultPart>('ResultPart', name)));
		const lost = parts.find(part => part.isLeft());
		return lost
			? Left(lost.extract().status === notFoundStatus ? resultsLost : lost.extract())
			: Right([...value.items, ...parts.flatMap(part => (part.extract() as ResultPart).items)]);
	}

	async #writeCancelled(id: string, now: string): Promise<Either<PlatformError, unknown>> {
		const stored = await this.#api.get<BatchJob>('BatchJob', id);
		if (stored.isLeft()) {
			return stored;
		}

		const {value, version} = stored.extract() as StoredObject<BatchJob>;
		const next: BatchJob = {
			...value, metadata: {...value.metadata, generation: (value.metadata.generation ?? 1) + 1}, spec: {...value.spec, cancelled: true, cancelledTime: now},
		};
		return this.#api.update('BatchJob', id, next, version);
	}

	async #readStatus(id: JobId, {spec}: BatchJob): Promise<Either<ApiError, JobStatus | undefined>> {
		const status = await this.#api.get<JobStatus>('JobStatus', id);
		if (status.isLeft() && (status.extract()).kind === 'notFound') {
			return Right(undefined);
		}

		return status.map(({value}) => isStatusOfJob(value, spec) ? value : undefined).mapLeft(platformError);
	}

	async #read<T>(kind: ObjectKind, name: string): Promise<Either<ApiError, T>> {
		const read = await this.#api.get<T>(kind, name);
		this.#gate.note(read.isLeft() ? read.extract() : undefined);
		return read.mapLeft(platformError).chain(({value}) => wellFormed(kind, name, value));
	}

	async #allJobs(account: Account): Promise<Either<ApiError, Array<StoredObject<BatchJob>>>> {
		const jobs: Array<StoredObject<BatchJob>> = [];
		let more = true;
		while (more) {
			const read = await this.#api.list<BatchJob>('BatchJob', {prefix: jobIdPrefix(account), after: jobs.at(-1)?.name, limit: listPageSize});
			if (read.isLeft()) {
				return Left(platformError(read.extract()));
			}

			const page = read.extract() as ObjectPage<BatchJob>;
			jobs.push(...page.items);
			more = page.more;
		}

		// Two accounts may share the prefix.
		return Right(jobs.filter(({name, value}) => wellFormed('BatchJob', name, value).isRight() && value.spec.account === account.name));
	}

	async #setDeleted(account: Account, id: string, isDeleted: boolean): Promise<Either<ApiError, FileRecord>> {
		for (let tries = 0; tries < storeTries; tries += 1) {
			const read = await this.#api.get<FileRecord>('File', id);
			if (read.isLeft()) {
				return Left(platformError(read.extract()));
			}

			const {value, version} = read.extract() as StoredObject<FileRecord>;
			const next: FileRecord = {...value, isDeleted};
			const updated = value.isDeleted === isDeleted ? read : await this.#api.update('File', id, next, version);
			if (updated.isRight()) {
				return Right(next);
			}
		}

		return Left(unavailable('the file could not be changed, try again', comeBackMs));
	}

	// After an answer that was lost, the next create finds what the one before made.
	async #createOrRead<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, T>> {
		let isUnknown = false;
		for (let tries = 0; tries < storeTries; tries += 1) {
			const created = await this.#api.create(kind, name, value);
			if (created.isRight()) {
				this.#gate.note(undefined);
				return Right(value);
			}

			const err = created.extract() as PlatformError;
			this.#gate.note(err);
			if (err.kind === 'conflict') {
				return err.current ? wellFormed(kind, name, err.current.value as T) : this.#read<T>(kind, name);
			}

			isUnknown ||= err.kind === 'unknown';
			if (err.kind !== 'unknown') {
				return Left(isUnknown ? outcomeUnknown : platformError(err));
			}
		}

		return Left(outcomeUnknown);
	}
}
