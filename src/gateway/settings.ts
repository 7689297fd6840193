/**
Settings of the gateway's programs. The platform fills them in from its own, by the template in `deploy/`.
*/
import * as z from 'zod';
import {
	addressSchema, commonSettings, countOf, durationMs, listenAddressSchema, sizeBytes,
} from '../io/settings-schemas.js';

/** Where the object API is, and how much it takes. */
export const objectApiSettings = z.strictObject({
	address: addressSchema,
	/** Milliseconds for one call. A slow object API answers within 0.3 s; what takes twice as long is most likely lost. */
	timeoutMs: durationMs(600),
	/** The largest object. */
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
	/** Where callers connect. */
	listen: listenAddressSchema,
	/** Where the balancer asks whether callers may connect. */
	readyListen: listenAddressSchema,
	/** Where peers send their state, by UDP, and their calls, by TCP. */
	peerListen: listenAddressSchema,
	/** Where metrics are read, by HTTP at `/metrics`. */
	metricsListen: listenAddressSchema.optional(),
	objectApi: objectApiSettings,
	/** Milliseconds within which a lost connection to the object API must have been noticed and mended. */
	catchUpMs: durationMs(3000),
	/** Milliseconds after a replica has said that it leaves, or its registration is gone, within which it must get no more calls. */
	drainMs: durationMs(2000),
	/** Milliseconds after a change of the configuration was acknowledged within which it must be in force. */
	configMs: durationMs(2000),
	/** Without word of the configuration for this long, in milliseconds, calls with API keys are refused, since keys may have been taken away; left out, they are served. */
	refuseKeysAfterMs: durationMs().optional(),
	/** Calls of a client account beyond its rate limit that are tolerated in a window; they make up for what the processes hear of each other late. */
	rateLimitTolerance: countOf(0),
	/** Milliseconds after its submission for which the results of a finished job can be read. */
	resultsKeptMs: durationMs(86_400_000),
	/** Disks that may be lost at once; a job that the object API does not take is held by one keeper more. */
	toleratedLosses: countOf(1),
	/** Milliseconds from SIGTERM to SIGKILL. */
	shutdownMs: durationMs(8000),
});

/** Settings of `citronyard-front`, checked. */
export type FrontSettings = z.infer<typeof frontSettingsSchema>;

/** Settings of `citronyard-keeper`. */
export const keeperSettingsSchema = z.strictObject({
	...commonSettings,
	name: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Where fronts hand jobs over, by TCP. */
	peerListen: listenAddressSchema,
	/** Where metrics are read, by HTTP at `/metrics`. */
	metricsListen: listenAddressSchema.optional(),
	/** The folder on the disk. */
	dataDir: z.string().min(1),
	objectApi: objectApiSettings,
});

/** Settings of `citronyard-keeper`, checked. */
export type KeeperSettings = z.infer<typeof keeperSettingsSchema>;
