/**
Why a command did not succeed: what to tell the operator, and the code to exit with.
*/
import {type ApiError} from '../common/types.js';
import {exitCodes, type ExitCode} from '../io/exit-codes.js';
import {describeSettingsError, type SettingsError} from '../io/settings-error.js';

/** A failed command. */
export type CtlError = {
	readonly lines: readonly string[];
	readonly exitCode: ExitCode;
};

/**
@param exitCode - The code to exit with.
@param lines - What to tell.
*/
export const ctlError = (exitCode: ExitCode, ...lines: string[]): CtlError => ({lines, exitCode});

/** @param err - What is wrong with a file. */
export const fromSettingsError = (err: SettingsError): CtlError => describeSettingsError(err);

type Tellers = {readonly [Kind in ApiError['kind']]: (err: Extract<ApiError, {kind: Kind}>, what: string) => CtlError};

const tellers: Tellers = {
	conflict: (_err, what) => ctlError(exitCodes.tryAgain, `${what}: somebody else changed it meanwhile`),
	notFound: (_err, what) => ctlError(exitCodes.notFound, `${what}: does not exist`),
	tooLarge: ({limitBytes}, what) => ctlError(exitCodes.settings, `${what}: is larger than the ${limitBytes} bytes that the object API holds`),
	expired: (_err, what) => ctlError(exitCodes.tryAgain, `${what}: the changes asked for are too old to be told`),
	unavailable: ({reason}, what) => ctlError(exitCodes.unavailable, `${what}: the object API does not answer, nothing was changed (${reason})`),
	unknown: ({reason}, what) => ctlError(exitCodes.tryAgain, `${what}: the outcome is not known, look with "get" (${reason})`),
};

/**
@param err - What the object API answered.
@param what - The resource in question, for the message.
*/
export const fromApiError = (err: ApiError, what: string): CtlError => {
	const teller = tellers[err.kind] as (err: ApiError, what: string) => CtlError;
	return teller(err, what);
};
