/**
An event log that keeps the decisions, for showing them.
*/
import type {EventLog} from '../common/services.js';
import type {EventDefinition, LogFields} from '../common/types.js';

/** An event with its fields. */
export type LoggedEvent = EventDefinition & {readonly fields: LogFields};

/** Keeps the last events in memory. */
export class DecisionLog implements EventLog {
	readonly #events: LoggedEvent[] = [];
	readonly #kept: number;

	/** @param kept - Events kept; older ones are dropped. Default 1000. */
	constructor(kept = 1000) {
		this.#kept = kept;
	}

	/** The events with these numbers, oldest first. */
	withNumbers(numbers: readonly number[]): readonly LoggedEvent[] {
		return this.#events.filter(event => numbers.includes(event.number));
	}

	emit(event: EventDefinition, fields: LogFields = {}): void {
		this.#events.push({...event, fields});
		if (this.#events.length > this.#kept) {
			this.#events.shift();
		}
	}
}
