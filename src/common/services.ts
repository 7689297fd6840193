/**
Interfaces to everything outside the core: the platform, the backend servers, time, randomness and the log. They are injected into the core, so that tests use fakes and another platform needs only one adapter.
*/
import type {Either} from 'purify-ts/Either';
import type {
	ApiError, EventDefinition, ListQuery, LogFields, ObjectKind, ObjectPage, ReadOptions, StoredObject, VmEntry, WatchBatch,
} from './types.js';
import type {Revision} from './ids.js';

/** An object that holds resources. Disposing of it twice is harmless. */
export type Disposable = {
	dispose(): void;
};

/** A clock. Deadlines use `now`, which clock adjustments do not change; `wall` is for times that people and other nodes read. */
export type Clock = {
	/** Milliseconds on a monotonic clock with an arbitrary start. */
	now(): number;
	/** Milliseconds since 1970-01-01 UTC. */
	wall(): number;
	/** Resolves after `ms` milliseconds. Does not keep the process alive. */
	sleep(ms: number): Promise<void>;
};

/** A source of random numbers, injected so that a decision can be replayed. */
export type RandomSource = {
	/** A number in [0, 1). */
	next(): number;
};

/** The numbered log. Every event must be in a `log-events.ts` catalogue. */
export type EventLog = {
	emit(event: EventDefinition, fields?: LogFields): void;
};

/** Counters, gauges and timings. Names are listed in docs/OPERATIONS.md. */
export type Metrics = {
	count(name: string, value?: number, tags?: Readonly<Record<string, string>>): void;
	gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
	/** @param ms - Milliseconds. */
	timing(name: string, ms: number, tags?: Readonly<Record<string, string>>): void;
};

/**
The platform's object API: versions, conditional updates and watches.

Every call may fail as `unavailable` (not carried out) or as `unknown` (the change may have taken effect); the caller of a change reads back after `unknown`.
*/
export type ObjectApi = {
	get<T>(kind: ObjectKind, name: string, options?: ReadOptions): Promise<Either<ApiError, StoredObject<T>>>;
	/** Fails as `conflict` when the name exists. */
	create<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, StoredObject<T>>>;
	/** Fails as `conflict` unless the object is at `version`. */
	update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Either<ApiError, StoredObject<T>>>;
	/** Fails as `conflict` when `version` is given and is not the object's. */
	remove(kind: ObjectKind, name: string, version?: Revision): Promise<Either<ApiError, Revision>>;
	list<T>(kind: ObjectKind, query?: ListQuery): Promise<Either<ApiError, ObjectPage<T>>>;
	/** Waits up to `waitMs` for changes after `since`. Fails as `expired` when `since` is too old: the caller lists, then watches from there. */
	watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number, options?: ReadOptions): Promise<Either<ApiError, WatchBatch>>;
};

/** The platform's list of VMs. It lags behind the actual state. */
export type VmList = {
	read(): Promise<Either<ApiError, readonly VmEntry[]>>;
};
