/**
A clock that a test sets by hand.
*/
import type {Clock} from '../services.js';

/** A clock that moves only by `advance`. */
export class ManualClock implements Clock {
	readonly #sleepers: Array<{readonly until: number; readonly wake: () => void}> = [];
	#now = 0;

	now(): number {
		return this.#now;
	}

	wall(): number {
		return this.#now;
	}

	async sleep(ms: number): Promise<void> {
		return new Promise(wake => {
			this.#sleepers.push({until: this.#now + ms, wake});
		});
	}

	/** Advances the clock by `ms` milliseconds and resolves the sleeps that are due. */
	advance(ms: number): void {
		this.#now += ms;
		const due = this.#sleepers.filter(({until}) => until <= this.#now);
		due.forEach(sleeper => {
			this.#sleepers.splice(this.#sleepers.indexOf(sleeper), 1);
			sleeper.wake();
		});
	}
}
