/**
Bounds the lines in a second of each log event that any client can bring about by sending what is refused, so that clients cannot make a process write without end. Lines beyond the bound are counted; the count is reported when the second is over. Other events have no bound.
*/
import type {EventDefinition} from '../common/types.js';

/** Lines of one event in a second. */
const linesPerSecond = 20;

const secondMs = 1000;

type Second = {
	written: number;
	leftOut: number;
};

/** See the module's head. */
export class LineLimit {
	readonly #onLeftOut: (eventNumber: number, lines: number) => void;
	readonly #seconds = new Map<number, Second>();

	/** @param onLeftOut - Called after a second in which lines of an event were left out. */
	constructor(onLeftOut: (eventNumber: number, lines: number) => void) {
		this.#onLeftOut = onLeftOut;
	}

	/** Counts a line. @returns Whether it may be written. */
	mayWrite({number, isRefusal}: EventDefinition): boolean {
		if (!isRefusal) {
			return true;
		}

		const second = this.#seconds.get(number) ?? this.#begin(number);
		if (second.written >= linesPerSecond) {
			second.leftOut += 1;
			return false;
		}

		second.written += 1;
		return true;
	}

	#begin(eventNumber: number): Second {
		const second = {written: 0, leftOut: 0};
		this.#seconds.set(eventNumber, second);
		setTimeout(() => {
			this.#seconds.delete(eventNumber);
			if (second.leftOut > 0) {
				this.#onLeftOut(eventNumber, second.leftOut);
			}
		}, secondMs).unref();
		return second;
	}
}
