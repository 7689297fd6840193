/**
A queue that is fair between client accounts by virtual token counters: each account's counter grows by the tokens it was served, divided by its share, and the waiting account with the lowest counter goes next. An account that was away is lifted to the counter that was served last, so that absence earns no credit.

Only accounts with waiting items are looked at when the next item is chosen; the counters of the others are kept apart, bounded in number.
*/
import type {AccountName} from './ids.js';

/** Something that waits. */
export type QueueItem = {
	readonly account: AccountName;
	/** The account's weight, above 0. */
	readonly share: number;
	/** Tokens this item is expected to cost. */
	readonly costTokens: number;
};

type Lane<Item> = {items: Item[]; counter: number; queuedTokens: number; share: number};

// The counters of accounts without waiting items are forgotten beyond this number, the longest unused first; 26,000 accounts would otherwise stay in memory. A forgotten account starts again at the counter served last, which is where absence would have lifted it anyway.
const maxIdleLanes = 1000;

/** Items by account, taken in fair order. Within an account the order of arrival holds. */
export class FairQueue<Item extends QueueItem> {
	readonly #waiting = new Map<AccountName, Lane<Item>>();
	// The lanes of #waiting, for the search of the lowest: an array is read several times faster than a map.
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

	/** Puts back an item that was taken and not served; its account's counter is credited. */
	unshift(item: Item): void {
		const lane = this.#laneOf(item);
		lane.counter -= item.costTokens / item.share;
		lane.items.unshift(item);
		this.#count(lane, item, 1);
	}

	/** The next item in fair order, which is left in the queue. */
	peek(): Item | undefined {
		return this.#lowest()?.items[0];
	}

	/** Takes the next item for which `fits` holds at the head of its account's items, and charges the account. */
	shift(fits?: (item: Item) => boolean): Item | undefined {
		const lane = this.#lowest(fits);
		const item = lane?.items.shift();
		if (!lane || !item) {
			return undefined;
		}

		this.#floor = Math.max(this.#floor, lane.counter);
		lane.counter += item.costTokens / item.share;
		this.#count(lane, item, -1);
		return item;
	}

	/** Corrects an account's charge once the true cost is known; negative for less. An account that was forgotten is left alone. */
	charge(item: QueueItem, extraTokens: number): void {
		const lane = this.#waiting.get(item.account) ?? this.#idle.get(item.account);
		if (lane) {
			lane.counter += extraTokens / item.share;
		}
	}

	/** Takes out one item, without a charge. False when it does not wait here. */
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

	/** Takes out all items for which `fits` holds, in no fair order and without a charge. */
	takeWhere(fits: (item: Item) => boolean): Item[] {
		const taken = [...this.#waiting.values()].flatMap(lane => lane.items.filter(item => fits(item)));
		taken.forEach(item => {
			this.remove(item);
		});
		return taken;
	}

	/** The tokens that go before an item that came now: those of other accounts only as far as they are ahead in fair order. */
	tokensAheadOf(item: QueueItem): number {
		const own = this.#waiting.get(item.account);
		const start = Math.max(own?.counter ?? this.#idle.get(item.account)?.counter ?? 0, this.#floor);
		const finish = start + ((own?.queuedTokens ?? 0) / item.share);
		let tokens = own?.queuedTokens ?? 0;
		for (const lane of this.#waiting.values()) {
			if (lane !== own) {
				tokens += Math.min(lane.queuedTokens, Math.max(0, (finish - lane.counter) * lane.share));
			}
		}

		return tokens;
	}

	/**
	Makes room for an item when the queue is full: the newest item of the account that has most waiting for its share.

	@returns The item that has to give way, still in the queue; undefined when the new item's own account would have most.
	*/
	evictionCandidateFor(item: QueueItem): Item | undefined {
		const own = this.#waiting.get(item.account);
		let most = ((own?.queuedTokens ?? 0) + item.costTokens) / item.share;
		let surplus: Lane<Item> | undefined;
		for (const lane of this.#waiting.values()) {
			const weight = lane.queuedTokens / lane.share;
			if (lane !== own && weight > most) {
				most = weight;
				surplus = lane;
			}
		}

		return surplus?.items.at(-1);
	}

	#count(lane: Lane<Item>, item: Item, sign: 1 | -1) {
		this.#length += sign;
		this.#queuedTokens += sign * item.costTokens;
		lane.queuedTokens += sign * item.costTokens;
		if (lane.items.length === 0) {
			this.#waiting.delete(item.account);
			this.#lanes.splice(this.#lanes.indexOf(lane), 1);
			this.#idle.set(item.account, lane);
			this.#forgetIdle();
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

	#lowest(fits?: (item: Item) => boolean): Lane<Item> | undefined {
		let best: Lane<Item> | undefined;
		for (const lane of this.#lanes) {
			if ((!best || lane.counter < best.counter) && (!fits || fits(lane.items[0]!))) {
				best = lane;
			}
		}

		return best;
	}

	#forgetIdle() {
		if (this.#idle.size > maxIdleLanes) {
			const [oldest] = this.#idle.keys();
			this.#idle.delete(oldest!);
		}
	}
}
