/**
Time limits that count only the time in which this process ran. On a busy machine a process may be paused for longer than a call may take; what was sent to it meanwhile, or what it had yet to send itself, says nothing of the other end. A limit is counted in steps, each of which ends when the sockets have been read, as after a pause timers come before sockets. A pause counts as one step, however long it was.
*/
import type {Disposable} from '../common/services.js';

const stepsOfLimit = 4;

/** See the module's head. */
export class TimeLimit implements Disposable {
	readonly #stepMs: number;
	readonly #onOver: () => void;
	#left = stepsOfLimit;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	/**
	@param ms - Milliseconds.
	@param onOver - Called once, unless the limit is disposed of before.
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
