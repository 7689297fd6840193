/**
Faults that every stand-in can be put under, whatever it stands for.
*/
import {z} from 'zod';

/** The faults of a server's connections and answers, as `POST /control/faults` takes them. A field left out stays as it was. */
export const connectionFaultsSchema = z.strictObject({
	/** Milliseconds that each request waits before it is handled. */
	latencyMs: z.number().min(0).optional(),
	/** Answers every request with 503. */
	down: z.boolean().optional(),
	/** Accepts and never answers. */
	hang: z.boolean().optional(),
	/** Answers the next so many requests with 503. */
	refuseNext: z.number().int().min(0).optional(),
	/** Closes all open connections, once. */
	cut: z.literal(true).optional(),
	/** All connections that are open now go silent for good, once; new ones work. */
	silence: z.literal(true).optional(),
});

/** See {@link connectionFaultsSchema}. */
export type ConnectionFaults = z.infer<typeof connectionFaultsSchema>;
