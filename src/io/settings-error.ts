/**
What is wrong with a settings or resource file, told by file, line, column and key, so that an operator finds the place without knowing the code.
*/
import {exitCodes, type ExitCode} from './exit-codes.js';

/** One problem at one place of a file. */
export type SettingsProblem = {
	readonly file: string;
	/** Counts from 1. */
	readonly line: number;
	/** Counts from 1. */
	readonly column: number;
	/** The path of the key, for instance `metrics.address`; `(file)` when the problem is not one key's. */
	readonly key: string;
	readonly message: string;
};

/** The file cannot be read, or it was read and has problems (at least one). */
export type SettingsError
	= | {readonly kind: 'unreadable'; readonly file: string; readonly reason: string}
		| {readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[]};

/** The key of a problem that belongs to the file as a whole. */
export const wholeFile = '(file)';

/**
@param problem - One problem.
@returns `file:line:column: key: message`, a form that editors jump to.
*/
export const formatProblem = ({file, line, column, key, message}: SettingsProblem): string => `${file}:${line}:${column}: ${key}: ${message}`;

type Told = {readonly lines: readonly string[]; readonly exitCode: ExitCode};

/**
@param err - What is wrong.
@returns One line for each problem, and the code to exit with.
*/
export const describeSettingsError = (err: SettingsError): Told => err.kind === 'unreadable'
	? {lines: [`${err.file}: ${err.reason}`], exitCode: exitCodes.fileMissing}
	: {lines: err.problems.map(formatProblem), exitCode: exitCodes.settings};
