/**
The routes for files: uploads of batch inputs, and the contents of inputs, outputs and errors. Outputs are put together from the chunks' results as they are read.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import {resultPrefix, type FileRecord, type ItemResult} from '../common/batch-types.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {Route} from '../io/http-server.js';
import type {Account, Accounts} from './accounts.js';
import {invalidRequest, sendError, type ApiError} from './api-error.js';
import {parseResultFileId} from './batch-view.js';
import type {PackLimits} from './item-packer.js';
import type {JobStore} from './job-store.js';
import {receiveUpload} from './upload-receiver.js';

/** What the file routes are made of. */
export type FileParts = {
	readonly accounts: Accounts;
	readonly store: JobStore;
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly limits: PackLimits;
};

const isFailed = (result: ItemResult) => result.error !== null || (result.response?.status_code ?? 0) >= 400;

const fileObject = (file: Pick<FileRecord, 'id' | 'bytes' | 'createdAt' | 'filename'>, purpose: string) => ({
	id: file.id, object: 'file', bytes: file.bytes, created_at: file.createdAt, filename: file.filename, purpose, status: 'processed',
});

// The client may go away instead; either listener must go with the other, for a large file is waited for thousands of times.
const drained = async (res: ServerResponse): Promise<void> => new Promise(resolve => {
	const finish = () => {
		res.off('drain', finish).off('close', finish);
		resolve();
	};

	res.on('drain', finish).on('close', finish);
});

/** Serves files. */
export class FileRoutes {
	readonly #parts: FileParts;

	constructor(parts: FileParts) {
		this.#parts = parts;
	}

	get routes(): Route[] {
		return [
			{
				method: 'POST', pattern: /^\/v1\/files$/v, isStreamed: true, handle: async (req, res) => this.#withAccount(req, res, async account => this.#upload(account, req, res)),
			},
			{
				method: 'GET', pattern: /^\/v1\/files\/(?<id>[^\/]+)$/v, handle: async (req, res, {params}) => this.#withAccount(req, res, async account => this.#show(account, params.id ?? '', res)),
			},
			{
				method: 'DELETE', pattern: /^\/v1\/files\/(?<id>[^\/]+)$/v, handle: async (req, res, {params}) => this.#withAccount(req, res, async account => this.#delete(account, params.id ?? '', res)),
			},
			{
				method: 'GET', pattern: /^\/v1\/files\/(?<id>[^\/]+)\/content$/v, handle: async (req, res, {params}) => this.#withAccount(req, res, async account => this.#content(account, params.id ?? '', res)),
			},
		];
	}

	async #withAccount(req: IncomingMessage, res: ServerResponse, handle: (account: Account) => Promise<void>) {
		const account = this.#parts.accounts.identify(req);
		if (account.isLeft()) {
			sendError(res, account.extract());
			return;
		}

		await handle(account.extract() as Account);
	}

	async #upload(account: Account, req: IncomingMessage, res: ServerResponse) {
		const {ready} = this.#parts.store;
		if (ready.isLeft()) {
			req.resume();
			sendError(res, ready.extract());
			return;
		}

		const upload = await receiveUpload(req, this.#parts);
		const {bytes, filename} = upload;
		const createdAt = Math.floor(this.#parts.clock.wall() / 1000);
		const stored = upload.packed.isRight()
			? await this.#parts.store.createFile(account, upload.packed.extract(), {filename, bytes, createdAt})
			: Left<ApiError, FileRecord>(upload.packed.extract() as ApiError);
		stored.caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right(file) {
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(fileObject(file, 'batch')));
			},
		});
	}

	async #show(account: Account, id: string, res: ServerResponse) {
		const result = parseResultFileId(id);
		const shown = result
			? await this.#parts.store.readJob(account, result.jobId).then(job => job.map(({status}) => fileObject({
				id: result.id, bytes: 0, createdAt: status?.endedAt ?? 0, filename: `${result.id}.jsonl`,
			}, 'batch_output')))
			: await this.#parts.store.readFile(account, id).then(file => file.map(found => fileObject(found, 'batch')));
		shown.caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right(file) {
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(file));
			},
		});
	}

	async #delete(account: Account, id: string, res: ServerResponse) {
		const deleted = parseResultFileId(id)
			? Left<ApiError, FileRecord>(invalidRequest('the files of results are removed with their job', {status: 409, code: 'result_file'}))
			: await this.#parts.store.deleteFile(account, id);
		deleted.caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right(file) {
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({id: file.id, object: 'file', deleted: true}));
			},
		});
	}

	async #content(account: Account, id: string, res: ServerResponse) {
		const result = parseResultFileId(id);
		const chunks = result ? await this.#resultLines(account, result) : await this.#inputLines(account, id);
		if (chunks.isLeft()) {
			sendError(res, chunks.extract());
			return;
		}

		await this.#stream(chunks.extract() as LineSource[], res);
	}

	async #inputLines(account: Account, id: string): Promise<Either<ApiError, LineSource[]>> {
		const file = await this.#parts.store.readFile(account, id);
		return file.map(({chunks}) => chunks.map(({name}) => async () => {
			const chunk = await this.#parts.store.readInput(name);
			return chunk.map(({items}) => items);
		}));
	}

	async #resultLines(account: Account, {jobId, isErrors}: {jobId: FileOfJob['jobId']; isErrors: boolean}): Promise<Either<ApiError, LineSource[]>> {
		const job = await this.#parts.store.readJob(account, jobId);
		return job.chain(({status, job: {spec}}) => {
			if (status?.sealedChunks === undefined) {
				return Left(invalidRequest('the job has not ended', {status: 404, code: 'not_found'}));
			}

			return Right(status.sealedChunks.map(chunk => async () => {
				const results = await this.#parts.store.readResults(resultPrefix(jobId, spec), chunk);
				return results.map(items => items.filter(item => isFailed(item) === isErrors));
			}));
		});
	}

	// A chunk that can not be read cuts the response off: a client must not take a part for the whole.
	async #stream(sources: readonly LineSource[], res: ServerResponse) {
		for (const source of sources) {
			const lines = await source();
			if (lines.isLeft()) {
				this.#cut(res, lines.extract());
				return;
			}

			if (!res.headersSent) {
				res.writeHead(200, {'content-type': 'application/jsonl'});
			}

			const text = (lines.extract() as readonly unknown[]).map(line => `${JSON.stringify(line)}\n`).join('');
			if (!res.write(text) && !res.destroyed) {
				await drained(res);
			}
		}

		res.end();
	}

	#cut(res: ServerResponse, err: ApiError) {
		if (res.headersSent) {
			res.destroy();
			return;
		}

		sendError(res, err);
	}
}

type FileOfJob = NonNullable<ReturnType<typeof parseResultFileId>>;
type LineSource = () => Promise<Either<ApiError, readonly unknown[]>>;

