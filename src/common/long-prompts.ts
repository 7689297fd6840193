/**
Batch items whose prompts are too long to be computed beside online work. An engine computes such a prompt over many steps, each far longer than usual, and delays every online request that it runs; cancelling the item is the only way to stop that. So a long prompt yields while online work is present: it is held back, or preempted before its first token. After {@link yieldPeriodMs} it no longer yields, since an accepted item must also complete on an engine that is never without online work.
*/
import type {Clock} from './services.js';

/** A batch item that can be held back, by its key. */
export type LongPrompt = {readonly key: string};

/** Milliseconds for which a long prompt yields, counted from when it could first have started. */
export const yieldPeriodMs = 60_000;

/** The long prompts of one agent. */
export class LongPrompts<Item extends LongPrompt> {
	readonly #clock: Clock;
	readonly #yieldUntil = new Map<string, number>();
	#held: Item[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Items held back. */
	get length(): number {
		return this.#held.length;
	}

	/** True while the item has to yield to online work. The first call starts its yield period. */
	shouldYield({key}: Item): boolean {
		const yieldUntil = this.#yieldUntil.get(key) ?? this.#clock.now() + yieldPeriodMs;
		this.#yieldUntil.set(key, yieldUntil);
		return this.#clock.now() < yieldUntil;
	}

	/** Holds an item back. */
	holdBack(item: Item): void {
		this.#held.push(item);
	}

	/** Releases the items that no longer have to be held back, the oldest first. */
	release(isOnlinePresent: boolean): Item[] {
		if (this.#held.length === 0) {
			return [];
		}

		const stillHeld = isOnlinePresent ? this.#held.filter(item => this.shouldYield(item)) : [];
		const released = this.#held.filter(item => !stillHeld.includes(item));
		this.#held = stillHeld;
		return released;
	}

	/** Removes an item that is no longer to run. False when it is not held back. */
	remove({key}: LongPrompt): boolean {
		const before = this.#held.length;
		this.#held = this.#held.filter(item => item.key !== key);
		return this.#held.length < before;
	}

	/** Discards the yield period of an item that has ended. */
	clearYieldDeadline(key: string): void {
		this.#yieldUntil.delete(key);
	}
}
