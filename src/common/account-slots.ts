/**
Counts the slots of the backend server that each client account holds, and the slots that its share entitles it to among the accounts active within the last two seconds. A fair order in the queue is not sufficient: once one account has filled all slots, a request of another account waits until one of them ends, however short the queue is.
*/
import type {AccountName} from './ids.js';
import type {QueueItem} from './fair-queue.js';
import type {Clock} from './services.js';

type AccountState = {share: number; running: number; prefilling: number; lastActiveAt: number};

const activityWindowMs = 2000;
/** Share of the slots that an account over its share leaves free while others are active. */
export const headroomShare = 0.25;

// Accounts that stay within their share also send requests in bursts.
const burstFactor = 2;

/** Tracks the slots of each account. */
export class AccountSlots {
	readonly #clock: Clock;
	readonly #maxRunning: number;
	readonly #accounts = new Map<AccountName, AccountState>();
	#totalShares = 0;
	#prunedAt = 0;

	/** @param maxRunning - Requests the backend server runs at once. */
	constructor(clock: Clock, maxRunning: number) {
		this.#clock = clock;
		this.#maxRunning = maxRunning;
	}

	/** Marks an account as active for the next two seconds. */
	recordActivity({account, share}: QueueItem): void {
		this.#prune();
		const state = this.#stateOf(account);
		this.#totalShares += share - state.share;
		state.share = share;
		state.lastActiveAt = this.#clock.now();
	}

	began({account}: QueueItem): void {
		const state = this.#stateOf(account);
		state.running += 1;
		state.prefilling += 1;
	}

	/** Records that the prompt of a request has been computed. */
	prefilled({account}: QueueItem): void {
		this.#stateOf(account).prefilling -= 1;
	}

	/** @param hadToken - False when the prompt was not computed yet. */
	ended({account}: QueueItem, hadToken: boolean): void {
		const state = this.#stateOf(account);
		state.running -= 1;
		state.prefilling -= hadToken ? 0 : 1;
	}

	/** True when the account's next request would take more than twice its share of the slots, while other accounts are active. */
	isOverShare({account}: QueueItem): boolean {
		const state = this.#stateOf(account);
		const fairLimit = Math.min(Math.ceil(this.#maxRunning * state.share / this.#totalShares * burstFactor), this.#maxRunning * (1 - headroomShare));
		return state.share < this.#totalShares && state.running >= fairLimit;
	}

	/** Requests of the account whose prompts are being computed. */
	prefilling({account}: QueueItem): number {
		return this.#stateOf(account).prefilling;
	}

	#stateOf(account: AccountName): AccountState {
		const existing = this.#accounts.get(account);
		if (existing) {
			return existing;
		}

		const state = {
			share: 0, running: 0, prefilling: 0, lastActiveAt: this.#clock.now(),
		};
		this.#accounts.set(account, state);
		return state;
	}

	#prune() {
		const now = this.#clock.now();
		if (now - this.#prunedAt < activityWindowMs) {
			return;
		}

		this.#prunedAt = now;
		[...this.#accounts].filter(([, state]) => state.running === 0 && now - state.lastActiveAt >= activityWindowMs).forEach(([account, state]) => {
			this.#totalShares -= state.share;
			this.#accounts.delete(account);
		});
	}
}
