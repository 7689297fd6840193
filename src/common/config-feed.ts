/**
Answers nodes that ask for configuration: at once when there is something new for them, else after a while with nothing but this node's revision.
*/
import type {ConfigCounts} from './config-counts.js';
import {pollWaitMs, type ConfigAnswer, type ConfigPoll} from './config-protocol.js';
import type {ConfigChanges, ConfigTable} from './config-table.js';
import type {Clock, Disposable} from './services.js';

/** What the feed needs. */
export type FeedParts = {
	readonly table: ConfigTable;
	readonly clock: Clock;
	readonly counts: ConfigCounts;
	/** Whether this node's configuration is to be trusted. */
	readonly isReady: () => boolean;
	/** Whether this node hears the object API or a node further up. */
	readonly isConnected: () => boolean;
};

const hasNews = (changes: ConfigChanges, poll: ConfigPoll) => changes.events.length > 0 || (changes.full && changes.revision > poll.since);

/** Serves the table of one node. */
export class ConfigFeed implements Disposable {
	readonly #parts: FeedParts;
	readonly #wakers = new Set<() => void>();
	readonly #stop: () => void;
	#losses = 0;

	constructor(parts: FeedParts) {
		this.#parts = parts;
		this.#stop = parts.table.onBatch(() => {
			this.#wakeAll();
		});
	}

	/** Answers one poll; never later than its `waitMs`, and a second at most. */
	async answer(poll: ConfigPoll): Promise<ConfigAnswer> {
		const {table, clock, counts} = this.#parts;
		if (poll.counts) {
			counts.recordCounts(poll.node, poll.counts);
		}

		const until = clock.now() + Math.min(poll.waitMs, pollWaitMs);
		const losses = this.#losses;
		let changes = table.changesSince(poll.since, poll.scope);
		while (this.#losses === losses && this.#parts.isReady() && !hasNews(changes, poll) && clock.now() < until) {
			await this.#nextBatch(until - clock.now());
			changes = table.changesSince(poll.since, poll.scope);
		}

		counts.markAnswered(poll.node);
		return this.#answerWith(changes, poll);
	}

	/** Answers all that wait: this node is no longer connected, and they are to ask elsewhere without delay. */
	answerPendingPolls(): void {
		this.#losses += 1;
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

	async #nextBatch(ms: number): Promise<void> {
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
