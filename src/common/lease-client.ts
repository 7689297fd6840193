/**
Acquires, renews and releases one lease through the object API.

The holder's deadline counts from the time before its last successful renewal was sent, so that it passes before any other process may take the lease, however long the answer took. Code that acts under the lease checks `isHeld` first.
*/
import type {DecisionTrace} from './decision-trace.js';
import {
	decideLease, type HolderName, type LeaseDecision, type LeaseRequest, type LeaseValue, type LeaseView,
} from './lease.js';
import type {Fence, Revision} from './ids.js';
import type {Clock, ObjectApi} from './services.js';
import type {ApiError, StoredObject} from './types.js';

/** The lease, and the process that wants to hold it. */
export type LeaseOptions = {
	readonly name: string;
	readonly self: HolderName;
	readonly ttlMs: number;
	/** Receives the inputs of every decision; none by default. */
	readonly trace?: DecisionTrace;
};

// Share of the lease's duration by which the holder stops acting early, since clocks run at slightly different speeds.
const safetyMarginShare = 0.1;

/** Client of one lease. */
export class LeaseClient {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	readonly #options: LeaseOptions;
	#view: LeaseView;
	#heldUntil = Number.NEGATIVE_INFINITY;

	constructor(api: ObjectApi, clock: Clock, options: LeaseOptions) {
		this.#api = api;
		this.#clock = clock;
		this.#options = options;
		this.#view = {value: undefined, version: undefined, seenAt: clock.now()};
	}

	/** True while this process may act under the lease. */
	get isHeld(): boolean {
		return this.#clock.now() < this.#heldUntil;
	}

	/**
	True while the last observed holder is this process. The lease may have expired: in an outage of the object API it can neither be renewed nor taken by others.
	*/
	get isOwner(): boolean {
		return this.#view.value?.holder === this.#options.self;
	}

	/** The fencing number with which this process holds or last held the lease; 0 when it is not the last observed holder. */
	get lastFence(): Fence {
		return (this.isOwner ? this.#view.value?.fence : undefined) ?? (0 as Fence);
	}

	/** The fencing number under which this process holds it; 0 when it does not. */
	get fence(): Fence {
		return (this.isHeld ? this.#view.value?.fence : undefined) ?? (0 as Fence);
	}

	/**
	Reads the lease unless it is held, then acquires or renews it as {@link decideLease} decides. To be called a few times in each `ttlMs`.

	@param rank - See {@link LeaseRequest.rank}.
	*/
	async acquireOrRenew(rank: number): Promise<void> {
		if (!this.isHeld) {
			await this.#read();
		}

		const {self, ttlMs} = this.#options;
		const highestFence = this.#view.value ? undefined : await this.#highestFence();
		if (!this.#view.value && highestFence === undefined) {
			return;
		}

		const now = this.#clock.now();
		const request: LeaseRequest = {
			view: this.#view, self, rank, ttlMs, now, ...(highestFence !== undefined && {highestFence}),
		};
		const decision = decideLease(request);
		this.#options.trace?.write({
			kind: 'lease', name: this.#options.name, question: request, decision,
		});
		await this.#execute(decision, now);
	}

	/** Releases the lease, so that the next holder need not wait for it to expire. */
	async release(): Promise<void> {
		const {value, version} = this.#view;
		if (!this.isHeld || !value || version === undefined) {
			return;
		}

		this.#heldUntil = Number.NEGATIVE_INFINITY;
		this.#view = {...this.#view, value: {...value, holder: ''}};
		await this.#api.update<LeaseValue>('Lease', this.#options.name, {...value, holder: ''}, version);
	}

	async #read() {
		const read = await this.#api.get<LeaseValue>('Lease', this.#options.name);
		read
			.ifRight(stored => {
				this.#observe(stored);
			})
			.ifLeft(err => {
				this.#handleDeleted(err);
			});
	}

	// Each change of holder is a change of an object, so no fencing number is above the object API's own version. A holder that started again from 1 after the object was deleted would be refused for ever by every process that has seen a higher number.
	async #highestFence(): Promise<number | undefined> {
		const listed = await this.#api.list('Lease', {prefix: this.#options.name, values: false, limit: 1});
		return listed.toMaybe().extract()?.version;
	}

	// The lease was deleted by an operator, or was lost in a restore. With the old view, every renewal would fail, and no process would ever take the lease again.
	#handleDeleted(err: ApiError) {
		if (err.kind !== 'notFound' || !this.#view.value) {
			return;
		}

		this.#heldUntil = Number.NEGATIVE_INFINITY;
		this.#view = {
			value: undefined, version: undefined, seenAt: this.#clock.now(), isDeleted: true,
		};
	}

	#observe({value, version}: {value: LeaseValue; version: Revision}) {
		if (version !== this.#view.version) {
			this.#view = {value, version, seenAt: this.#clock.now()};
		}
	}

	async #execute(decision: LeaseDecision, sentAt: number) {
		if (decision.kind === 'wait') {
			return;
		}

		const written = decision.kind === 'create'
			? await this.#api.create('Lease', this.#options.name, decision.value)
			: await this.#api.update('Lease', this.#options.name, decision.value, decision.version);
		written
			.ifRight(stored => {
				this.#observe(stored);
				this.#heldUntil = sentAt + (this.#options.ttlMs * (1 - safetyMarginShare));
			})
			.ifLeft(err => {
				this.#failed(err);
			});
	}

	// After a conflict another process wrote; after an unknown outcome it may have been this one. The next read resolves both; until then the deadline of the earlier renewal applies.
	#failed(err: ApiError) {
		this.#handleDeleted(err);
		if (err.kind !== 'conflict') {
			return;
		}

		const current = err.current as StoredObject<LeaseValue> | undefined;
		if (current) {
			this.#observe(current);
		}

		if (current?.value.holder !== this.#options.self) {
			this.#heldUntil = Number.NEGATIVE_INFINITY;
		}
	}
}
