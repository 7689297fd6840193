/**
Files and batch jobs in the object API, for the callers' routes.
*/
import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {BatchJob, BatchJobSpec} from '../../typings/resources.js';
import {
	resultName, type ChunkResult, type FileRecord, type ItemResult, type JobStatus, type ResultPart,
} from '../common/batch-types.js';
import {branded, type FileId, type JobId} from '../common/ids.js';
import type {ObjectApi} from '../common/services.js';
import type {ApiError as PlatformError, ObjectKind, StoredObject} from '../common/types.js';
import type {Account} from './accounts.js';
import {invalidRequest, unavailable, type ApiError} from './api-error.js';
import type {PackedFile} from './item-packer.js';

/** A job with its progress; none yet when no coordinator has taken it up. */
export type JobView = {readonly id: JobId; readonly job: BatchJob; readonly status: JobStatus | undefined};

/** What a client asks for when it submits a job. */
export type JobWish = Pick<BatchJobSpec, 'inputFileId' | 'endpoint' | 'dueTime' | 'createdTime' | 'clientMetadata'> & {readonly jobKey: string};

const comeBackMs = 5000;
const hashLength = 32;
const storeTries = 3;

const hashOf = (...parts: readonly string[]) => createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, hashLength);

const platformError = (err: PlatformError): ApiError => err.kind === 'notFound'
	? invalidRequest('no such object', {status: 404, code: 'not_found'})
	: unavailable('the platform\'s object API does not answer; nothing was accepted', comeBackMs);

/** Reads and writes files and jobs. */
export class JobStore {
	readonly #api: ObjectApi;

	constructor(api: ObjectApi) {
		this.#api = api;
	}

	/** Records a packed file. The same content of the same account is the same file. */
	async createFile(account: Account, packed: PackedFile, options: {filename: string; bytes: number; createdAt: number}): Promise<Either<ApiError, FileRecord>> {
		const id: FileId = branded(`file-${hashOf(account.name, packed.digest)}`);
		const {digest: _, ...content} = packed;
		return this.#createOrRead<FileRecord>('File', id, {
			id, account: account.name, purpose: 'batch', ...options, ...content,
		});
	}

	/** Reads a file of the account; others' files are not found. */
	async readFile(account: Account, id: string): Promise<Either<ApiError, FileRecord>> {
		const read = await this.#read<FileRecord>('File', id);
		return read.chain(file => file.account === account.name ? Right(file) : Left(platformError({kind: 'notFound'})));
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
		const id: JobId = branded(`batch_${hashOf(account.name, wish.jobKey)}`);
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
		const status = job.isRight() ? await this.#readStatus(branded(id)) : Right<JobStatus | undefined, ApiError>(undefined);
		return job.chain(found => found.spec.account === account.name
			? status.map(progress => ({id: branded<JobId>(id), job: found, status: progress}))
			: Left(platformError({kind: 'notFound'})));
	}

	/** Marks a job as cancelled. Repeats through races with other writers; an ended job stays as it is. */
	async cancelJob(account: Account, id: string, now: string): Promise<Either<ApiError, JobView>> {
		for (let tries = 0; tries < storeTries; tries += 1) {
			const read = await this.readJob(account, id);
			const stored = await this.#api.get<BatchJob>('BatchJob', id);
			const isDone = read.map(({job, status}) => job.spec.cancelled ?? status?.endedAt !== undefined).orDefault(true);
			if (isDone || stored.isLeft()) {
				return read;
			}

			const {value, version} = stored.extract() as StoredObject<BatchJob>;
			const next: BatchJob = {
				...value, metadata: {...value.metadata, generation: (value.metadata.generation ?? 1) + 1}, spec: {...value.spec, cancelled: true, cancelledTime: now},
			};
			await this.#api.update('BatchJob', id, next, version);
		}

		const settled = await this.readJob(account, id);
		return settled.chain(view => view.job.spec.cancelled ? Right(view) : Left(unavailable('the cancellation could not be stored, try again', comeBackMs)));
	}

	/** Jobs of an account, in no particular order. */
	async listJobs(account: Account, limit: number): Promise<Either<ApiError, JobView[]>> {
		const page = await this.#api.list<BatchJob>('BatchJob', {limit: 1000});
		const own = page.map(({items}) => items.filter(({value}) => value.spec.account === account.name).slice(0, limit)).mapLeft(platformError);
		if (own.isLeft()) {
			return Left(own.extract());
		}

		const views = await Promise.all((own.extract() as Array<StoredObject<BatchJob>>).map(async ({name, value}) => {
			const status = await this.#readStatus(branded(name));
			return {id: branded<JobId>(name), job: value, status: status.orDefault(undefined)};
		}));
		return Right(views);
	}

	/** The results of one chunk; empty when it has none. */
	async readResults(jobId: JobId, chunk: number): Promise<Either<ApiError, readonly ItemResult[]>> {
		const read = await this.#api.get<ChunkResult>('Result', resultName(jobId, chunk));
		if (read.isLeft()) {
			const err = read.extract();
			return err.kind === 'notFound' ? Right([]) : Left(platformError(err));
		}

		const {value} = read.extract() as StoredObject<ChunkResult>;
		const parts = await Promise.all(value.parts.map(async name => this.#read<ResultPart>('ResultPart', name)));
		const lost = parts.find(part => part.isLeft());
		return lost
			? Left(lost.extract())
			: Right([...value.items, ...parts.flatMap(part => (part.extract() as ResultPart).items)]);
	}

	async #readStatus(id: JobId): Promise<Either<ApiError, JobStatus | undefined>> {
		const status = await this.#api.get<JobStatus>('JobStatus', id);
		if (status.isLeft() && (status.extract()).kind === 'notFound') {
			return Right(undefined);
		}

		return status.map(({value}) => value).mapLeft(platformError);
	}

	async #read<T>(kind: ObjectKind, name: string): Promise<Either<ApiError, T>> {
		const read = await this.#api.get<T>(kind, name);
		return read.map(({value}) => value).mapLeft(platformError);
	}

	// An answer that was lost after the change is met by trying again: the create then finds what it made.
	async #createOrRead<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, T>> {
		let err: PlatformError = {kind: 'unavailable', reason: ''};
		for (let tries = 0; tries < storeTries; tries += 1) {
			const created = await this.#api.create(kind, name, value);
			if (created.isRight()) {
				return Right(value);
			}

			err = created.extract() as PlatformError;
			if (err.kind === 'conflict') {
				return err.current ? Right(err.current.value as T) : this.#read<T>(kind, name);
			}
		}

		return Left(platformError(err));
	}
}
