/**
A queue that is fair between client accounts by virtual token counters: each account's counter grows by the tokens it was served, divided by its share, and the waiting account with the lowest counter goes next. An account that was away is lifted to the lowest counter among those waiting, so that absence earns no credit.
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

type Lane<Item> = {items: Item[]; counter: number};

// Accounts whose lanes are empty are forgotten beyond this number, the longest unused first; 26,000 accounts would otherwise stay in memory.
const maxIdleLanes = 1000;

/** Items by account, taken in fair order. Within an account the order of arrival holds. */
export class FairQueue<Item extends QueueItem> {
	readonly #lanes = new Map<AccountName, Lane<Item>>();
	#length = 0;
	#floor = 0;

	/** Items waiting. */
	get length(): number {
		return this.#length;
	}

	push(item: Item): void {
		const lane = this.#laneOf(item.account);
		lane.items.push(item);
		this.#length += 1;
	}

	/** Puts back an item that was taken and not served; its account's counter is credited. */
	unshift(item: Item): void {
		const lane = this.#laneOf(item.account);
		lane.counter -= item.costTokens / item.share;
		lane.items.unshift(item);
		this.#length += 1;
	}

	/** The next item in fair order, which is left in the queue. */
	peek(): Item | undefined {
		return this.#lowest()?.items[0];
	}

	/** Takes the next item and charges its account. */
	shift(): Item | undefined {
		const lane = this.#lowest();
		const item = lane?.items.shift();
		if (!lane || !item) {
			return undefined;
		}

		this.#length -= 1;
		this.#floor = Math.max(this.#floor, lane.counter);
		lane.counter += item.costTokens / item.share;
		return item;
	}

	/** Corrects an account's charge once the true cost is known; negative for less. */
	charge(item: QueueItem, extraTokens: number): void {
		const lane = this.#lanes.get(item.account);
		if (lane) {
			lane.counter += extraTokens / item.share;
		}
	}

	/** Takes out all items for which `fits` holds, in no fair order and without a charge. */
	takeWhere(fits: (item: Item) => boolean): Item[] {
		const taken = [...this.#lanes.values()].flatMap(lane => {
			const out = lane.items.filter(item => fits(item));
			if (out.length > 0) {
				lane.items = lane.items.filter(item => !fits(item));
			}

			return out;
		});
		this.#length -= taken.length;
		return taken;
	}

	#laneOf(account: AccountName): Lane<Item> {
		const known = this.#lanes.get(account);
		if (known) {
			if (known.items.length === 0) {
				known.counter = Math.max(known.counter, this.#waitingFloor());
				// Moves it to the end of the map: the order of last use.
				this.#lanes.delete(account);
				this.#lanes.set(account, known);
			}

			return known;
		}

		const lane = {items: [], counter: this.#waitingFloor()};
		this.#lanes.set(account, lane);
		this.#forgetIdle();
		return lane;
	}

	#waitingFloor(): number {
		const waiting = [...this.#lanes.values()].filter(lane => lane.items.length > 0).map(lane => lane.counter);
		return waiting.length > 0 ? Math.min(...waiting) : this.#floor;
	}

	#lowest(): Lane<Item> | undefined {
		return [...this.#lanes.values()]
			.filter(lane => lane.items.length > 0)
			.reduce<Lane<Item> | undefined>((best, lane) => best && best.counter <= lane.counter ? best : lane, undefined);
	}

	#forgetIdle() {
		if (this.#lanes.size <= maxIdleLanes) {
			return;
		}

		const idle = [...this.#lanes].find(([, lane]) => lane.items.length === 0);
		if (idle) {
			this.#lanes.delete(idle[0]);
		}
	}
}
