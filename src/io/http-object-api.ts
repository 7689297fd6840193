/**
The object API over HTTP: ETag, If-Match and If-None-Match for conditional changes, long polls for watches.
*/
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Revision} from '../common/ids.js';
import type {ObjectApi} from '../common/services.js';
import type {
	ApiError, ListQuery, ObjectKind, ObjectPage, StoredObject, WatchBatch,
} from '../common/types.js';
import type {HttpClient, HttpFailure, HttpResponse} from './http-client.js';

/** Where the object API is and how long to wait for it. */
export type HttpObjectApiOptions = {
	/** `ip:port`. */
	readonly address: string;
	/** Milliseconds for one call; a watch may take its own waiting time on top. */
	readonly timeoutMs: number;
};

/** The largest value the object API holds, in bytes. */
export const maxValueBytes = 1_048_576;

type Answer = {readonly res: HttpResponse; readonly text: string};

const readFailure = (failure: HttpFailure): ApiError => ({kind: 'unavailable', reason: failure.reason});

// A change whose answer did not come may have taken effect; only a connection that was never made excludes it.
const changeFailure = (failure: HttpFailure): ApiError => failure.kind === 'notSent'
	? {kind: 'unavailable', reason: failure.reason}
	: {kind: 'unknown', reason: failure.reason};

const parsed = (text: string): unknown => text === '' ? {} : JSON.parse(text);

// Every answer of the object API bears a version. After a VM was replaced, its address may answer with anything; such an answer must not pass for a list without items.
const isAnswer = (answer: unknown): boolean => typeof (answer as {version?: unknown} | null)?.version === 'number';

const withList = <T>(answer: T, list: keyof T): Either<ApiError, T> => Array.isArray(answer[list])
	? Right(answer)
	: Left({kind: 'unavailable', reason: `an answer without ${String(list)}`});

const errorsByStatus: Record<number, (text: string) => ApiError> = {
	404: () => ({kind: 'notFound'}),
	410: () => ({kind: 'expired'}),
	412(text) {
		const current = parsed(text) as Partial<StoredObject>;
		return current.version === undefined ? {kind: 'conflict'} : {kind: 'conflict', current: current as StoredObject};
	},
	413: () => ({kind: 'tooLarge', limitBytes: maxValueBytes}),
	503: text => ({kind: 'unavailable', reason: `503 ${text.slice(0, 100)}`}),
};

/** See {@link ObjectApi}. */
export class HttpObjectApi implements ObjectApi {
	readonly #client: HttpClient;
	readonly #options: HttpObjectApiOptions;

	constructor(client: HttpClient, options: HttpObjectApiOptions) {
		this.#client = client;
		this.#options = options;
	}

	async get<T>(kind: ObjectKind, name: string): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#call<StoredObject<T>>('GET', this.#path(kind, name), readFailure);
	}

	async create<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#put(kind, name, value, {'if-none-match': '*'});
	}

	async update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#put(kind, name, value, {'if-match': `"${version}"`});
	}

	async remove(kind: ObjectKind, name: string, version?: Revision): Promise<Either<ApiError, Revision>> {
		const headers: Record<string, string> = version === undefined ? {} : {'if-match': `"${version}"`};
		const removed = await this.#call<{version: Revision}>('DELETE', this.#path(kind, name), changeFailure, {headers});
		return removed.map(answer => answer.version);
	}

	async list<T>(kind: ObjectKind, query: ListQuery = {}): Promise<Either<ApiError, ObjectPage<T>>> {
		const params = new URLSearchParams();
		params.set('prefix', query.prefix ?? '');
		params.set('after', query.after ?? '');
		params.set('limit', String(query.limit ?? 500));
		params.set('values', query.values === false ? '0' : '1');
		const page = await this.#call<ObjectPage<T>>('GET', `/v1/objects/${kind}?${params.toString()}`, readFailure);
		return page.chain(answer => withList(answer, 'items'));
	}

	async watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number): Promise<Either<ApiError, WatchBatch>> {
		const path = `/v1/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${waitMs}`;
		const batch = await this.#call<WatchBatch>('GET', path, readFailure, {extraMs: waitMs});
		return batch.chain(answer => withList(answer, 'events'));
	}

	#path(kind: ObjectKind, name: string) {
		return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
	}

	async #put<T>(kind: ObjectKind, name: string, value: T, headers: Record<string, string>): Promise<Either<ApiError, StoredObject<T>>> {
		const body = JSON.stringify(value);
		if (Buffer.byteLength(body) > maxValueBytes) {
			return Left({kind: 'tooLarge', limitBytes: maxValueBytes});
		}

		const written = await this.#call<{version: Revision}>('PUT', this.#path(kind, name), changeFailure, {headers, body});
		return written.map(answer => ({
			kind, name, version: answer.version, value,
		}));
	}

	async #call<T>(
		method: string,
		path: string,
		onFailure: (failure: HttpFailure) => ApiError,
		options: {headers?: Record<string, string>; body?: string; extraMs?: number} = {},
	): Promise<Either<ApiError, T>> {
		const timeoutMs = this.#options.timeoutMs + (options.extraMs ?? 0);
		const abort = AbortSignal.timeout(timeoutMs + this.#options.timeoutMs);
		const sent = await this.#client.send({
			address: this.#options.address,
			method,
			path,
			headers: {'content-type': 'application/json', ...options.headers},
			body: options.body,
			timeoutMs,
			signal: abort,
		});
		if (sent.isLeft()) {
			// A silent connection is not used again: the next call must be able to succeed.
			this.#client.renew(this.#options.address);
			return Left(onFailure(sent.extract()));
		}

		return this.#read<T>(sent.extract() as HttpResponse, onFailure);
	}

	async #read<T>(res: HttpResponse, onFailure: (failure: HttpFailure) => ApiError): Promise<Either<ApiError, T>> {
		try {
			const answer: Answer = {res, text: await res.body.text()};
			return this.#interpret<T>(answer, onFailure);
		} catch (err) {
			return Left(onFailure({kind: 'lost', reason: String(err)}));
		}
	}

	#interpret<T>({res, text}: Answer, onFailure: (failure: HttpFailure) => ApiError): Either<ApiError, T> {
		if (res.status < 300) {
			const answer = parsed(text);
			return isAnswer(answer) ? Right(answer as T) : Left(onFailure({kind: 'lost', reason: `status ${res.status} without an answer`}));
		}

		const toError = errorsByStatus[res.status];
		// A status that the contract does not name, a 500 or 502 for instance, says nothing of whether a change took effect.
		return Left(toError ? toError(text) : onFailure({kind: 'lost', reason: `status ${res.status}`}));
	}
}
