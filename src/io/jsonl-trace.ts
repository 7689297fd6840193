/**
Writes a trace of decisions to a file, one JSON object per line, for a later `replay`. Lines are buffered and written in batches. The trace serves to diagnose problems and is disabled in normal operation.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import pino from 'pino';
import type {DecisionRecord, DecisionTrace} from '../common/decision-trace.js';
import type {Disposable} from '../common/services.js';
import {exitCodes} from './exit-codes.js';
import type {StartError} from './program.js';

/** Number of bytes buffered before a write. */
const bufferBytes = 65_536;

// JSON has no infinities; minus infinity is the last-seen time of a replica from which no message has been received.
const replaceInfinity = (_key: string, value: unknown) => value === Number.NEGATIVE_INFINITY ? null : value;

/** Serialises a decision as a line of a trace, without the line break. */
export const traceLine = (decision: DecisionRecord): string => JSON.stringify(decision, replaceInfinity);

/** A decision trace in a file. */
export class JsonlTrace implements DecisionTrace, Disposable {
	/** Opens a file for appending; returns an error when it cannot be written. */
	static open(file: string): Either<StartError, JsonlTrace> {
		try {
			return Right(new JsonlTrace(pino.destination({
				dest: file, append: true, sync: true, minLength: bufferBytes,
			})));
		} catch (err) {
			return Left({exitCode: exitCodes.unavailable, message: `the trace can not be written: ${(err as Error).message}`});
		}
	}

	readonly #destination: ReturnType<typeof pino.destination>;
	#isOpen = true;

	private constructor(destination: ReturnType<typeof pino.destination>) {
		this.#destination = destination;
	}

	write(decision: DecisionRecord): void {
		if (this.#isOpen) {
			this.#destination.write(`${traceLine(decision)}\n`);
		}
	}

	/** Flushes the buffer and closes the file. */
	dispose(): void {
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#destination.flushSync();
			this.#destination.end();
		}
	}
}
