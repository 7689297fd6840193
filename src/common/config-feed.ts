/**
Answers configuration polls of other nodes: at once when there are changes for them, otherwise after a wait with this node's revision only.
*/
import type {ConfigCounts} from './config-counts.js';
import {pollWaitMs, type ConfigAnswer, type ConfigPoll} from './config-protocol.js';
import type {ConfigChanges, ConfigTable} from './config-table.js';
import type {Clock, Disposable} from './services.js';

/** Dependencies of the feed. */
export type FeedParts = {
	readonly table: ConfigTable;
	readonly clock: Clock;
	readonly counts: ConfigCounts;
	/** Whether this node's configuration can be trusted. */
	readonly isReady: () => boolean;
	/** Whether this node is connected to the object API or to an upstream node. */
	readonly isConnected: () => boolean;
};

const hasChanges = (changes: ConfigChanges, poll: ConfigPoll) => changes.events.length > 0 || (changes.full && changes.revision > poll.since);

/** Serves one node's table to other nodes. */
export class ConfigFeed implements Disposable {
	readonly #parts: FeedParts;
	readonly #wakers = new Set<() => void>();
	readonly #stop: () => void;
	#disconnections = 0;

	constructor(parts: FeedParts) {
		this.#parts = parts;
		this.#stop = parts.table.onBatch(() => {
			this.#wakeAll();
		});
	}

	/** Answers one poll, at the latest after its `waitMs` or one second. */
	async answer(poll: ConfigPoll): Promise<ConfigAnswer> {
		const {table, clock, counts} = this.#parts;
		if (poll.counts) {
			counts.recordCounts(poll.node, poll.counts);
		}

		const until = clock.now() + Math.min(poll.waitMs, pollWaitMs);
		const disconnections = this.#disconnections;
		let changes = table.changesSince(poll.since, poll.scope);
		while (this.#disconnections === disconnections && this.#parts.isReady() && !hasChanges(changes, poll) && clock.now() < until) {
			await this.#waitForBatch(until - clock.now());
			changes = table.changesSince(poll.since, poll.scope);
		}

		counts.markAnswered(poll.node);
		return this.#answerWith(changes, poll);
	}

	/** Answers all pending polls at once, because this node is no longer connected and the polling nodes should switch to another one without delay. */
	answerPendingPolls(): void {
		this.#disconnections += 1;
		this.#wakeAll();
	}

	dispose(): void {
		this.#stop();
		this.answerPendingPolls();
	}

	#answerWith(changes: ConfigChanges, poll: ConfigPoll): ConfigAnswer {
		const {table, isReady, isConnected} = this.#parts;
		return {
			...changes,
			...(!isReady() && {full: false, events: []}),
			isReady: isReady(),
			isConnected: isConnected(),
			...(poll.wantsDigest && {digest: table.digest(poll.scope)}),
		};
	}

	async #waitForBatch(ms: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#wakers.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, Math.max(1, Math.ceil(ms)));
			this.#wakers.add(wake);
		});
	}

	#wakeAll() {
		[...this.#wakers].forEach(wake => {
			wake();
		});
	}
}
