/**
Writes the numbered event log as JSON lines, one per event. `event` is the number in docs/LOG-EVENTS.md, `program` the name of the program and `msg` the text of the event definition; the fields of the event are added.
*/
import {once} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import pino, {type DestinationStream, type Logger} from 'pino';
import {type EventLog} from '../common/services.js';
import type {EventDefinition, LogFields, LogLevel} from '../common/types.js';
import {LineLimit} from './line-limit.js';
import {platformEvents} from './log-events.js';

/** Options of the event log. */
export type EventLogOptions = {
	/** Name of the program. */
	readonly program: string;
	/** Name of the process in the fleet, if it has one. */
	readonly node?: string;
	/** Events below this level are not logged. */
	readonly level: LogLevel;
	/** Destination of the lines; standard output by default. */
	readonly destination?: DestinationStream;
};

/**
Maximum number of buffered bytes. A reader that stops reading standard output must neither delay requests nor exhaust the memory of this process: writing is asynchronous, and lines beyond this limit are dropped.
*/
const maxBufferedBytes = 2_000_000;

/** An {@link EventLog} based on pino. */
export class PinoEventLog implements EventLog {
	readonly #logger: Logger;
	readonly #stdout: ReturnType<typeof pino.destination> | undefined;
	readonly #lineLimit = new LineLimit((of, lines) => {
		this.emit(platformEvents.linesLeftOut, {of, lines});
	});

	#hasPendingLines = false;
	#dropped = 0;
	#reportedDropped = 0;

	constructor({program, node, level, destination}: EventLogOptions) {
		const stdout = destination ? undefined : pino.destination({fd: 1, sync: false, maxLength: maxBufferedBytes});
		this.#stdout = stdout;
		stdout?.on('drain', () => {
			this.#hasPendingLines = false;
			this.#reportDropped();
		});
		stdout?.on('drop', () => {
			this.#dropped += 1;
		});
		this.#logger = pino({
			level,
			base: node === undefined ? {program} : {program, node},
			timestamp: pino.stdTimeFunctions.isoTime,
			formatters: {level: label => ({level: label})},
		}, destination ?? stdout);
	}

	/** Number of lines dropped since the start, because the reader of the log was too slow. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Sets the lowest level that is logged. */
	setLevel(level: LogLevel): void {
		this.#logger.level = level;
	}

	emit(event: EventDefinition, fields?: LogFields): void {
		const {number, level, text} = event;
		if (!this.#lineLimit.mayWrite(event)) {
			return;
		}

		this.#hasPendingLines = this.#logger.isLevelEnabled(level) || this.#hasPendingLines;
		this.#logger[level]({event: number, ...fields}, text);
	}

	/**
	Resolves when all events have been written, so that the last events are not lost when the process exits, or after `limitMs` milliseconds, since the reader may never resume.

	The synchronous flush of the library is no substitute: it overtakes a write in progress in another thread, so that the last events would appear in the log before those that caused them.
	*/
	async written(limitMs: number): Promise<void> {
		if (!this.#hasPendingLines || !this.#stdout) {
			return;
		}

		const controller = new AbortController();
		const drained = once(this.#stdout, 'drain', {signal: controller.signal});
		const limit = pause(limitMs, undefined, {signal: controller.signal});
		await Promise.race([drained, limit]);
		controller.abort();
		await Promise.allSettled([drained, limit]);
	}

	/** Logs the number of dropped lines, so that a gap in the log is not mistaken for a process without activity. */
	#reportDropped() {
		const lines = this.#dropped - this.#reportedDropped;
		if (lines > 0) {
			this.#reportedDropped = this.#dropped;
			this.emit(platformEvents.linesDropped, {lines, sinceStart: this.#dropped});
		}
	}
}
