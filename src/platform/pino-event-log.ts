/**
The numbered log as JSON lines, one an event: `event` is the number in docs/LOG-EVENTS.md, `program` who wrote it, `msg` the catalogue's text, and beside them the event's own fields.
*/
import pino, {type DestinationStream, type Logger} from 'pino';
import type {Disposable, EventLog} from '../common/services.js';
import type {EventDefinition, LogFields, LogLevel} from '../common/types.js';

/** What the log needs to know. */
export type EventLogOptions = {
	/** The name of the program. */
	readonly program: string;
	/** Less urgent events are left out. */
	readonly level: LogLevel;
	/** Where lines go; standard output by default. */
	readonly destination?: DestinationStream;
};

/**
A reader that stops reading standard output must not hold up requests, nor grow this process beyond its memory. Writing is asynchronous, and once this many bytes wait, further lines are dropped.
*/
const waitingLimitBytes = 2_000_000;

/** An {@link EventLog} by pino. */
export class PinoEventLog implements EventLog, Disposable {
	readonly #logger: Logger;
	readonly #flush: () => void;

	constructor({program, level, destination}: EventLogOptions) {
		const stdout = destination ? undefined : pino.destination({fd: 1, sync: false, maxLength: waitingLimitBytes});
		this.#flush = () => {
			stdout?.flushSync();
		};

		this.#logger = pino({
			level,
			base: {program},
			timestamp: pino.stdTimeFunctions.isoTime,
			formatters: {level: label => ({level: label})},
		}, destination ?? stdout);
	}

	emit({number, level, text}: EventDefinition, fields?: LogFields): void {
		this.#logger[level]({event: number, ...fields}, text);
	}

	/** Writes what waits, so that the last events of a process are not lost with it. */
	dispose(): void {
		this.#flush();
	}
}
