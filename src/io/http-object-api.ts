/**
Client of the object API over HTTP. Conditional changes use ETag, If-Match and If-None-Match; watches use long polling.
*/
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Revision} from '../common/ids.js';
import type {ObjectApi} from '../common/services.js';
import type {
	ApiError, ListQuery, ObjectKind, ObjectPage, StoredObject, WatchBatch,
} from '../common/types.js';
import type {HttpClient} from './http-client.js';
import {
	failureOf, ObjectApiCalls, type ObjectApiAnswer, type ObjectApiCall, type ObjectApiOptions,
} from './object-api-calls.js';

/** Maximum size of a value in bytes. */
export const maxValueBytes = 1_048_576;

const parseJson = (text: string): unknown => text === '' ? {} : JSON.parse(text);

// Every response of the object API contains a version. After a VM was replaced, an unrelated server may respond at its address; such a response must not be taken for an empty list.
const hasVersion = (answer: unknown): boolean => typeof (answer as {version?: unknown} | null)?.version === 'number';

const requireList = <T>(answer: T, list: keyof T): Either<ApiError, T> => Array.isArray(answer[list])
	? Right(answer)
	: Left({kind: 'unavailable', reason: `an answer without ${String(list)}`});

const errorsByStatus: Record<number, (text: string) => ApiError> = {
	404: () => ({kind: 'notFound'}),
	410: () => ({kind: 'expired'}),
	412(text) {
		const current = parseJson(text) as Partial<StoredObject>;
		return current.version === undefined ? {kind: 'conflict'} : {kind: 'conflict', current: current as StoredObject};
	},
	413: () => ({kind: 'tooLarge', limitBytes: maxValueBytes}),
	503: text => ({kind: 'unavailable', reason: `503 ${text.slice(0, 100)}`}),
};

/** See {@link ObjectApi}. */
export class HttpObjectApi implements ObjectApi {
	readonly #calls: ObjectApiCalls;

	constructor(client: HttpClient, options: ObjectApiOptions) {
		this.#calls = new ObjectApiCalls(client, options);
	}

	async get<T>(kind: ObjectKind, name: string): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#call<StoredObject<T>>({method: 'GET', path: this.#path(kind, name), isChange: false});
	}

	async create<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#put(kind, name, value, {'if-none-match': '*'});
	}

	async update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#put(kind, name, value, {'if-match': `"${version}"`});
	}

	async remove(kind: ObjectKind, name: string, version?: Revision): Promise<Either<ApiError, Revision>> {
		const headers: Record<string, string> = version === undefined ? {} : {'if-match': `"${version}"`};
		const removed = await this.#call<{version: Revision}>({
			method: 'DELETE', path: this.#path(kind, name), headers, isChange: true,
		});
		return removed.map(answer => answer.version);
	}

	async list<T>(kind: ObjectKind, query: ListQuery = {}): Promise<Either<ApiError, ObjectPage<T>>> {
		const params = new URLSearchParams();
		params.set('prefix', query.prefix ?? '');
		params.set('after', query.after ?? '');
		params.set('limit', String(query.limit ?? 500));
		params.set('values', query.values === false ? '0' : '1');
		const page = await this.#call<ObjectPage<T>>({method: 'GET', path: `/v1/objects/${kind}?${params.toString()}`, isChange: false});
		return page.chain(answer => requireList(answer, 'items'));
	}

	async watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number): Promise<Either<ApiError, WatchBatch>> {
		const path = `/v1/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${waitMs}`;
		const batch = await this.#call<WatchBatch>({
			method: 'GET', path, waitMs, isChange: false,
		});
		return batch.chain(answer => requireList(answer, 'events'));
	}

	#path(kind: ObjectKind, name: string) {
		return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
	}

	async #put<T>(kind: ObjectKind, name: string, value: T, headers: Record<string, string>): Promise<Either<ApiError, StoredObject<T>>> {
		const body = JSON.stringify(value);
		if (Buffer.byteLength(body) > maxValueBytes) {
			return Left({kind: 'tooLarge', limitBytes: maxValueBytes});
		}

		const written = await this.#call<{version: Revision}>({
			method: 'PUT', path: this.#path(kind, name), headers, body, isChange: true,
		});
		return written.map(answer => ({
			kind, name, version: answer.version, value,
		}));
	}

	async #call<T>(call: ObjectApiCall): Promise<Either<ApiError, T>> {
		return this.#calls.call(call, answer => this.#interpret<T>(call, answer));
	}

	#interpret<T>(call: ObjectApiCall, {status, text}: ObjectApiAnswer): Either<ApiError, T> {
		if (status < 300) {
			const answer = parseJson(text);
			return hasVersion(answer) ? Right(answer as T) : Left(failureOf(call, {kind: 'lost', reason: `status ${status} without an answer`}));
		}

		const toError = errorsByStatus[status];
		// A status that the API contract does not define, such as 500 or 502, leaves open whether a change took effect.
		return Left(toError ? toError(text) : failureOf(call, {kind: 'lost', reason: `status ${status}`}));
	}
}
