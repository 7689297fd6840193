/**
Tracks the earliest time at which data that is read now can have arrived. After a pause of this process, an answer or message that waited in a socket buffer looks new, but may be as old as the pause.
*/
import type {Clock, Disposable} from '../common/services.js';

/** Milliseconds between two readings of the clock. */
const tickMs = 50;

/** Reads the clock at intervals and confirms each reading once the sockets have been read. */
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

	/** Everything that arrived before this time has been read; milliseconds on the monotonic clock. Data read now arrived later. */
	get readUntil(): number {
		return this.#readUntil;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#tick() {
		const now = this.#clock.now();
		// Node reads sockets between timers and immediates.
		setImmediate(() => {
			this.#readUntil = now;
		});
	}
}
