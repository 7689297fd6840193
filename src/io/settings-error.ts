/**
Problems of a settings or resource file, reported with file, line, column and key, so that an operator can locate them without reading the code.
*/
import {exitCodes, type ExitCode} from './exit-codes.js';

/** One problem at a position in a file. */
export type SettingsProblem = {
	readonly file: string;
	/** Counts from 1. */
	readonly line: number;
	/** Counts from 1. */
	readonly column: number;
	/** Path of the key, for instance `metrics.address`; `(file)` when the problem does not belong to a key. */
	readonly key: string;
	readonly message: string;
};

/** The file cannot be read, or it was read and has at least one problem. */
export type SettingsError
	= | {readonly kind: 'unreadable'; readonly file: string; readonly reason: string}
		| {readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[]};

/** Key of a problem that concerns the entire file. */
export const entireFile = '(file)';

/**
@returns `file:line:column: key: message`, a format from which editors can open the position.
*/
export const formatProblem = ({file, line, column, key, message}: SettingsProblem): string => `${file}:${line}:${column}: ${key}: ${message}`;

type ErrorReport = {readonly lines: readonly string[]; readonly exitCode: ExitCode};

/**
@returns One line for each problem, and the exit code of the process.
*/
export const describeSettingsError = (err: SettingsError): ErrorReport => err.kind === 'unreadable'
	? {lines: [`${err.file}: ${err.reason}`], exitCode: exitCodes.fileMissing}
	: {lines: err.problems.map(formatProblem), exitCode: exitCodes.settings};
