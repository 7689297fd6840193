/**
Timeouts that do not count pauses of this process. On a busy machine a process may be paused for longer than the time limit of a call; data that arrived or could not be sent meanwhile does not indicate a failure of the other end. The limit is counted in steps, each of which ends only after the sockets have been read, since timers run before sockets after a pause. A pause therefore counts as one step, whatever its length.
*/
import type {Disposable} from '../common/services.js';

const stepsOfLimit = 4;

/** A timeout that does not count pauses of this process. */
export class TimeLimit implements Disposable {
	readonly #stepMs: number;
	readonly #onOver: () => void;
	#left = stepsOfLimit;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	/**
	@param ms - Time limit in milliseconds.
	@param onOver - Called once when the limit expires, unless it is disposed of before.
	*/
	constructor(ms: number, onOver: () => void) {
		this.#stepMs = ms / stepsOfLimit;
		this.#onOver = onOver;
		this.#next();
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
	}

	#next() {
		this.#timer = setTimeout(() => {
			setImmediate(() => {
				this.#step();
			});
		}, this.#stepMs);
	}

	#step() {
		this.#left -= 1;
		if (this.#isDisposed) {
			return;
		}

		if (this.#left > 0) {
			this.#next();
		} else {
			this.#onOver();
		}
	}
}
