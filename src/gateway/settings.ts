/**
Settings of the gateway's programs. The platform derives them from its own settings with the template in `deploy/`.
*/
import * as z from 'zod';
import {
	addressSchema, commonSettings, countOf, durationMs, listenAddressSchema, sizeBytes,
} from '../io/settings-schemas.js';

/** Address and limits of the object API. */
export const objectApiSettings = z.strictObject({
	address: addressSchema,
	/** Time-out of one call, in milliseconds. A slow object API answers within 0.3 s; a call that takes twice as long is most likely lost. */
	timeoutMs: durationMs(600),
	/** Maximum size of an object's value. */
	maxValueBytes: sizeBytes(1_048_576),
});

/** See {@link objectApiSettings}. */
export type ObjectApiSettings = z.infer<typeof objectApiSettings>;

/** Settings of `citronyard-front`. */
export const frontSettingsSchema = z.strictObject({
	...commonSettings,
	/** The name of this process; unique in the fleet. */
	name: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Address for callers' connections. */
	listen: listenAddressSchema,
	/** Address at which the load balancer queries whether callers may connect. */
	readyListen: listenAddressSchema,
	/** Address to which peers send their state, by UDP, and their calls, by TCP. */
	peerListen: listenAddressSchema,
	/** Address at which metrics are served, by HTTP at `/metrics`. */
	metricsListen: listenAddressSchema.optional(),
	objectApi: objectApiSettings,
	/** Milliseconds within which a lost connection to the object API must have been detected and replaced. */
	catchUpMs: durationMs(3000),
	/** Once a replica has announced that it leaves, or its registration was removed, it must get no more calls after this many milliseconds. */
	drainMs: durationMs(2000),
	/** Milliseconds within which an acknowledged change of the configuration must be in force. */
	configMs: durationMs(2000),
	/** Calls with API keys are refused if the configuration could not be confirmed for this long, in milliseconds, since keys may have been revoked; if omitted, they are served. */
	refuseKeysAfterMs: durationMs().optional(),
	/** Calls of a client account beyond its rate limit that are tolerated in a window; they compensate for the delay of announcements between processes. */
	rateLimitTolerance: countOf(0),
	/** Whether runs of streams that may not be repeated are copied to a second replica, where engines offer it, and go on there if theirs ends. */
	continuesRuns: z.boolean().default(false),
	/** Parts of the platform's interface that are in force, by the platform's names; the adapter derives {@link GatewayFeatures} from them. */
	contracts: z.array(z.string()).default([]),
	/** The results of a finished job can be read until this many milliseconds after its submission. */
	resultsKeptMs: durationMs(86_400_000),
	/** Number of disks that may be lost at once; a job that the object API does not accept is stored by one keeper more than that. */
	toleratedLosses: countOf(1),
	/** Milliseconds from SIGTERM to SIGKILL. */
	shutdownMs: durationMs(8000),
});

/** Validated settings of `citronyard-front`. */
export type FrontSettings = z.infer<typeof frontSettingsSchema>;

/** Settings of `citronyard-keeper`. */
export const keeperSettingsSchema = z.strictObject({
	...commonSettings,
	name: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Address to which fronts hand over jobs, by TCP. */
	peerListen: listenAddressSchema,
	/** Address at which metrics are served, by HTTP at `/metrics`. */
	metricsListen: listenAddressSchema.optional(),
	/** Directory on the disk. */
	dataDir: z.string().min(1),
	objectApi: objectApiSettings,
});

/** Validated settings of `citronyard-keeper`. */
export type KeeperSettings = z.infer<typeof keeperSettingsSchema>;
