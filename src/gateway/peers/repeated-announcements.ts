/**
Entries that a process announces to its peers repeatedly for a short time, so that the loss of a few messages loses none of them.
*/
import type {Clock} from '../../common/services.js';

/** How long an entry is announced by default, in milliseconds: in about eight messages. */
const usualDurationMs = 2000;

/** See the module's head. An entry that is set again is announced for the whole time again. */
export class RepeatedAnnouncements<K, V> {
	readonly #clock: Pick<Clock, 'now'>;
	readonly #most: number;
	readonly #durationMs: number;
	/** The newest entry comes last. */
	readonly #entries = new Map<K, {readonly value: V; readonly at: number}>();

	/**
	@param most - Maximum number of entries in one message; the newest ones are announced.
	@param durationMs - How long an entry is announced.
	*/
	constructor(clock: Pick<Clock, 'now'>, most: number, durationMs = usualDurationMs) {
		this.#clock = clock;
		this.#most = most;
		this.#durationMs = durationMs;
	}

	/** Whether there is certainly nothing to announce. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	get(key: K): V | undefined {
		return this.#entries.get(key)?.value;
	}

	set(key: K, value: V): void {
		this.#entries.delete(key);
		this.#entries.set(key, {value, at: this.#clock.now()});
	}

	/** Replaces each value, or deletes its entry where the function returns `undefined`. */
	update(change: (value: V) => V | undefined): void {
		this.#entries.forEach(({value, at}, key) => {
			const changed = change(value);
			if (changed === undefined) {
				this.#entries.delete(key);
			} else {
				this.#entries.set(key, {value: changed, at});
			}
		});
	}

	/** What is to be announced now. */
	current(): readonly V[] {
		const since = this.#clock.now() - this.#durationMs;
		this.#entries.forEach(({at}, key) => {
			if (at < since) {
				this.#entries.delete(key);
			}
		});
		return [...this.#entries.values()].slice(-this.#most).map(({value}) => value);
	}
}
