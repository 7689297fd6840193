/**
Batch items whose prompts are too long to be computed beside online work. An engine computes such a prompt over many steps, each far longer than usual, and every online request in it waits with it; cancelling the item is the only way to stop that. So a long prompt gives way while online work is present: it is held back, or taken back before its first token. After a while it gives way no longer, since an accepted item must complete on an engine that is never without online work too.
*/
import type {Clock} from './services.js';

/** What is held back: a batch item by its key. */
export type LongPrompt = {readonly key: string};

/** How long, in milliseconds since it could first have started, a long prompt gives way. */
export const yieldPeriodMs = 60_000;

/** The long prompts of one agent. */
export class LongPrompts<Item extends LongPrompt> {
	readonly #clock: Clock;
	readonly #until = new Map<string, number>();
	#held: Item[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Items held back. */
	get length(): number {
		return this.#held.length;
	}

	/** True while the item is to make way for online work. */
	shouldYield({key}: Item): boolean {
		const until = this.#until.get(key) ?? this.#clock.now() + yieldPeriodMs;
		this.#until.set(key, until);
		return this.#clock.now() < until;
	}

	/** Holds an item back. */
	holdBack(item: Item): void {
		this.#held.push(item);
	}

	/** Lets the items go that need not be held back any more, the first first. */
	release(isOnlinePresent: boolean): Item[] {
		if (this.#held.length === 0) {
			return [];
		}

		const staying = isOnlinePresent ? this.#held.filter(item => this.shouldYield(item)) : [];
		const released = this.#held.filter(item => !staying.includes(item));
		this.#held = staying;
		return released;
	}

	/** Takes an item out that is not to run any more. False when it is not held back. */
	remove({key}: LongPrompt): boolean {
		const before = this.#held.length;
		this.#held = this.#held.filter(item => item.key !== key);
		return this.#held.length < before;
	}

	/** Forgets an item that has ended. */
	clearYieldDeadline(key: string): void {
		this.#until.delete(key);
	}
}
