/**
A client of the object API that falls back to a peer. The object API may reject some processes, or be partitioned from them, while it serves the others; a process that cannot reach it relays its calls through a peer that can, and so continues to accept jobs, write results and receive changes. A call is relayed at most once.
*/
import {EventEmitter} from 'node:events';
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {Revision} from '../../common/ids.js';
import type {
	Clock, Disposable, EventLog, ObjectApi, RandomSource,
} from '../../common/services.js';
import type {
	ApiError, ListQuery, ObjectKind, ObjectPage, ReadOptions, StoredObject, WatchBatch,
} from '../../common/types.js';
import type {RpcClient, RpcFailure} from '../../io/rpc-client.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectApiAnswer, ObjectApiReachability} from '../object-api-reachability.js';

/** Name of the RPC method between processes. */
export const objectCallMethod = 'gateway.objectCall';

/** A call of the object API, as it is sent to a peer. */
export type ObjectCall
	= | {readonly operation: 'get'; readonly kind: ObjectKind; readonly name: string; readonly options?: ReadOptions}
		| {readonly operation: 'create'; readonly kind: ObjectKind; readonly name: string; readonly value: unknown}
		| {readonly operation: 'update'; readonly kind: ObjectKind; readonly name: string; readonly value: unknown; readonly version: Revision}
		| {readonly operation: 'remove'; readonly kind: ObjectKind; readonly name: string; readonly version?: Revision}
		| {readonly operation: 'list'; readonly kind: ObjectKind; readonly query?: ListQuery}
		| {readonly operation: 'watch'; readonly kind: ObjectKind; readonly since: Revision; readonly waitMs: number; readonly options?: ReadOptions};

/** A peer's answer: the result of the call, or its error. */
export type ObjectCallAnswer
	= | {readonly isDone: true; readonly value: unknown}
		| {readonly isDone: false; readonly err: ApiError};

type Operations = {readonly [K in ObjectCall['operation']]: (api: ObjectApi, call: Extract<ObjectCall, {operation: K}>) => Promise<Either<ApiError, unknown>>};

const operations: Operations = {
	get: async (api, {kind, name, options}) => api.get(kind, name, options),
	create: async (api, {kind, name, value}) => api.create(kind, name, value),
	update: async (api, {kind, name, value, version}) => api.update(kind, name, value, version),
	remove: async (api, {kind, name, version}) => api.remove(kind, name, version),
	list: async (api, {kind, query}) => api.list(kind, query),
	watch: async (api, {
		kind, since, waitMs, options,
	}) => api.watch([kind], since, waitMs, options),
};

const perform = async (api: ObjectApi, call: ObjectCall): Promise<Either<ApiError, unknown>> =>
	(operations[call.operation] as (api: ObjectApi, call: ObjectCall) => Promise<Either<ApiError, unknown>>)(api, call);

/** Makes a peer's call directly at the object API; a relayed call is never relayed again. */
export const answerObjectCall = async (direct: ObjectApi, call: ObjectCall): Promise<ObjectCallAnswer> => {
	const outcome = await perform(direct, call);
	return outcome.caseOf<ObjectCallAnswer>({
		Left: err => ({isDone: false, err}),
		Right: value => ({isDone: true, value}),
	});
};

/** Dependencies of the relay. */
export type ObjectRelayParts = {
	/** The object API itself. */
	readonly direct: ObjectApi;
	readonly rpc: RpcClient;
	/** Addresses at which peers that reach the object API accept calls, as `ip:port`. */
	readonly peerAddresses: () => readonly string[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
};

/** Timeout of a relayed call, in milliseconds, in addition to the time for which the call itself waits: the peer answers only after its own call of the object API. */
const relayTimeoutMs = 1000;

/** Interval, in milliseconds, at which the object API itself is tried while calls are relayed through peers. Each attempt counts as a call of the object API, so a shorter interval has its cost. */
const probeIntervalMs = 500;

const changeOperations = new Set<ObjectCall['operation']>(['create', 'update', 'remove']);

const isUnavailable = ({kind}: ApiError): boolean => kind === 'unavailable' || kind === 'unknown';

const errorOfFailure = ({operation}: ObjectCall, failure: RpcFailure): ApiError => changeOperations.has(operation) && failure.kind !== 'notSent'
	? {kind: 'unknown', reason: `peer: ${failure.reason}`}
	: {kind: 'unavailable', reason: `peer: ${failure.reason}`};

/** Whether the call may be answered from a copy that lags. Such copies are served even while the object API itself accepts no changes. */
const mayLag = (call: ObjectCall): boolean => 'options' in call && call.options?.mayLag === true;

/** See the module's head. */
export class ObjectRelay implements ObjectApi, ObjectApiReachability, Disposable {
	readonly #parts: ObjectRelayParts;
	readonly #events = new EventEmitter();
	#answeredAt = -Infinity;
	/** See {@link ObjectApiAnswer.failedCallAt}. */
	#failedCallAt: number | undefined;
	/** The same, but not reset by an answer. */
	#lastFailedCallAt: number | undefined;
	#isDirect = true;
	#probe: NodeJS.Timeout | undefined;
	#lastAttemptAt = -Infinity;
	#isDisposed = false;

	constructor(parts: ObjectRelayParts) {
		this.#parts = parts;
	}

	/** Whether the object API itself answered the last call to it. */
	get isDirect(): boolean {
		return this.#isDirect;
	}

	get lastFailedCallAt(): number | undefined {
		return this.#isDirect ? undefined : this.#lastFailedCallAt;
	}

	/** Calls the listener with each answer of the object API, direct or relayed. Answers that may come from a copy that lags are not reported. */
	onAnswer(listener: (answer: ObjectApiAnswer) => void): void {
		this.#events.on('answer', listener);
	}

	async get<T>(kind: ObjectKind, name: string, options?: ReadOptions): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#call({
			operation: 'get', kind, name, options,
		});
	}

	async create<T>(kind: ObjectKind, name: string, value: T): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#call({
			operation: 'create', kind, name, value,
		});
	}

	async update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Either<ApiError, StoredObject<T>>> {
		return this.#call({
			operation: 'update', kind, name, value, version,
		});
	}

	async remove(kind: ObjectKind, name: string, version?: Revision): Promise<Either<ApiError, Revision>> {
		return this.#call({
			operation: 'remove', kind, name, version,
		});
	}

	async list<T>(kind: ObjectKind, query?: ListQuery): Promise<Either<ApiError, ObjectPage<T>>> {
		return this.#call({operation: 'list', kind, query});
	}

	async watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number, options?: ReadOptions): Promise<Either<ApiError, WatchBatch>> {
		const [kind] = kinds;
		return kind === undefined || kinds.length > 1
			? Left({kind: 'unavailable', reason: 'a watch takes one kind per call'})
			: this.#call({
				operation: 'watch', kind, since, waitMs, options,
			});
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#probe);
	}

	async #call<T>(call: ObjectCall): Promise<Either<ApiError, T>> {
		const outcome = await this.#send<T>(call);
		if (outcome.isRight() && !mayLag(call)) {
			this.#noteAnswer();
		}

		return outcome;
	}

	async #send<T>(call: ObjectCall): Promise<Either<ApiError, T>> {
		if (!this.#isDirect) {
			return this.#relay<T>(call);
		}

		const outcome = await this.#perform(call);
		const err = errorOf(outcome);
		if (!err || !isUnavailable(err)) {
			return outcome as Either<ApiError, T>;
		}

		this.#noteFailure(call, err);
		// A change that may have taken effect is not retried here: only its caller knows whether a repetition is harmless.
		return err.kind === 'unknown' || this.#isDirect ? Left(err) : this.#relay<T>(call);
	}

	/** Without a peer to relay through, calls the object API itself, but no more often than the probes do. In an outage each feed of each process would otherwise call it several times a second to no effect. */
	async #callDirectly<T>(call: ObjectCall): Promise<Either<ApiError, T>> {
		const {clock} = this.#parts;
		if (clock.now() - this.#lastAttemptAt < probeIntervalMs) {
			return Left({kind: 'unavailable', reason: 'neither the object API nor a peer that reaches it answers'});
		}

		this.#lastAttemptAt = clock.now();
		const outcome = await this.#perform(call);
		return outcome as Either<ApiError, T>;
	}

	/** Calls the object API itself, and records when a failed call began. */
	async #perform(call: ObjectCall): Promise<Either<ApiError, unknown>> {
		const {direct, clock} = this.#parts;
		const calledAt = clock.now();
		const outcome = await perform(direct, call);
		const err = errorOf(outcome);
		if (err && isUnavailable(err) && call.operation !== 'watch') {
			this.#failedCallAt = Math.max(calledAt, this.#failedCallAt ?? calledAt);
			this.#lastFailedCallAt = Math.max(calledAt, this.#lastFailedCallAt ?? calledAt);
		}

		return outcome;
	}

	async #relay<T>(call: ObjectCall): Promise<Either<ApiError, T>> {
		const {peerAddresses, random, rpc} = this.#parts;
		const addresses = peerAddresses();
		const address = addresses[Math.floor(random.next() * addresses.length)];
		if (address === undefined) {
			return this.#callDirectly(call);
		}

		const timeoutMs = relayTimeoutMs + ('waitMs' in call ? call.waitMs : 0);
		const answered = await rpc.call<ObjectCallAnswer>({address, timeoutMs}, objectCallMethod, call);
		return answered.caseOf<Either<ApiError, T>>({
			Left: failure => Left(errorOfFailure(call, failure)),
			Right: answer => answer.isDone ? Right(answer.value as T) : Left(answer.err),
		});
	}

	/** A watch also fails when only its connection breaks, so a failed watch triggers a probe; any other failed call shows that the object API does not answer. */
	#noteFailure({operation}: ObjectCall, err: ApiError) {
		if (!this.#isDirect || this.#probe !== undefined) {
			return;
		}

		if (operation === 'watch') {
			this.#probeAfter(0, err);
			return;
		}

		this.#switchToPeers(err);
	}

	/** @param calledAt - When the failed call began. The next attempt is timed from there, so that the end of an outage is detected as soon after a call without an answer as after a rejected one. */
	#switchToPeers(err: ApiError, calledAt = this.#parts.clock.now()) {
		const {clock} = this.#parts;
		this.#lastAttemptAt = clock.now();
		if (this.#isDirect) {
			this.#isDirect = false;
			this.#parts.log.emit(gatewayEvents.objectApiRelayed, {reason: 'reason' in err ? err.reason : err.kind, peers: this.#parts.peerAddresses().length});
		}

		this.#probeAfter(Math.max(0, calledAt + probeIntervalMs - clock.now()), err);
	}

	#probeAfter(ms: number, cause: ApiError) {
		clearTimeout(this.#probe);
		if (this.#isDisposed) {
			return;
		}

		this.#probe = setTimeout(() => {
			void this.#probeDirectly(cause);
		}, ms);
	}

	async #probeDirectly(cause: ApiError) {
		const calledAt = this.#parts.clock.now();
		const outcome = await this.#perform({operation: 'list', kind: 'Member'});
		this.#probe = undefined;
		if (outcome.isLeft()) {
			this.#switchToPeers(cause, calledAt);
			return;
		}

		if (!this.#isDirect) {
			this.#isDirect = true;
			this.#parts.log.emit(gatewayEvents.objectApiDirect);
		}

		this.#noteAnswer();
	}

	#noteAnswer() {
		const at = this.#parts.clock.now();
		const silentMs = at - this.#answeredAt;
		const failedCallAt = this.#failedCallAt;
		this.#answeredAt = at;
		this.#failedCallAt = undefined;
		this.#events.emit('answer', {at, silentMs, failedCallAt} satisfies ObjectApiAnswer);
	}
}
