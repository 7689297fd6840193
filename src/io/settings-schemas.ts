/**
Building blocks for the settings schemas of all programs, so that addresses, durations and sizes are written and validated the same way everywhere.
*/
import * as z from 'zod';
import {parseAddress} from './address.js';

const addressRequirement = 'wants "ip:port" with an IP number, for instance "10.0.0.1:8080" or "[fd00::1]:8080"';

/** An address to connect to: `ip:port`, with a port from 1 to 65535. */
export const addressSchema = z.string().refine(text => (parseAddress(text)?.port ?? 0) > 0, addressRequirement);

/** An address to listen on: like {@link addressSchema}, but port 0 is allowed and selects any free port. */
export const listenAddressSchema = z.string().refine(text => parseAddress(text) !== undefined, addressRequirement);

type NumberSetting = {
	(): z.ZodNumber;
	(byDefault: number): z.ZodDefault<z.ZodNumber>;
};

const numberSetting = (schema: z.ZodNumber): NumberSetting => ((byDefault?: number) => byDefault === undefined ? schema : schema.default(byDefault)) as NumberSetting;

/**
A duration in milliseconds; its key must end in `Ms`.

@param byDefault - Default in milliseconds; without it the key is required.
*/
export const durationMs = numberSetting(z.number().min(0));

/**
A size in bytes; its key must end in `Bytes`.

@param byDefault - Default in bytes; without it the key is required.
*/
export const sizeBytes = numberSetting(z.int().min(0));

/**
A non-negative integer count.

@param byDefault - Default value; without it the key is required.
*/
export const countOf = numberSetting(z.int().min(0));

/** The DogStatsD collector that receives metrics over UDP. */
export const metricsSchema = z.strictObject({
	address: addressSchema,
	/** Prepended to the name of each metric. */
	prefix: z.string().default('citronyard.'),
});

/** Addresses of the platform services, and the time limit for calls to them. */
export const platformSettings = z.strictObject({
	objectApi: addressSchema,
	vmList: addressSchema,
	/** Time limit for one call. */
	timeoutMs: durationMs(2000),
});

/** What the VM grants to one process. */
export const machineLimitsSettings = z.strictObject({
	/** Memory that the process may use, in megabytes of 1,000,000 bytes. */
	memoryMb: z.number().positive().default(256),
	/** File descriptors that the process may have open. */
	maxDescriptors: countOf(4096),
});

/** See {@link machineLimitsSettings}. */
export type MachineLimits = z.infer<typeof machineLimitsSettings>;

/** Settings that all programs share; spread them into the `z.strictObject({…})` of a program. */
export const commonSettings = {
	/** The lowest level that is logged. */
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	/** When absent, no metrics are sent. */
	metrics: metricsSchema.optional(),
	machineLimits: machineLimitsSettings.prefault({}),
} as const;

/** The common settings after validation. */
export type CommonSettings = z.infer<z.ZodObject<typeof commonSettings>>;
