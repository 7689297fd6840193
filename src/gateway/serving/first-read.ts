/**
Whether the objects without which no call can be answered have been read for the first time: the configuration and the replicas' registrations. A call that comes before is held for a moment: the read usually takes a few milliseconds, and a refused caller tries once more at most.

Invariant: once over, it stays over, also if the object API becomes unavailable.
*/
import {withinLimit} from '../../io/time-limit.js';
import type {ObjectFeed} from '../object-feed.js';

/** What is used of a feed. */
type FeedToRead = Pick<ObjectFeed, 'isUnreachable' | 'onSnapshot'>;

/** The first read of several kinds of objects. */
export class FirstRead {
	readonly #missing: Set<FeedToRead>;
	readonly #over: Promise<void>;

	/** @param feeds - Feeds of the kinds; their other subscribers must have subscribed before, so that what was read is in force when the read is over. */
	constructor(feeds: readonly FeedToRead[]) {
		this.#missing = new Set(feeds);
		this.#over = new Promise(resolve => {
			feeds.forEach(feed => {
				feed.onSnapshot(() => {
					this.#missing.delete(feed);
					if (this.isOver) {
						resolve();
					}
				});
			});
		});
	}

	get isOver(): boolean {
		return this.#missing.size === 0;
	}

	/** Resolves when the read is over or the time is up, in milliseconds. Resolves at once if a read has failed: the next attempt takes longer than a caller can be held. */
	async within(ms: number): Promise<void> {
		if (!this.isOver && ![...this.#missing].some(({isUnreachable}) => isUnreachable)) {
			await withinLimit(ms, this.#over);
		}
	}
}
