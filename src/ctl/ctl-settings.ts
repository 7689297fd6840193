/**
Where citronctl finds the two ends it talks to: options go before the environment, and that before the settings file.
*/
import {Either, Left, Right} from 'purify-ts/Either';
import * as z from 'zod';
import {parseAddress} from '../io/address.js';
import {exitCodes} from '../io/exit-codes.js';
import {loadSettings} from '../io/settings.js';
import {addressSchema, durationMs} from '../io/settings-schemas.js';
import {type Options} from './command.js';
import {ctlError, fromSettingsError, type CtlError} from './ctl-error.js';

const ctlSettingsSchema = z.strictObject({
	objectApi: addressSchema.optional(),
	entry: addressSchema.optional(),
	/** For one call of either. */
	timeoutMs: durationMs(10_000),
});

/** Settings of citronctl. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;

type Environment = Readonly<Record<string, string | undefined>>;

/** Shells have no other way to take a variable back for one command than to empty it. */
const unlessEmpty = (text: string | undefined): string | undefined => text === '' ? undefined : text;

const checked = (from: string, text: string | undefined): Either<CtlError, string | undefined> => text === undefined || (parseAddress(text)?.port ?? 0) > 0
	? Right(text)
	: Left(ctlError(exitCodes.usage, `${from} wants "ip:port" with an IP number, not "${text}"`));

/**
@param options - The command line's.
@param env - The environment.
@returns The settings, or what is wrong with them.
*/
export const ctlSettings = (options: Options, env: Environment): Either<CtlError, CtlSettings> => {
	const fromFile = options.settings === undefined
		? Right(ctlSettingsSchema.parse({}))
		: loadSettings(ctlSettingsSchema, options.settings).mapLeft(fromSettingsError);
	const addresses = Either.sequence([
		checked('--object-api', options['object-api']),
		checked('--entry', options.entry),
		checked('CITRONYARD_OBJECT_API', unlessEmpty(env.CITRONYARD_OBJECT_API)),
		checked('CITRONYARD_ENTRY', unlessEmpty(env.CITRONYARD_ENTRY)),
	]);
	return fromFile.chain(settings => addresses.map(([optionApi, optionEntry, envApi, envEntry]) => ({
		...settings,
		objectApi: optionApi ?? envApi ?? settings.objectApi,
		entry: optionEntry ?? envEntry ?? settings.entry,
	})));
};
