/**
The time limit of calls to one server, which follows its answers. A fixed limit either detects a lost call late, or discards every answer of a server that has become slower than the limit: a process that reads its state at the start would then never get it, however often it tries.
*/

/** Factor by which the limit grows with each late answer. */
const growth = 2;

/** Share of the limit that remains after an answer that would have met the usual limit easily. */
const decay = 0.75;

/** An answer within this share of the usual limit shows that the server is as fast as usual. */
const easilyMetShare = 0.5;

/** See the module's head. */
export class AnswerTimeLimit {
	readonly #usualMs: number;
	readonly #longestMs: number;
	#ms: number;

	/** @param limits - The limit without late answers, and the longest, in milliseconds. */
	constructor({usualMs, longestMs}: {readonly usualMs: number; readonly longestMs: number}) {
		this.#usualMs = usualMs;
		this.#longestMs = Math.max(usualMs, longestMs);
		this.#ms = usualMs;
	}

	/** The limit of the next call, in milliseconds. */
	get ms(): number {
		return this.#ms;
	}

	/** Records an answer within the limit, that took this long in milliseconds. */
	noteInTime(ms: number): void {
		if (ms <= easilyMetShare * this.#usualMs) {
			this.#ms = Math.max(this.#usualMs, this.#ms * decay);
		}
	}

	/**
	Records an answer that came after the limit.

	@param limitMs - The limit that it has missed; answers to calls from before the last growth add nothing.
	*/
	noteLate(limitMs: number): void {
		this.#ms = Math.min(this.#longestMs, Math.max(this.#ms, limitMs * growth));
	}
}
