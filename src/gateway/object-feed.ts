/**
Follows one kind of object: a list, then watches from its version on, for ever. Events arrive in the order of their versions, each once, also where the list or an extra read overtakes a watch that is waiting.

A watch is asked for again well before the time within which a change must be in force: a connection that went silent shows only by the answer that does not come. After a call that failed, the next one does not wait for a change: an outage would otherwise seem to last until the first change after it, and whoever counts from its end would take that change for a part of it.
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

/** What a feed needs. */
export type FeedParts = {
	readonly api: ObjectApi;
	/** Answers to all calls of this process; without it, a feed knows of those to its own only. */
	readonly reachability?: ObjectApiReachability;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Tells when a watch was answered at the earliest; without it, that is when it was asked. */
	readonly progress?: Pick<ReadProgress, 'readUntil'>;
};

/** How a feed asks. */
export type FeedOptions = {
	/** Milliseconds that one watch waits. */
	readonly waitMs: number;
	/** Whether watches may be answered by a copy that lags. Lists and `sync` never are. */
	readonly mayLag: boolean;
	/** Milliseconds to wait after changes before the next watch, so that many changes come with one call; 0 by default. */
	readonly paceMs?: number;
	/** While changes go on, as when a fleet starts, the pause grows to this, in milliseconds; it does not by default. */
	readonly maxPaceMs?: number;
};

/** After a failed call, milliseconds until the next: an outage of the object API must not be prolonged by those who wait for its end, and a change must be in force within about two seconds of it. */
const retryMs = 200;

/** A read of the latest changes takes some milliseconds, and some hundred where the object API is slow; one that takes longer hangs with the watches. */
const syncPatienceMs = 250;

/** An outage must last for at least this long for an object to lapse, in milliseconds: its writer must have missed two heartbeats of 1.2 s. A shorter gap between answers does not begin another outage. */
const leastLapseMs = 2000;

/** The version of the last change of a batch. A removed object may bear the version of its last change before that. */
const lastChangeOf = (events: readonly WatchEvent[], answeredAt: Revision): Revision =>
	events.some(({type}) => type === 'delete') ? answeredAt : Math.max(...events.map(({version}) => version)) as Revision;

/** A change that comes so much later than the one before does not go on from it, in milliseconds. */
const calmMs = 1000;

/** See the module's head. */
export class ObjectFeed implements Disposable {
	readonly #parts: FeedParts;
	readonly #kind: ObjectKind;
	readonly #options: FeedOptions;
	readonly #events = new EventEmitter();
	#revision: Revision | undefined;
	#changedAt: Revision | undefined;
	#isWaiting = false;
	#isDisposed = false;
	#lostAt: number | undefined;
	/** The object API's first answer to any call again within the outage under way. */
	#answer: ObjectApiAnswer | undefined;
	#regainedAt = -Infinity;
	#failedCallAt: number | undefined;
	#failures = 0;
	#paceMs = 0;
	#growingPaceMs = 0;
	#pacedAt = -Infinity;
	#heardAt = -Infinity;
	#knownAt = -Infinity;
	#currentSync: Promise<boolean> | undefined;
	#nextSync: Promise<boolean> | undefined;

	constructor(parts: FeedParts, kind: ObjectKind, options: FeedOptions) {
		this.#parts = parts;
		this.#kind = kind;
		this.#options = options;
		parts.reachability?.onAnswer(answer => {
			this.#noteContact(answer);
		});
	}

	/** Up to where the objects are known; nothing before the first list. */
	get revision(): Revision | undefined {
		return this.#revision;
	}

	/** No change of this kind that is known came after this version, and the last one not long before it. */
	get changedAt(): Revision | undefined {
		return this.#changedAt;
	}

	/** Whether a watch waits for a change; otherwise the next call is about to be made. */
	get isWatching(): boolean {
		return this.#isWaiting;
	}

	/** Whether the last call failed, and none has succeeded since. */
	get isUnreachable(): boolean {
		return this.#lostAt !== undefined;
	}

	/** When the last outage ended, in milliseconds on the monotonic clock: with the first answer to any call of this process, which may be earlier than this feed's own. `undefined` until this feed is answered. */
	get outageEndedAt(): number | undefined {
		return this.#lostAt === undefined ? this.#regainedAt : undefined;
	}

	/** When the last call began that failed before the end of the last outage, in milliseconds on the monotonic clock: the outage may have ended then already. `undefined` where that is not known, and until this feed is answered. */
	get failedCallAt(): number | undefined {
		return this.#lostAt === undefined ? this.#failedCallAt : undefined;
	}

	/** When the object API last answered, be it with a copy that lags; milliseconds on the monotonic clock. */
	get heardAt(): number {
		return this.#heardAt;
	}

	/** What had changed by then is known, in milliseconds on the monotonic clock. An answer that was read late, after a pause of this process, does not count as of then. */
	get currentAsOf(): number {
		return this.#knownAt;
	}

	/** Calls that failed in a row in the last outage, or so far in this one. */
	get lastOutageFailures(): number {
		return this.#failures;
	}

	/** Calls the listener with all objects there are, after a list. What it does not hold is gone. */
	onSnapshot(listener: (items: readonly StoredObject[]) => void): void {
		this.#events.on('snapshot', listener);
	}

	/** Calls the listener with changes, in the order of their versions. */
	onChanges(listener: (events: readonly WatchEvent[]) => void): void {
		this.#events.on('changes', listener);
	}

	/** Calls the listener with the time of each answer, in milliseconds on the monotonic clock; also of those that bring nothing new. */
	onAnswer(listener: (at: number) => void): void {
		this.#events.on('heard', listener);
	}

	/** Follows until it is disposed. */
	start(): void {
		void this.#follow();
	}

	/**
	Reads what has changed until now, from the object API itself. Callers that ask while a read is under way share the next one, since the one under way may have been answered before their question came up.

	@returns Whether all is known that had changed when this was called.
	*/
	async sync(): Promise<boolean> {
		this.#nextSync ??= this.#syncAfter(this.#currentSync);
		return this.#nextSync;
	}

	/**
	Reads what has changed until now on a connection of its own, without waiting for another read.

	@returns Whether all is known that had changed when this was called.
	*/
	async syncOnNewConnection(): Promise<boolean> {
		return this.#readOnce({isFresh: true});
	}

	/**
	Brings objects that are known to stand in the object API. Watches may hear nothing of them for a while, around the time at which the object API discards its history; a list always shows them.

	@param isThere - Whether they have come.
	@returns Whether they have.
	*/
	async ensureLoaded(isThere: () => boolean): Promise<boolean> {
		if (!isThere()) {
			await Promise.race([this.sync(), this.#parts.clock.sleep(syncPatienceMs)]);
		}

		if (!isThere()) {
			await this.#list();
		}

		return isThere();
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	async #follow() {
		while (!this.#isDisposed) {
			const isDone = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision);
			const pauseMs = isDone ? this.#paceMs : retryMs;
			this.#paceMs = 0;
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
		const askedAt = this.#parts.clock.now();
		if (since === undefined) {
			return this.#list();
		}

		const batch = await this.#parts.api.watch([this.#kind], since, 0, options);
		return batch.caseOf({
			Left: err => this.#isKnownAfter(err),
			Right: changes => this.#apply(changes, since, askedAt),
		});
	}

	async #watch(since: Revision): Promise<boolean> {
		const {waitMs, mayLag} = this.#options;
		const {isUnreachable: isAway} = this;
		const askedAt = this.#parts.clock.now();
		this.#isWaiting = !isAway;
		const batch = await this.#parts.api.watch([this.#kind], since, isAway ? 0 : waitMs, {mayLag});
		this.#isWaiting = false;
		return batch.caseOf({
			Left: err => this.#isKnownAfter(err),
			Right: changes => {
				this.#apply(changes, since, this.#answeredAt(askedAt));
				return true;
			},
		});
	}

	/** History that is gone is read anew by a list; every other failure keeps what is known. */
	#isKnownAfter(err: ApiError): boolean {
		if (err.kind === 'expired') {
			this.#revision = undefined;
			return false;
		}

		this.#noteFailure(err);
		return false;
	}

	async #list(): Promise<boolean> {
		const items: StoredObject[] = [];
		const askedAt = this.#parts.clock.now();
		let after: string | undefined;
		let version: Revision | undefined;
		do {
			const page = await this.#parts.api.list(this.#kind, {after});
			if (page.isLeft()) {
				this.#noteFailure(page.extract());
				return false;
			}

			const {items: found, more, version: listedAt} = page.unsafeCoerce();
			items.push(...found);
			// Later pages are read later: what changed between them is seen again by a watch from the first.
			version ??= listedAt;
			after = more ? found.at(-1)?.name : undefined;
		} while (after !== undefined);

		this.#noteAnswer();
		this.#knownAt = Math.max(this.#knownAt, askedAt);
		if (this.#revision === undefined || version === undefined || version >= this.#revision) {
			this.#revision = version;
			this.#noteChange(version);
			this.#events.emit('snapshot', items);
		}

		return true;
	}

	/**
	An answer that another has overtaken is left out: what it holds beyond the other comes again with the next watch, and a removal in it could undo a later creation under the same name.

	@param knownAt - When it was answered at the earliest, in milliseconds on the monotonic clock.
	@returns Whether it was in time.
	*/
	#apply({events, version}: WatchBatch, since: Revision, knownAt: number): boolean {
		this.#noteAnswer();
		if (this.#revision !== since) {
			return this.#revision !== undefined && version <= this.#revision;
		}

		this.#knownAt = Math.max(this.#knownAt, knownAt);
		this.#revision = Math.max(version, since, events.at(-1)?.version ?? 0) as Revision;
		if (events.length > 0) {
			this.#pace();
			this.#noteChange(lastChangeOf(events, version));
			this.#events.emit('changes', events);
		}

		return true;
	}

	#pace() {
		const {paceMs = 0, maxPaceMs: mostPaceMs = paceMs} = this.#options;
		const now = this.#parts.clock.now();
		this.#growingPaceMs = now - this.#pacedAt > calmMs ? paceMs : Math.min(mostPaceMs, this.#growingPaceMs + paceMs);
		this.#pacedAt = now;
		this.#paceMs = this.#growingPaceMs;
	}

	#answeredAt(askedAt: number): number {
		return Math.max(askedAt, this.#parts.progress?.readUntil ?? askedAt);
	}

	#noteChange(at: Revision | undefined) {
		this.#changedAt = Math.max(this.#changedAt ?? 0, at ?? 0) as Revision;
	}

	#noteAnswer() {
		const {clock, log} = this.#parts;
		this.#heardAt = clock.now();
		this.#events.emit('heard', this.#heardAt);
		if (this.#lostAt !== undefined) {
			this.#regainedAt = this.#answer?.at ?? this.#heardAt;
			this.#failedCallAt = this.#answer?.failedCallAt;
			log.emit(gatewayEvents.feedRegained, {
				kind: this.#kind, revision: this.#revision, awayMs: Math.round(this.#heardAt - this.#lostAt), lateMs: Math.round(this.#heardAt - this.#regainedAt),
			});
			this.#lostAt = undefined;
		}
	}

	#noteContact(answer: ObjectApiAnswer) {
		if (this.#lostAt !== undefined && (this.#answer === undefined || answer.silentMs >= leastLapseMs)) {
			this.#answer = answer;
		}
	}

	#noteFailure(err: ApiError) {
		this.#failures += 1;
		if (this.#lostAt === undefined) {
			this.#failures = 1;
			this.#lostAt = this.#parts.clock.now();
			this.#answer = undefined;
			this.#parts.log.emit(gatewayEvents.feedLost, {kind: this.#kind, reason: 'reason' in err ? err.reason : err.kind});
		}
	}
}
