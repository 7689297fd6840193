/**
Counts how many places of the backend server each client account holds, and how many its share would give it among the accounts that were active a moment ago. Fair order in the queue is not enough: once an account has filled the places, a request of another waits for one of them to end, however short the queue is.
*/
import type {AccountName} from './ids.js';
import type {QueueItem} from './fair-queue.js';
import type {Clock} from './services.js';

type Slots = {share: number; running: number; prefilling: number; seenAt: number};

const activeMs = 2000;
/** Of the places, the part that an account over its share leaves free while others are active. */
export const headroomShare = 0.25;

// Requests of an account that keeps to its share come in bursts too.
const burstFactor = 2;

/** Places by account. */
export class AccountSlots {
	readonly #clock: Clock;
	readonly #maxRunning: number;
	readonly #accounts = new Map<AccountName, Slots>();
	#shares = 0;
	#prunedAt = 0;

	/** @param maxRunning - Requests the backend server runs at once. */
	constructor(clock: Clock, maxRunning: number) {
		this.#clock = clock;
		this.#maxRunning = maxRunning;
	}

	/** Counts an account among the active ones for a moment. */
	recordActivity({account, share}: QueueItem): void {
		this.#prune();
		const slots = this.#slotsOf(account);
		this.#shares += share - slots.share;
		slots.share = share;
		slots.seenAt = this.#clock.now();
	}

	began({account}: QueueItem): void {
		const slots = this.#slotsOf(account);
		slots.running += 1;
		slots.prefilling += 1;
	}

	/** The prompt is computed. */
	prefilled({account}: QueueItem): void {
		this.#slotsOf(account).prefilling -= 1;
	}

	/** @param hadToken - False when the prompt was not computed yet. */
	ended({account}: QueueItem, hadToken: boolean): void {
		const slots = this.#slotsOf(account);
		slots.running -= 1;
		slots.prefilling -= hadToken ? 0 : 1;
	}

	/** True when the account's next request would take more than twice its share of the places, while other accounts are active. */
	isOverShare({account}: QueueItem): boolean {
		const slots = this.#slotsOf(account);
		const fair = Math.min(Math.ceil(this.#maxRunning * slots.share / this.#shares * burstFactor), this.#maxRunning * (1 - headroomShare));
		return slots.share < this.#shares && slots.running >= fair;
	}

	/** Requests of the account whose prompts are being computed. */
	prefilling({account}: QueueItem): number {
		return this.#slotsOf(account).prefilling;
	}

	#slotsOf(account: AccountName): Slots {
		const known = this.#accounts.get(account);
		if (known) {
			return known;
		}

		const slots = {
			share: 0, running: 0, prefilling: 0, seenAt: this.#clock.now(),
		};
		this.#accounts.set(account, slots);
		return slots;
	}

	#prune() {
		const now = this.#clock.now();
		if (now - this.#prunedAt < activeMs) {
			return;
		}

		this.#prunedAt = now;
		[...this.#accounts].filter(([, slots]) => slots.running === 0 && now - slots.seenAt >= activeMs).forEach(([account, slots]) => {
			this.#shares -= slots.share;
			this.#accounts.delete(account);
		});
	}
}
