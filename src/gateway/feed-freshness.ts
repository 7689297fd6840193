/**
Bounds the age of the cached objects of one kind by which work is dispatched. A process that was paused, or whose connections to the object API became unresponsive, can detect that only by its clock; work then waits until the objects have been read again, on a separate connection. While the object API does not answer, work continues with the cached objects.
*/
import type {Clock, EventLog} from '../common/services.js';
import type {ObjectKind} from '../common/types.js';
import {TimeLimit} from '../io/time-limit.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectApiReachability} from './object-api-reachability.js';
import type {ObjectFeed} from './object-feed.js';

/** Dependencies and parameters of a freshness check. */
export type FeedFreshnessParts = {
	readonly kind: ObjectKind;
	readonly feed: ObjectFeed;
	readonly reachability: ObjectApiReachability;
	/** When the objects were last confirmed to be current, by this process or a peer, in milliseconds on the monotonic clock. */
	readonly lastConfirmedAt: () => number;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds for which the objects may be used after they were confirmed. */
	readonly maxAgeMs: number;
};

/** The longest time that work waits for a read, in milliseconds: most of the usual latency target. */
const maxWaitMs = 250;

/** The freshness of the objects of one kind. */
export class FeedFreshness {
	readonly #parts: FeedFreshnessParts;
	/** When the last read started that was not answered in time. It counts as a confirmation, so that no other read is awaited until the maximum age has passed again. */
	#timedOutReadAt = -Infinity;
	#refresh: Promise<void> | undefined;
	/** Repeats the read; set while a read is awaited. */
	#retry: (() => void) | undefined;

	constructor(parts: FeedFreshnessParts) {
		this.#parts = parts;
		parts.reachability.onAnswer(() => {
			this.#retry?.();
		});
	}

	/** Whether work may be dispatched by the cached objects. True before the first list was read, when there is nothing to wait for. */
	get isFresh(): boolean {
		const {feed, reachability, lastConfirmedAt, clock, maxAgeMs} = this.#parts;
		const judgedAt = Math.max(lastConfirmedAt(), reachability.lastFailedCallAt ?? -Infinity, this.#timedOutReadAt);
		return feed.revision === undefined || clock.now() - judgedAt <= maxAgeMs;
	}

	/** Reads the objects again. Resolves once they were read or the wait has timed out; concurrent callers share one read. */
	async refresh(): Promise<void> {
		this.#refresh ??= this.#read().finally(() => {
			this.#refresh = undefined;
		});
		return this.#refresh;
	}

	async #read() {
		const {kind, lastConfirmedAt, clock, log} = this.#parts;
		const readStartedAt = clock.now();
		const ageMs = Math.round(readStartedAt - lastConfirmedAt());
		const isKnown = await this.#isReadInTime();
		if (!isKnown) {
			this.#timedOutReadAt = readStartedAt;
		}

		log.emit(gatewayEvents.feedRefreshed, {
			kind, ageMs, isKnown, waitedMs: Math.round(clock.now() - readStartedAt),
		});
	}

	/** Repeats a failed read as soon as the object API answers any call. */
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

			const limit = new TimeLimit(maxWaitMs, () => {
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
