/**
What commands work with: the two ends they talk to, opened when first needed, and where they print.
*/
import {type Either} from 'purify-ts/Either';
import type {
	Clock, Disposable, ObjectApi, RandomSource,
} from '../common/services.js';
import {type CtlError} from './ctl-error.js';
import {type EntryClient} from './entry-client.js';

/** Where commands print. */
export type Output = {
	/** `json` prints resources as they are, for programs. */
	readonly format: 'json' | 'table';
	/** Whether a person watches standard output. */
	readonly isTerminal: boolean;
	/** One line for standard output. */
	print(line: string): void;
	/** Raw text for standard output. */
	write(text: string | Uint8Array): void;
	/** One line beside the result, for standard error. */
	tell(line: string): void;
};

/** Given to each command. `dispose` closes what was opened. */
export type CtlContext = Disposable & {
	readonly output: Output;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly newChangeId: () => string;
	/** Aborted when the operator ends the program. */
	readonly signal: AbortSignal;
	/** The object API, or a usage error that says how to give its address. */
	objectApi(): Either<CtlError, ObjectApi>;
	/** An entry, or a usage error that says how to give its address. */
	entry(accountKey: string | undefined): Either<CtlError, EntryClient>;
};
