/**
The engine's published cache events: numbered, late, and with gaps where one was lost. A reader sees a gap in the numbers; it can never mistake a lost event for none, since `next` is the number of the last event that it was given.
*/
import type {BlockHash} from '../common/ids.js';
import type {RandomSource} from '../common/services.js';

/** What happened to blocks of the cache. `cleared` concerns all. */
export type CacheEventType = 'stored' | 'removed' | 'cleared';

/** One event. */
export type CacheEvent = {
	/** Grows by one with each event, also with those that are lost. */
	readonly seq: number;
	readonly type: CacheEventType;
	readonly blocks: readonly BlockHash[];
};

/** How events are published. */
export type CacheEventSettings = {
	/** Milliseconds by which they are late. */
	readonly lagMs: number;
	/** The share that is lost, 0 to 1. */
	readonly lossShare: number;
	readonly random: RandomSource;
};

type Entry = {readonly event: CacheEvent; readonly visibleAt: number};

const maxEvents = 10_000;

/** The latest events, at most 10000. */
export class CacheEventLog {
	readonly #settings: CacheEventSettings;
	readonly #waiters = new Set<() => void>();
	#entries: Entry[] = [];
	#seq = 0;

	constructor(settings: CacheEventSettings) {
		this.#settings = settings;
	}

	/** Adds an event that happens now, unless chance has it lost. */
	record(now: number, type: CacheEventType, blocks: readonly BlockHash[]): void {
		const event = {seq: ++this.#seq, type, blocks};
		if (this.#settings.lossShare > 0 && this.#settings.random.next() < this.#settings.lossShare) {
			return;
		}

		this.#entries.push({event, visibleAt: now + this.#settings.lagMs});
		if (this.#entries.length > maxEvents * 1.5) {
			this.#entries = this.#entries.slice(-maxEvents);
		}

		this.#wakeAll();
	}

	/** The events after `since` that can be seen at `now`. */
	after(since: number, now: number): CacheEvent[] {
		return this.#entries.slice(this.#firstAfter(since)).filter(entry => entry.visibleAt <= now).map(entry => entry.event);
	}

	/** Milliseconds until an event after `since` can be seen; undefined when none has happened. */
	msToNext(since: number, now: number): number | undefined {
		const entry = this.#entries[this.#firstAfter(since)];
		return entry && Math.max(0, entry.visibleAt - now);
	}

	/**
	Calls `wake` when the next event happens.

	@returns Stops waiting.
	*/
	onNext(wake: () => void): () => void {
		this.#waiters.add(wake);
		return () => {
			this.#waiters.delete(wake);
		};
	}

	#firstAfter(since: number): number {
		const last = this.#entries.findLastIndex(entry => entry.event.seq <= since);
		return last + 1;
	}

	#wakeAll(): void {
		const waiters = [...this.#waiters];
		this.#waiters.clear();
		waiters.forEach(wake => {
			wake();
		});
	}
}
