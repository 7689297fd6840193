/**
Tells how long ago what is read now may have arrived. After a pause of this process an answer or a message that has waited in its sockets looks new; it may be as old as the pause.
*/
import type {Clock, Disposable} from '../common/services.js';

/** Milliseconds between two looks at the clock. */
const tickMs = 50;

/** See the module's head. */
export class ReadProgress implements Disposable {
	readonly #clock: Clock;
	readonly #timer: NodeJS.Timeout;
	#readUntil: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#readUntil = clock.now();
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickMs);
	}

	/** What had arrived by then has been read, in milliseconds on the monotonic clock. What is read now arrived later. */
	get readUntil(): number {
		return this.#readUntil;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#tick() {
		const now = this.#clock.now();
		// Sockets are read between timers and immediates.
		setImmediate(() => {
			this.#readUntil = now;
		});
	}
}
