/**
Writes a trace of decisions to a file, one JSON object a line, for `replay` in another process or another day. Lines are gathered and written a piece at a time; the file is for a person who looks for the cause of something, and is left out in ordinary service.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import pino from 'pino';
import type {DecisionRecord, DecisionTrace} from '../common/decision-trace.js';
import type {Disposable} from '../common/services.js';
import {exitCodes} from './exit-codes.js';
import type {StartError} from './program.js';

/** Bytes that are gathered before they are written. */
const gatheredBytes = 65_536;

// JSON has no infinities; a replica that was never heard was heard at minus infinity.
const plain = (_key: string, value: unknown) => value === Number.NEGATIVE_INFINITY ? null : value;

/** A decision as a line of a trace, without its line break. */
export const traceLine = (decision: DecisionRecord): string => JSON.stringify(decision, plain);

/** A trace in a file. */
export class JsonlTrace implements DecisionTrace, Disposable {
	/** Opens a file for appending; fails when it can not be written. */
	static open(file: string): Either<StartError, JsonlTrace> {
		try {
			return Right(new JsonlTrace(pino.destination({
				dest: file, append: true, sync: true, minLength: gatheredBytes,
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

	/** Writes out what was gathered. */
	dispose(): void {
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#destination.flushSync();
			this.#destination.end();
		}
	}
}
