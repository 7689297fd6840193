/**
The agent's settings.
*/
import * as z from 'zod';
import {
	addressSchema, commonSettings, durationMs, listenAddressSchema, platformSettings, sizeBytes,
} from '../io/settings-schemas.js';

const engineSchema = z.strictObject({
	type: z.literal('engine'),
	address: addressSchema,
	/** Requests that the engine runs at once. */
	maxRunning: z.int().min(1).default(32),
	/** Tokens the engine computes in a second when full; for estimates of waits. */
	tokensPerSecond: z.number().positive().default(5000),
	/** The shortest quiet of a request after which the engine is asked whether it still has it. */
	silenceMs: durationMs(5000),
});

const serviceSchema = z.strictObject({
	type: z.literal('service'),
	address: addressSchema,
	/** The service's name as callers write it. */
	service: z.string().min(1),
	/** Calls that the service runs at once. */
	maxRunning: z.int().min(1).default(64),
	/** Cost units in a second when full; a call counts 100. */
	tokensPerSecond: z.number().positive().default(100_000),
});

/** What the agent reads from its settings file. */
export const agentSettingsSchema = z.strictObject({
	/** The VM's name as in the platform's VM list. */
	vm: z.string().min(1),
	failureDomain: z.string().min(1),
	/** `ip:port` to listen on. */
	listen: listenAddressSchema,
	platform: platformSettings,
	backend: z.discriminatedUnion('type', [engineSchema, serviceSchema]),
	limits: z.strictObject({
		/** Online requests that may wait. */
		maxQueued: z.int().min(0).default(256),
		maxBodyBytes: sizeBytes(16_777_216),
		/** How long an answer goes on after its reader's connection was lost. */
		orphanMs: durationMs(3000),
		/** How long an ended answer stays readable. */
		retainMs: durationMs(10_000),
		retainBytes: sizeBytes(8_388_608),
		/** Chunks of batch jobs held at once. */
		batchChunks: z.int().min(0).default(4),
		/** From 0 to 1: 0 spares online latency as far as can be, 1 lets batch throughput go first. */
		batchWeight: z.number().min(0).max(1).default(0.3),
		/** Items of a chunk submitted at once. Default: twice what the backend server runs. */
		batchWindow: z.int().min(1).optional(),
	}).prefault({}),
	/** How long a stop waits for work under way. */
	drainMs: durationMs(60_000),
	...commonSettings,
});

/** See {@link agentSettingsSchema}. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
