/**
A pause between two rounds of a loop that ends early when there is work.
*/
import type {Clock} from '../common/services.js';

/** One loop's pause. */
export class WakeablePause {
	readonly #clock: Clock;
	#wake: (() => void) | undefined;
	#isWoken = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Waits for `ms` milliseconds, or not at all when there was a `wake` since the last pause. */
	async sleep(ms: number): Promise<void> {
		if (!this.#isWoken) {
			const woken = new Promise<void>(resolve => {
				this.#wake = resolve;
			});
			await Promise.race([this.#clock.sleep(ms), woken]);
		}

		this.#isWoken = false;
	}

	/** Ends the pause, or the next one. */
	wake(): void {
		this.#isWoken = true;
		this.#wake?.();
	}
}
