/**
The routes for batch jobs: submit, show, list, cancel.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ServedModel} from '../../typings/resources.js';
import type {FileRecord} from '../common/batch-types.js';
import type {ConfigTable} from '../common/config-table.js';
import type {Clock, EventLog} from '../common/services.js';
import {readBody} from '../io/read-body.js';
import type {Route} from '../io/http-server.js';
import type {Account, Accounts} from './accounts.js';
import {invalidRequest, sendError, type ApiError} from './api-error.js';
import {batchEvents} from './batch-log-events.js';
import {batchObject} from './batch-view.js';
import type {JobStore} from './job-store.js';

/** What the batch routes are made of. */
export type BatchParts = {
	readonly accounts: Accounts;
	readonly config: ConfigTable;
	readonly store: JobStore;
	readonly clock: Clock;
	readonly log: EventLog;
};

type BatchBody = {
	input_file_id: string;
	endpoint: string;
	completion_window: string;
	metadata?: Record<string, string>;
};

const maxBodyBytes = 65_536;
const defaultListLimit = 20;
const maxListLimit = 100;
const defaultWindow = '24h';
const msPerHour = 3_600_000;
const windowPattern = /^(?<hours>\d{1,4})h$/v;

const parseBatch = (text: string): Either<ApiError, BatchBody> => {
	try {
		const body = JSON.parse(text) as Partial<Record<keyof BatchBody, unknown>> | undefined;
		return typeof body?.input_file_id === 'string' && typeof body.endpoint === 'string'
			? Right({...body, completion_window: body.completion_window ?? defaultWindow} as BatchBody)
			: Left(invalidRequest('input_file_id and endpoint must be strings', {param: 'input_file_id'}));
	} catch {
		return Left(invalidRequest('the body is not JSON', {code: 'invalid_json'}));
	}
};

/** Serves batch jobs. */
export class BatchRoutes {
	readonly #parts: BatchParts;

	constructor(parts: BatchParts) {
		this.#parts = parts;
	}

	get routes(): Route[] {
		return [
			{
				method: 'POST', pattern: /^\/v1\/batches$/v, handle: async (req, res) => this.#answer(req, res, async account => this.#submit(account, req)),
			},
			{
				method: 'GET', pattern: /^\/v1\/batches$/v, handle: async (req, res, {url}) => this.#answer(req, res, async account => this.#list(account, url.searchParams)),
			},
			{
				method: 'GET', pattern: /^\/v1\/batches\/(?<id>[^\/]+)$/v, handle: async (req, res, {params}) => this.#answer(req, res, async account => this.#show(account, params.id ?? '')),
			},
			{
				method: 'POST', pattern: /^\/v1\/batches\/(?<id>[^\/]+)\/cancel$/v, handle: async (req, res, {params}) => this.#answer(req, res, async account => this.#cancel(account, params.id ?? '')),
			},
		];
	}

	async #answer(req: IncomingMessage, res: ServerResponse, handle: (account: Account) => Promise<Either<ApiError, unknown>>) {
		const account = this.#parts.accounts.identify(req);
		const answer = account.isRight() ? await handle(account.extract()) : Left(account.extract() as ApiError);
		answer.caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right(value) {
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(value));
			},
		});
	}

	async #submit(account: Account, req: IncomingMessage): Promise<Either<ApiError, unknown>> {
		const bytes = await readBody(req, maxBodyBytes);
		const body = bytes
			.mapLeft(() => invalidRequest('the body is too large', {status: 413}))
			.chain(read => parseBatch((read).toString('utf8')));
		if (body.isLeft()) {
			return body;
		}

		const {ready} = this.#parts.store;
		if (ready.isLeft()) {
			return ready;
		}

		const wish = body.extract() as BatchBody;
		const file = await this.#parts.store.readFile(account, wish.input_file_id);
		const checked = file.chain(found => this.#check(wish, found));
		return checked.isLeft() ? checked : this.#accept(account, wish, req);
	}

	#check(wish: BatchBody, file: FileRecord): Either<ApiError, FileRecord> {
		if (file.endpoint !== wish.endpoint) {
			return Left(invalidRequest(`the items of the file go to ${file.endpoint}`, {param: 'endpoint'}));
		}

		if (!windowPattern.test(wish.completion_window)) {
			return Left(invalidRequest('completion_window must be a number of hours, for instance 24h', {param: 'completion_window'}));
		}

		return this.#parts.config.get<ServedModel>('ServedModel', file.model)
			? Right(file)
			: Left(invalidRequest(`the model ${file.model} does not exist`, {status: 404, code: 'model_not_found'}));
	}

	async #accept(account: Account, wish: BatchBody, req: IncomingMessage): Promise<Either<ApiError, unknown>> {
		const {store, clock, log} = this.#parts;
		const hours = Number(windowPattern.exec(wish.completion_window)?.groups?.hours);
		const key = req.headers['idempotency-key'] ?? wish.metadata?.job_key ?? wish.input_file_id;
		const accepted = await store.createJob(account, {
			jobKey: String(key),
			inputFileId: wish.input_file_id,
			endpoint: wish.endpoint,
			createdTime: new Date(clock.wall()).toISOString(),
			dueTime: new Date(clock.wall() + (hours * msPerHour)).toISOString(),
			clientMetadata: wish.metadata,
		});
		accepted.ifRight(({id, isNew}) => {
			log.emit(isNew ? batchEvents.jobAccepted : batchEvents.jobResent, {jobId: id, account: account.name});
		});
		return accepted.map(view => batchObject(view));
	}

	async #show(account: Account, id: string) {
		const job = await this.#parts.store.readJob(account, id);
		return job.map(view => batchObject(view));
	}

	async #list(account: Account, query: URLSearchParams) {
		const asked = Number(query.get('limit') ?? defaultListLimit);
		const limit = Math.max(1, Math.min(maxListLimit, Number.isInteger(asked) ? asked : defaultListLimit));
		const jobs = await this.#parts.store.listJobs(account, {limit, after: query.get('after') ?? undefined});
		return jobs.map(({views, hasMore}) => ({
			object: 'list', data: views.map(view => batchObject(view)), first_id: views.at(0)?.id ?? null, last_id: views.at(-1)?.id ?? null, has_more: hasMore,
		}));
	}

	async #cancel(account: Account, id: string) {
		const {store, clock, log} = this.#parts;
		const cancelled = await store.cancelJob(account, id, new Date(clock.wall()).toISOString());
		cancelled.ifRight(view => {
			log.emit(batchEvents.jobCancelled, {jobId: view.id, account: account.name});
		});
		return cancelled.map(view => batchObject(view));
	}
}
