/**
Pieces from which each program builds the schema of its settings, so that the same thing is written and checked alike everywhere.
*/
import * as z from 'zod';
import {parseAddress} from './address.js';

const wantsAddress = 'wants "ip:port" with an IP number, for instance "10.0.0.1:8080" or "[fd00::1]:8080"';

/** An address to reach: `ip:port`, port 1 to 65535. */
export const addressSchema = z.string().refine(text => (parseAddress(text)?.port ?? 0) > 0, wantsAddress);

/** An address to listen on: as {@link addressSchema}, and port 0 for any free port. */
export const listenAddressSchema = z.string().refine(text => parseAddress(text) !== undefined, wantsAddress);

type NumberSetting = {
	(): z.ZodNumber;
	(byDefault: number): z.ZodDefault<z.ZodNumber>;
};

const numberSetting = (schema: z.ZodNumber): NumberSetting => ((byDefault?: number) => byDefault === undefined ? schema : schema.default(byDefault)) as NumberSetting;

/**
A duration; its key must end in `Ms`.

@param byDefault - In milliseconds; without it the key must be given.
*/
export const durationMs = numberSetting(z.number().min(0));

/**
A size; its key must end in `Bytes`.

@param byDefault - In bytes; without it the key must be given.
*/
export const sizeBytes = numberSetting(z.int().min(0));

/**
A whole number of things, 0 included.

@param byDefault - Without it the key must be given.
*/
export const countOf = numberSetting(z.int().min(0));

/** Where DogStatsD metrics go, by UDP. */
export const metricsSchema = z.strictObject({
	address: addressSchema,
	/** Stands before each metric's name. */
	prefix: z.string().default('citronyard.'),
});

/** Where the platform's services are. */
export const platformSettings = z.strictObject({
	objectApi: addressSchema,
	vmList: addressSchema,
	/** How long one call may take. */
	timeoutMs: durationMs(2000),
});

/** Settings that every program knows; spread it into a program's own `z.strictObject({…})`. */
export const commonSettings = {
	/** The least urgent level that is logged. */
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	/** Without it no metrics are sent. */
	metrics: metricsSchema.optional(),
} as const;

/** The common settings once they are checked. */
export type CommonSettings = z.infer<z.ZodObject<typeof commonSettings>>;
