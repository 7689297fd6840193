/**
The calls that wait at this process, in the order in which they are to begin. Its length and the bytes of its calls' bodies are bounded; its owner bounds the time. A call whose caller leaves is removed at once.
*/

/** What determines a call's place in the line. */
export type LinePlace = {
	readonly rank: number;
	readonly isReturned: boolean;
	readonly arrivedAt: number;
	/** Of the body that is kept for the call. */
	readonly bytes: number;
};

/** Bounds of a line. */
export type LineBounds = {readonly maxCalls: number; readonly maxBytes: number};

const precedence = (a: LinePlace, b: LinePlace): number => (a.rank - b.rank) || (Number(b.isReturned) - Number(a.isReturned)) || (a.arrivedAt - b.arrivedAt);

/** See the module's head. */
export class WaitingLine<Entry extends LinePlace> {
	readonly #bounds: LineBounds;
	readonly #entries = new Set<Entry>();
	#bytes = 0;

	constructor(bounds: LineBounds) {
		this.#bounds = bounds;
	}

	get length(): number {
		return this.#entries.size;
	}

	/** The calls, the first to begin first. */
	get inOrder(): readonly Entry[] {
		return [...this.#entries].toSorted(precedence);
	}

	/** @returns False if the line is full; the call is then not in it. */
	join(entry: Entry): boolean {
		const {maxCalls, maxBytes} = this.#bounds;
		if (this.#entries.size >= maxCalls || this.#bytes + entry.bytes > maxBytes) {
			return false;
		}

		this.#entries.add(entry);
		this.#bytes += entry.bytes;
		return true;
	}

	/** @returns Whether the call was in the line. */
	leave(entry: Entry): boolean {
		const wasWaiting = this.#entries.delete(entry);
		this.#bytes -= wasWaiting ? entry.bytes : 0;
		return wasWaiting;
	}
}
