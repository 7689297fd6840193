/**
A queue that is fair between client accounts by virtual token counters: each account's counter grows by the tokens it was served, divided by its share, and the waiting account with the lowest counter goes next. The counter of an account that was idle is raised to the counter served last, so that idle time earns no credit.

Only accounts with waiting items are searched for the next item; the counters of the others are stored separately, bounded in number.
*/
import type {AccountName} from './ids.js';

/** An item of the queue. */
export type QueueItem = {
	readonly account: AccountName;
	/** The account's weight, above 0. */
	readonly share: number;
	/** Tokens this item is expected to cost. */
	readonly costTokens: number;
};

type Lane<Item> = {items: Item[]; counter: number; queuedTokens: number; share: number};

// Beyond this number, counters of accounts without waiting items are discarded, the least recently used first; 26,000 accounts would otherwise stay in memory. A discarded account starts again at the counter served last, to which its idle time would have raised it anyway.
const maxIdleLanes = 1000;

/** Items by account, taken in fair order. Within an account they are taken in order of arrival. */
export class FairQueue<Item extends QueueItem> {
	readonly #waiting = new Map<AccountName, Lane<Item>>();
	// The lanes of #waiting, for the search for the lowest counter: an array is iterated several times faster than a map.
	readonly #lanes: Array<Lane<Item>> = [];
	readonly #idle = new Map<AccountName, Lane<Item>>();
	#length = 0;
	#queuedTokens = 0;
	#floor = 0;

	/** Items waiting. */
	get length(): number {
		return this.#length;
	}

	/** Tokens that the waiting items are expected to cost. */
	get queuedTokens(): number {
		return this.#queuedTokens;
	}

	push(item: Item): void {
		const lane = this.#laneOf(item);
		lane.items.push(item);
		this.#count(lane, item, 1);
	}

	/** Returns an item that was taken and not served to the front of its account's items, and credits the account. */
	unshift(item: Item): void {
		const lane = this.#laneOf(item);
		lane.counter -= item.costTokens / item.share;
		lane.items.unshift(item);
		this.#count(lane, item, 1);
	}

	/** Returns the next item in fair order without removing it; undefined when the queue is empty. */
	peek(): Item | undefined {
		return this.#lowest()?.items[0];
	}

	/** Takes the next item in fair order, among the first items of each account that satisfy the predicate, and charges its account. */
	shift(predicate?: (item: Item) => boolean): Item | undefined {
		const lane = this.#lowest(predicate);
		const item = lane?.items.shift();
		if (!lane || !item) {
			return undefined;
		}

		this.#floor = Math.max(this.#floor, lane.counter);
		lane.counter += item.costTokens / item.share;
		this.#count(lane, item, -1);
		return item;
	}

	/** Corrects an account's charge once the actual cost is known; negative when it was lower. An account whose counter was discarded is ignored. */
	charge(item: QueueItem, extraTokens: number): void {
		const lane = this.#waiting.get(item.account) ?? this.#idle.get(item.account);
		if (lane) {
			lane.counter += extraTokens / item.share;
		}
	}

	/** Removes one item without a charge. False when it is not queued. */
	remove(item: Item): boolean {
		const lane = this.#waiting.get(item.account);
		const index = lane?.items.indexOf(item) ?? -1;
		if (!lane || index === -1) {
			return false;
		}

		lane.items.splice(index, 1);
		this.#count(lane, item, -1);
		return true;
	}

	/** Removes all items that satisfy the predicate, in no particular order and without a charge. */
	takeWhere(predicate: (item: Item) => boolean): Item[] {
		const taken = [...this.#waiting.values()].flatMap(lane => lane.items.filter(item => predicate(item)));
		taken.forEach(item => {
			this.remove(item);
		});
		return taken;
	}

	/** The tokens that would be served before an item that arrives now: those of other accounts only as far as they are ahead in fair order. */
	tokensAheadOf(item: QueueItem): number {
		const ownLane = this.#waiting.get(item.account);
		const start = Math.max(ownLane?.counter ?? this.#idle.get(item.account)?.counter ?? 0, this.#floor);
		const finish = start + ((ownLane?.queuedTokens ?? 0) / item.share);
		let tokens = ownLane?.queuedTokens ?? 0;
		for (const lane of this.#waiting.values()) {
			if (lane !== ownLane) {
				tokens += Math.min(lane.queuedTokens, Math.max(0, (finish - lane.counter) * lane.share));
			}
		}

		return tokens;
	}

	/**
	Selects the item to evict for a new one when the queue is full: the newest item of the account that has the most tokens waiting relative to its share.

	@returns The item to evict, still in the queue; undefined when the new item's own account would have the most.
	*/
	evictionCandidateFor(item: QueueItem): Item | undefined {
		const ownLane = this.#waiting.get(item.account);
		let highestWeight = ((ownLane?.queuedTokens ?? 0) + item.costTokens) / item.share;
		let heaviestLane: Lane<Item> | undefined;
		for (const lane of this.#waiting.values()) {
			const weight = lane.queuedTokens / lane.share;
			if (lane !== ownLane && weight > highestWeight) {
				highestWeight = weight;
				heaviestLane = lane;
			}
		}

		return heaviestLane?.items.at(-1);
	}

	#count(lane: Lane<Item>, item: Item, sign: 1 | -1) {
		this.#length += sign;
		this.#queuedTokens += sign * item.costTokens;
		lane.queuedTokens += sign * item.costTokens;
		if (lane.items.length === 0) {
			this.#waiting.delete(item.account);
			this.#lanes.splice(this.#lanes.indexOf(lane), 1);
			this.#idle.set(item.account, lane);
			this.#trimIdle();
		}
	}

	#laneOf(item: Item): Lane<Item> {
		const waiting = this.#waiting.get(item.account);
		if (waiting) {
			return waiting;
		}

		const idle = this.#idle.get(item.account);
		const lane = idle ?? {
			items: [], counter: this.#floor, queuedTokens: 0, share: item.share,
		};
		lane.share = item.share;
		lane.counter = Math.max(lane.counter, this.#floor);
		this.#idle.delete(item.account);
		this.#waiting.set(item.account, lane);
		this.#lanes.push(lane);
		return lane;
	}

	#lowest(predicate?: (item: Item) => boolean): Lane<Item> | undefined {
		let best: Lane<Item> | undefined;
		for (const lane of this.#lanes) {
			if ((!best || lane.counter < best.counter) && (!predicate || predicate(lane.items[0]!))) {
				best = lane;
			}
		}

		return best;
	}

	#trimIdle() {
		if (this.#idle.size > maxIdleLanes) {
			const [oldest] = this.#idle.keys();
			this.#idle.delete(oldest!);
		}
	}
}
