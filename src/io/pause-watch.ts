/**
Tells whether this process has just been paused, for instance suspended or without a processor. What is handled right after a pause, such as a signal, may have happened at any moment of it.
*/
import type {Clock, Disposable} from '../common/services.js';

const tickMs = 500;

/** A longer time between two ticks is a pause, in milliseconds. */
const minPauseMs = 2 * tickMs;

/** What is handled within this time after the first tick that follows a pause may still have happened in it, in milliseconds: the event loop may run the tick before it reads what has arrived. */
const wakeMs = 100;

/** See the module's head. Keeps the event loop alive until it is disposed of. */
export class PauseWatch implements Disposable {
	readonly #clock: Pick<Clock, 'now'>;
	readonly #timer: NodeJS.Timeout;
	#tickedAt: number;
	#pauseBeganAt = -Infinity;
	#pauseEndedAt = -Infinity;

	constructor(clock: Pick<Clock, 'now'>) {
		this.#clock = clock;
		this.#tickedAt = clock.now();
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickMs);
	}

	/** The earliest moment at which something that is handled now can have happened, in milliseconds on the monotonic clock: now, or the beginning of the pause that has just ended. */
	get earliest(): number {
		const now = this.#clock.now();
		if (now - this.#tickedAt > minPauseMs) {
			return this.#tickedAt;
		}

		return now - this.#pauseEndedAt < wakeMs ? this.#pauseBeganAt : now;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#tick() {
		const now = this.#clock.now();
		if (now - this.#tickedAt > minPauseMs) {
			this.#pauseBeganAt = this.#tickedAt;
			this.#pauseEndedAt = now;
		}

		this.#tickedAt = now;
	}
}
