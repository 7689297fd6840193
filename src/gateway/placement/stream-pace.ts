/**
Observes the pace of a replica on one stream as it passes: counts the events of each chunk and the time since the last one. The calls and the runs of batch items own one each.
*/
import type {Buffer} from 'node:buffer';
import type {Clock} from '../../common/services.js';
import {eventBoundaries} from '../calls/event-framer.js';
import type {ReplicaPace} from './replica-pace.js';

/** Chunks that arrive within this time, in milliseconds, are counted together: they have waited in a buffer, and the gaps between them say nothing. */
const minSpanMs = 12;

const countOf = (bytes: Buffer, end: string): number => {
	let count = 0;
	let at = bytes.indexOf(end);
	while (at !== -1) {
		count += 1;
		at = bytes.indexOf(end, at + end.length);
	}

	return count;
};

/** Number of events that end within the bytes. Each kind of line end is searched for only if the one before it does not occur. */
export const countEvents = (bytes: Buffer): number => eventBoundaries.reduce((count, end) => count > 0 ? count : countOf(bytes, end), 0);

/** See the module's head. */
export class StreamPace {
	readonly #pace: ReplicaPace;
	readonly #clock: Clock;
	/** When the last counted event came; `undefined` before the first one and after a pause. */
	#since: number | undefined;
	#events = 0;

	constructor(pace: ReplicaPace, clock: Clock) {
		this.#pace = pace;
		this.#clock = clock;
	}

	/** Observes bytes of the stream. The first events show nothing, since they include the reading of the prompt. */
	noteChunk(bytes: Buffer): void {
		const events = countEvents(bytes);
		if (events === 0) {
			return;
		}

		const now = this.#clock.now();
		if (this.#since === undefined) {
			this.#since = now;
			return;
		}

		this.#events += events;
		const spanMs = now - this.#since;
		if (spanMs >= minSpanMs) {
			this.#pace.observe(spanMs / this.#events, this.#events, now);
			this.#since = now;
			this.#events = 0;
		}
	}

	/** The reader of the stream does not keep up, so the next gap does not show the replica's pace. */
	notePause(): void {
		this.#since = undefined;
		this.#events = 0;
	}
}
