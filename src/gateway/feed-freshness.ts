/**
Bounds how old the objects of one kind may be when work is sent by them. A process that was paused, or whose connections to the object API went silent, knows so only by its clock: work waits until the objects have been read again, on a connection of its own. While the object API does not answer, work goes on by what was known before.
*/
import type {Clock, EventLog} from '../common/services.js';
import type {ObjectKind} from '../common/types.js';
import {TimeLimit} from '../io/time-limit.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectApiReachability} from './object-api-reachability.js';
import type {ObjectFeed} from './object-feed.js';

/** What the freshness is judged by. */
export type FeedFreshnessParts = {
	readonly kind: ObjectKind;
	readonly feed: ObjectFeed;
	readonly reachability: ObjectApiReachability;
	/** When the objects were last confirmed to be current, here or by a peer, in milliseconds on the monotonic clock. */
	readonly lastConfirmedAt: () => number;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds for which objects may be used after they were confirmed. */
	readonly maxAgeMs: number;
};

/** Work waits for a read for this long at most, in milliseconds: most of the usual latency target. */
const waitMs = 250;

/** See the module's head. */
export class FeedFreshness {
	readonly #parts: FeedFreshnessParts;
	/** When a read was begun that was not answered in time: until the objects have aged again, no other one is waited for. */
	#triedAt = -Infinity;
	#refresh: Promise<void> | undefined;
	/** Reads again, while a read is waited for. */
	#retry: (() => void) | undefined;

	constructor(parts: FeedFreshnessParts) {
		this.#parts = parts;
		parts.reachability.onAnswer(() => {
			this.#retry?.();
		});
	}

	/** Whether work may be sent by the objects that are known. Before any is known, there is nothing to wait for. */
	get isFresh(): boolean {
		const {feed, reachability: contact, lastConfirmedAt: freshAt, clock, maxAgeMs: mostAgeMs} = this.#parts;
		const judgedAt = Math.max(freshAt(), contact.lastFailedCallAt ?? -Infinity, this.#triedAt);
		return feed.revision === undefined || clock.now() - judgedAt <= mostAgeMs;
	}

	/** Reads the objects again. Resolves once they are known, or cannot be in time; callers share one read. */
	async refresh(): Promise<void> {
		this.#refresh ??= this.#read().finally(() => {
			this.#refresh = undefined;
		});
		return this.#refresh;
	}

	async #read() {
		const {kind, lastConfirmedAt: freshAt, clock, log} = this.#parts;
		const askedAt = clock.now();
		const ageMs = Math.round(askedAt - freshAt());
		const isKnown = await this.#isReadInTime();
		if (!isKnown) {
			this.#triedAt = askedAt;
		}

		log.emit(gatewayEvents.feedRefreshed, {
			kind, ageMs, isKnown, waitedMs: Math.round(clock.now() - askedAt),
		});
	}

	/** A read that failed is repeated as soon as the object API answers any call. */
	async #isReadInTime(): Promise<boolean> {
		return new Promise(resolve => {
			let isOver = false;
			const finish = (isKnown: boolean) => {
				if (isOver) {
					return;
				}

				isOver = true;
				this.#retry = undefined;
				limit.dispose();
				resolve(isKnown);
			};

			const limit = new TimeLimit(waitMs, () => {
				finish(false);
			});
			let isReading = false;
			const read = async () => {
				isReading = true;
				const isKnown = await this.#parts.feed.syncOnNewConnection();
				isReading = false;
				if (isKnown) {
					finish(true);
				}
			};

			this.#retry = () => {
				if (!isReading) {
					void read();
				}
			};

			void read();
		});
	}
}
