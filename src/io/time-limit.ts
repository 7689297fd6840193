/**
Timeouts that do not count pauses of this process. On a busy machine a process may be paused for longer than the time limit of a call; data that arrived or could not be sent meanwhile does not indicate a failure of the other end. The limit is counted in steps, each of which ends only after the sockets have been read, since timers run before sockets after a pause. A pause therefore counts as one step, whatever its length.
*/
import type {Disposable} from '../common/services.js';

const stepCount = 4;

/** A timeout that does not count pauses of this process. */
export class TimeLimit implements Disposable {
	readonly #stepMs: number;
	readonly #onExpired: () => void;
	#remainingSteps = stepCount;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	/**
	@param ms - Time limit in milliseconds.
	@param onExpired - Called once when the limit expires, unless it is disposed of before.
	*/
	constructor(ms: number, onExpired: () => void) {
		this.#stepMs = ms / stepCount;
		this.#onExpired = onExpired;
		this.#scheduleStep();
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
	}

	#scheduleStep() {
		this.#timer = setTimeout(() => {
			setImmediate(() => {
				this.#step();
			});
		}, this.#stepMs);
	}

	#step() {
		this.#remainingSteps -= 1;
		if (this.#isDisposed) {
			return;
		}

		if (this.#remainingSteps > 0) {
			this.#scheduleStep();
		} else {
			this.#onExpired();
		}
	}
}

/** @returns What the promise resolves with, or `undefined` if that takes longer than the limit in milliseconds, not counting pauses of this process. */
export const withinLimit = async <T>(limitMs: number, promise: Promise<T>): Promise<T | undefined> => new Promise(resolve => {
	const limit = new TimeLimit(limitMs, () => {
		resolve(undefined);
	});
	void promise.then(value => {
		limit.dispose();
		resolve(value);
	});
});
