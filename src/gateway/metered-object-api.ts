/**
Counts and times the calls to an object API. Each call costs the operators money and counts toward a rate that grows more slowly than the fleet, and an outage shows first in the outcomes.
*/
import type {Either} from 'purify-ts/Either';
import {errorOf} from '../common/error-of.js';
import type {Revision} from '../common/ids.js';
import type {Clock, Metrics, ObjectApi} from '../common/services.js';
import type {
	ApiError, ListQuery, ObjectKind, ObjectPage, ReadOptions, StoredObject, WatchBatch,
} from '../common/types.js';

type Operation = 'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

/** Decorates an object API with metrics. */
export class MeteredObjectApi implements ObjectApi {
	readonly #api: ObjectApi;
	readonly #metrics: Metrics;
	readonly #clock: Clock;

	constructor(api: ObjectApi, metrics: Metrics, clock: Clock) {
		this.#api = api;
		this.#metrics = metrics;
		this.#clock = clock;
	}

	async get<T>(kind: ObjectKind, name: string, options?: ReadOptions): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#measure('get', kind, async () => this.#api.get(kind, name, options));
	}

	async create<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#measure('create', kind, async () => this.#api.create(kind, name, value));
	}

	async update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#measure('update', kind, async () => this.#api.update(kind, name, value, version));
	}

	async remove(kind: ObjectKind, name: string, version?: Revision): Promise<Either<ApiError, Revision>> {
		return this.#measure('remove', kind, async () => this.#api.remove(kind, name, version));
	}

	async list<T>(kind: ObjectKind, query?: ListQuery): Promise<Either<ApiError, ObjectPage<T>>> {
		return this.#measure('list', kind, async () => this.#api.list(kind, query));
	}

	async watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number, options?: ReadOptions): Promise<Either<ApiError, WatchBatch>> {
		return this.#measure('watch', kinds.join('+'), async () => this.#api.watch(kinds, since, waitMs, options));
	}

	async #measure<T>(operation: Operation, kind: string, call: () => Promise<Either<ApiError, T>>): Promise<Either<ApiError, T>> {
		const startedAt = this.#clock.now();
		const outcome = await call();
		this.#metrics.count('gateway.objectApiCalls', 1, {operation, kind, outcome: errorOf(outcome)?.kind ?? 'done'});
		if (operation !== 'watch') {
			// A watch waits by design, which would hide a slow object API.
			this.#metrics.timing('gateway.objectApiCall', this.#clock.now() - startedAt, {operation});
		}

		return outcome;
	}
}
