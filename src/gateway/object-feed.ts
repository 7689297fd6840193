/**
Follows the objects of one kind: a list, then consecutive watches from the list's version. Events are delivered once each and in the order of their versions, even if a list or an additional read overtakes a pending watch.

A watch is renewed well before the time within which a change must be in force, because an unresponsive connection shows only by a missing answer. After a failed call, the next watch does not wait for a change. Otherwise an outage would appear to last until the first change after it, and a deadline counted from the end of the outage would count that change as part of it.
*/
import {EventEmitter} from 'node:events';
import type {Revision} from '../common/ids.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../common/services.js';
import type {
	ApiError, ObjectKind, ReadOptions, StoredObject, WatchBatch, WatchEvent,
} from '../common/types.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectApiAnswer, ObjectApiReachability} from './object-api-reachability.js';
import type {ReadProgress} from './read-progress.js';

/** Dependencies of a feed. */
export type FeedParts = {
	readonly api: ObjectApi;
	/** Answers to all calls of this process; without it, a feed uses only the answers to its own calls. */
	readonly reachability?: ObjectApiReachability;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Gives the earliest time at which a watch can have been answered; without it, the time at which the watch was sent is used. */
	readonly progress?: Pick<ReadProgress, 'readUntil'>;
};

/** How a feed reads. */
export type FeedOptions = {
	/** Milliseconds that one watch waits for a change. */
	readonly waitMs: number;
	/** Whether watches may be answered by a lagging copy. Lists and `sync` never are. */
	readonly mayLag: boolean;
	/** Milliseconds to wait after changes before the next watch, so that one call returns many changes; 0 by default. */
	readonly paceMs?: number;
	/** Milliseconds to which that pause grows while changes continue, for example when a fleet starts; constant by default. */
	readonly maxPaceMs?: number;
};

/** Delay after a failed call, in milliseconds. Retries must not prolong an outage of the object API, and a change must be in force within about two seconds of its end. */
const retryDelayMs = 200;

/** A read of the latest changes takes some milliseconds, and some hundred when the object API is slow; one that takes longer is stuck, as the watches are. */
const syncTimeoutMs = 250;

/** Shortest outage in which an object can expire, in milliseconds: its writer must have missed two heartbeats of 1.2 s. A shorter gap between answers does not start another outage. */
const minOutageMs = 2000;

/** The version of the last change of a batch. A removed object may carry the version of the change before its removal. */
const lastRevisionOf = (events: readonly WatchEvent[], answeredAt: Revision): Revision =>
	events.some(({type}) => type === 'delete') ? answeredAt : Math.max(...events.map(({version}) => version)) as Revision;

/** Changes further apart than this do not belong to one burst, in milliseconds. */
const burstGapMs = 1000;

/** Caches the version and the times of one kind of object, and emits its lists and changes. */
export class ObjectFeed implements Disposable {
	readonly #parts: FeedParts;
	readonly #kind: ObjectKind;
	readonly #options: FeedOptions;
	readonly #events = new EventEmitter();
	#revision: Revision | undefined;
	#changedAt: Revision | undefined;
	#isWatchPending = false;
	#isDisposed = false;
	#outageStartedAt: number | undefined;
	/** The first answer of the object API, to any call, during the current outage of this feed. */
	#firstAnswer: ObjectApiAnswer | undefined;
	#outageEndedAt = -Infinity;
	#failedCallAt: number | undefined;
	#failures = 0;
	#nextPauseMs = 0;
	#currentPaceMs = 0;
	#lastChangesAt = -Infinity;
	#lastAnswerAt = -Infinity;
	#currentAsOf = -Infinity;
	#currentSync: Promise<boolean> | undefined;
	#nextSync: Promise<boolean> | undefined;

	constructor(parts: FeedParts, kind: ObjectKind, options: FeedOptions) {
		this.#parts = parts;
		this.#kind = kind;
		this.#options = options;
		parts.reachability?.onAnswer(answer => {
			this.#recordApiAnswer(answer);
		});
	}

	/** Version up to which the objects have been read; `undefined` before the first list. */
	get revision(): Revision | undefined {
		return this.#revision;
	}

	/** A version not lower than that of any change received, and close to that of the last one. */
	get changedAt(): Revision | undefined {
		return this.#changedAt;
	}

	/** Whether a watch is waiting for a change; otherwise the next call is about to be sent. */
	get isWatching(): boolean {
		return this.#isWatchPending;
	}

	/** Whether a call failed and none has succeeded since. */
	get isUnreachable(): boolean {
		return this.#outageStartedAt !== undefined;
	}

	/** End of the last outage, in milliseconds on the monotonic clock: the first answer to any call of this process, which may precede this feed's own. `undefined` until this feed receives an answer. */
	get outageEndedAt(): number | undefined {
		return this.#outageStartedAt === undefined ? this.#outageEndedAt : undefined;
	}

	/** Start of the last call that failed before the end of the last outage, in milliseconds on the monotonic clock: the outage may have ended at that time already. `undefined` if unknown, and until this feed receives an answer. */
	get failedCallAt(): number | undefined {
		return this.#outageStartedAt === undefined ? this.#failedCallAt : undefined;
	}

	/** Time of the last answer, including answers of a lagging copy; milliseconds on the monotonic clock. */
	get heardAt(): number {
		return this.#lastAnswerAt;
	}

	/** Whether watches may be answered by a lagging copy, so that they do not confirm that the objects are current. */
	get mayLag(): boolean {
		return this.#options.mayLag;
	}

	/** All changes made before this time have been received; milliseconds on the monotonic clock. Answers that may come from a lagging copy do not count. An answer that was read late, after a pause of this process, counts from the time at which it can have arrived at the earliest. */
	get currentAsOf(): number {
		return this.#currentAsOf;
	}

	/** Number of consecutive failed calls in the last or current outage. */
	get lastOutageFailures(): number {
		return this.#failures;
	}

	/** Calls the listener with all existing objects after a list, and the version as of which the list began. Objects that it does not contain have been removed. */
	onSnapshot(listener: (items: readonly StoredObject[], version: Revision) => void): void {
		this.#events.on('snapshot', listener);
	}

	/** Calls the listener with the changes, in the order of their versions. */
	onChanges(listener: (events: readonly WatchEvent[]) => void): void {
		this.#events.on('changes', listener);
	}

	/** Calls the listener with the time of each answer, in milliseconds on the monotonic clock, including answers without changes. */
	onAnswer(listener: (at: number) => void): void {
		this.#events.on('answer', listener);
	}

	/** Lists and watches until the feed is disposed. */
	start(): void {
		void this.#follow();
	}

	/**
	Reads all changes up to now, from the object API itself. Callers that arrive during a read share the next one, because the current one may have been answered before they called.

	@returns Whether all changes made before the call have been received.
	*/
	async sync(): Promise<boolean> {
		this.#nextSync ??= this.#syncAfter(this.#currentSync);
		return this.#nextSync;
	}

	/**
	Reads all changes up to now on a new connection, without waiting for another read.

	@returns Whether all changes made before the call have been received.
	*/
	async syncOnNewConnection(): Promise<boolean> {
		return this.#readOnce({isFresh: true});
	}

	/**
	Reads until objects that exist in the object API are cached. Watches may miss them for a while, around the time at which the object API discards its history; a list always returns them.

	@param isLoaded - Whether the objects are cached.
	@returns Whether they are cached after the reads.
	*/
	async ensureLoaded(isLoaded: () => boolean): Promise<boolean> {
		if (!isLoaded()) {
			await Promise.race([this.sync(), this.#parts.clock.sleep(syncTimeoutMs)]);
		}

		if (!isLoaded()) {
			await this.#list();
		}

		return isLoaded();
	}

	/** Lists the objects again, since the last list can't have been of one moment. */
	listAgain(): void {
		void this.#list();
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	async #follow() {
		while (!this.#isDisposed) {
			const isDone = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision);
			const pauseMs = isDone ? this.#nextPauseMs : retryDelayMs;
			this.#nextPauseMs = 0;
			if (pauseMs > 0) {
				await this.#parts.clock.sleep(pauseMs);
			}
		}
	}

	async #syncAfter(before: Promise<boolean> | undefined): Promise<boolean> {
		await before;
		const own = this.#readOnce();
		this.#currentSync = own;
		this.#nextSync = undefined;
		return own;
	}

	async #readOnce(options?: ReadOptions): Promise<boolean> {
		const since = this.#revision;
		const startedAt = this.#parts.clock.now();
		if (since === undefined) {
			return this.#list();
		}

		const batch = await this.#parts.api.watch([this.#kind], since, 0, options);
		return batch.caseOf({
			Left: err => this.#handleError(err),
			Right: changes => this.#apply(changes, since, startedAt),
		});
	}

	async #watch(since: Revision): Promise<boolean> {
		const {waitMs, mayLag} = this.#options;
		const {isUnreachable} = this;
		const startedAt = this.#parts.clock.now();
		this.#isWatchPending = !isUnreachable;
		const batch = await this.#parts.api.watch([this.#kind], since, isUnreachable ? 0 : waitMs, {mayLag});
		this.#isWatchPending = false;
		return batch.caseOf({
			Left: err => this.#handleError(err),
			Right: changes => {
				this.#apply(changes, since, mayLag ? -Infinity : this.#earliestAnswerAt(startedAt));
				return true;
			},
		});
	}

	/** Discarded history is replaced by a new list; any other failure leaves the cached state as it is. */
	#handleError(err: ApiError): boolean {
		if (err.kind === 'expired') {
			this.#revision = undefined;
			return false;
		}

		this.#recordFailure(err);
		return false;
	}

	async #list(): Promise<boolean> {
		const items: StoredObject[] = [];
		const startedAt = this.#parts.clock.now();
		let after: string | undefined;
		let version: Revision | undefined;
		do {
			const page = await this.#parts.api.list(this.#kind, {after});
			if (page.isLeft()) {
				this.#recordFailure(page.extract());
				return false;
			}

			const {items: found, more, version: listedAt} = page.unsafeCoerce();
			items.push(...found);
			// Later pages are read later. Changes made in between are received by a watch from the version of the first page.
			version ??= listedAt;
			after = more ? found.at(-1)?.name : undefined;
		} while (after !== undefined);

		this.#recordAnswer();
		this.#currentAsOf = Math.max(this.#currentAsOf, startedAt);
		if (this.#revision === undefined || version === undefined || version >= this.#revision) {
			this.#revision = version;
			this.#advanceChangedAt(version);
			this.#events.emit('snapshot', items, version);
		}

		return true;
	}

	/**
	Ignores an answer that another one has overtaken: its further changes are returned by the next watch, and a removal in it could undo a later creation under the same name.

	@param earliestAt - Earliest time at which the answer can have been given, in milliseconds on the monotonic clock; `-Infinity` if it may lag.
	@returns Whether the state covers the answer.
	*/
	#apply({events, version}: WatchBatch, since: Revision, earliestAt: number): boolean {
		this.#recordAnswer();
		if (this.#revision !== since) {
			return this.#revision !== undefined && version <= this.#revision;
		}

		this.#currentAsOf = Math.max(this.#currentAsOf, earliestAt);
		this.#revision = Math.max(version, since, events.at(-1)?.version ?? 0) as Revision;
		if (events.length > 0) {
			this.#updatePace();
			this.#advanceChangedAt(lastRevisionOf(events, version));
			this.#events.emit('changes', events);
		}

		return true;
	}

	#updatePace() {
		const {paceMs = 0, maxPaceMs = paceMs} = this.#options;
		const now = this.#parts.clock.now();
		this.#currentPaceMs = now - this.#lastChangesAt > burstGapMs ? paceMs : Math.min(maxPaceMs, this.#currentPaceMs + paceMs);
		this.#lastChangesAt = now;
		this.#nextPauseMs = this.#currentPaceMs;
	}

	#earliestAnswerAt(startedAt: number): number {
		return Math.max(startedAt, this.#parts.progress?.readUntil ?? startedAt);
	}

	#advanceChangedAt(at: Revision | undefined) {
		this.#changedAt = Math.max(this.#changedAt ?? 0, at ?? 0) as Revision;
	}

	#recordAnswer() {
		const {clock, log} = this.#parts;
		this.#lastAnswerAt = clock.now();
		this.#events.emit('answer', this.#lastAnswerAt);
		if (this.#outageStartedAt !== undefined) {
			this.#outageEndedAt = this.#firstAnswer?.at ?? this.#lastAnswerAt;
			this.#failedCallAt = this.#firstAnswer?.failedCallAt;
			log.emit(gatewayEvents.feedRegained, {
				kind: this.#kind, revision: this.#revision, awayMs: Math.round(this.#lastAnswerAt - this.#outageStartedAt), lateMs: Math.round(this.#lastAnswerAt - this.#outageEndedAt),
			});
			this.#outageStartedAt = undefined;
		}
	}

	#recordApiAnswer(answer: ObjectApiAnswer) {
		if (this.#outageStartedAt !== undefined && (this.#firstAnswer === undefined || answer.silentMs >= minOutageMs)) {
			this.#firstAnswer = answer;
		}
	}

	#recordFailure(err: ApiError) {
		this.#failures += 1;
		if (this.#outageStartedAt === undefined) {
			this.#failures = 1;
			this.#outageStartedAt = this.#parts.clock.now();
			this.#firstAnswer = undefined;
			this.#parts.log.emit(gatewayEvents.feedLost, {kind: this.#kind, reason: 'reason' in err ? err.reason : err.kind});
		}
	}
}
