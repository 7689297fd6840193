/**
Time that passes only when a benchmark lets it: events run in the order of their times, so that a result depends on the seed alone and not on the machine.
*/
import type {Clock} from '../../src/common/services.js';

type Event = {readonly at: number; readonly order: number; readonly act: () => void};

const isBefore = (a: Event, b: Event) => a.at < b.at || (a.at === b.at && a.order < b.order);

/** A clock and its queue of events, kept as a binary heap. */
export class VirtualTime implements Clock {
	readonly #heap: Event[] = [];
	#now = 0;
	#order = 0;

	now(): number {
		return this.#now;
	}

	wall(): number {
		return this.#now;
	}

	async sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.after(ms, resolve);
		});
	}

	/** Lets something happen after `ms` milliseconds. */
	after(ms: number, act: () => void): void {
		this.#order += 1;
		this.#heap.push({at: this.#now + ms, order: this.#order, act});
		this.#rise(this.#heap.length - 1);
	}

	/** Lets something happen again and again. */
	repeat(ms: number, act: () => void): void {
		this.after(ms, () => {
			act();
			this.repeat(ms, act);
		});
	}

	/** Runs all events up to a time. */
	runUntil(ms: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= ms) {
			const event = this.#pop();
			this.#now = event.at;
			event.act();
		}

		this.#now = ms;
	}

	#pop(): Event {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#sink();
		}

		return first;
	}

	#rise(index: number) {
		let at = index;
		while (at > 0) {
			const parent = Math.floor((at - 1) / 2);
			if (!isBefore(this.#heap[at]!, this.#heap[parent]!)) {
				return;
			}

			this.#swap(at, parent);
			at = parent;
		}
	}

	#sink() {
		let at = 0;
		while (true) {
			const left = (2 * at) + 1;
			const least = [left, left + 1]
				.filter(child => child < this.#heap.length)
				.reduce((best, child) => isBefore(this.#heap[child]!, this.#heap[best]!) ? child : best, at);
			if (least === at) {
				return;
			}

			this.#swap(at, least);
			at = least;
		}
	}

	#swap(a: number, b: number) {
		[this.#heap[a], this.#heap[b]] = [this.#heap[b]!, this.#heap[a]!];
	}
}
