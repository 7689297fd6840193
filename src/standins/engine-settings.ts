/**
The engine stand-in's settings and faults.
*/
import {z} from 'zod';
import {connectionFaultsSchema} from './connection-faults.js';

/** The stand-in's settings; all have defaults. */
export const engineSettingsSchema = z.strictObject({
	/** Milliseconds of a step with nothing in it. */
	stepMs: z.number().positive().default(2),
	/** Milliseconds that a step takes longer for each 1000 prompt tokens it computes. */
	prefillMsPerKiloToken: z.number().min(0).default(20),
	/** Microseconds that a step takes longer for each sequence in the batch. */
	perSequenceMicros: z.number().min(0).default(20),
	/** Sequences that run at once. */
	maxBatch: z.number().int().min(1).default(32),
	/** Prompt tokens that one step computes at most, over all sequences. */
	prefillTokensPerStep: z.number().int().min(1).default(2048),
	/** Tokens for which there is room; a sequence takes its prompt and the longest answer it may give. */
	kvTokens: z.number().int().min(1).default(200_000),
	/** Blocks of prompt text in the prefix cache. */
	cacheBlocks: z.number().int().min(0).default(4000),
	/** Milliseconds by which cache events are late. */
	cacheEventLagMs: z.number().min(0).default(0),
	/** Share of cache events, 0 to 1, that is lost. */
	cacheEventLossShare: z.number().min(0).max(1).default(0),
	/** Milliseconds by which the load report is late. */
	loadLagMs: z.number().min(0).default(0),
	/** Milliseconds for which the engine refuses connections after a crash. */
	restartMs: z.number().min(0).default(200),
	/** Whether it refuses an order with an old fencing number. */
	checksFence: z.boolean().default(false),
	/** `ip:port` of the weight store; without one, loading takes no time. */
	weightStore: z.string().optional(),
	/** Models that are loaded at the start. */
	models: z.array(z.strictObject({model: z.string(), version: z.string()})).default([]),
	/** Seed of what happens by chance. */
	seed: z.number().int().default(1),
});

/** Settings as a caller of `start` gives them. */
export type EngineSettings = z.input<typeof engineSettingsSchema>;

/** Settings with their defaults filled in. */
export type FullEngineSettings = z.output<typeof engineSettingsSchema>;

/** The body of `POST /control/faults`. */
export const engineFaultsSchema = connectionFaultsSchema.extend({
	/** Stops the step loop; connections stay open. */
	freeze: z.boolean().optional(),
	/** Makes every step so many times longer. */
	stepFactor: z.number().positive().optional(),
});

/** See {@link engineFaultsSchema}. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
