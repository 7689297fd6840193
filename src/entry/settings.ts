/**
The entry's settings.
*/
import * as z from 'zod';
import {
	commonSettings, countOf, durationMs, listenAddressSchema, platformSettings, sizeBytes,
} from '../io/settings-schemas.js';

/** What the entry reads from its settings file. */
export const entrySettingsSchema = z.strictObject({
	/** The VM's name as in the platform's VM list. */
	vm: z.string().min(1),
	failureDomain: z.string().min(1),
	/** `ip:port` for callers. */
	listen: listenAddressSchema,
	platform: platformSettings,
	online: z.strictObject({
		/** How long an online request may take, unless its caller says otherwise. */
		deadlineMs: durationMs(60_000),
		/** How long a connection may be without a heartbeat before it is taken for lost. */
		silenceMs: durationMs(1000),
		/** How often each agent is asked for its load. */
		loadPollMs: durationMs(250),
		/** Reports of load asked for in a second at the most, over all agents; with more agents each is asked less often. */
		loadPollsPerSecond: z.number().positive().default(100),
		/** Replicas of each model and service that this entry keeps in touch with. */
		replicasPerTarget: z.int().min(1).default(16),
		/** How often the VM list is read. */
		vmListPollMs: durationMs(1000),
		maxBodyBytes: sizeBytes(4_194_304),
		/** How long the claim of an idempotency key is kept after its last change. */
		claimRetainMs: durationMs(86_400_000),
	}).prefault({}),
	batch: z.strictObject({
		/** How long the lease of a shard of jobs lasts. */
		leaseMs: durationMs(6000),
		/** How often grants are renewed and given. */
		tickMs: durationMs(500),
		/** How long a grant of a chunk lasts unless it is renewed. Longer than another entry needs to take the lease of a lost one, so that the work under way is taken over. */
		grantMs: durationMs(15_000),
		/** How long one long poll for changes of jobs waits. */
		watchMs: durationMs(10_000),
		/** Items in one file at most. */
		maxItems: countOf(200_000),
		/** Items in one chunk at most. */
		chunkItems: countOf(256),
		/** Items in the first chunks of a file; later ones grow up to `chunkItems`. */
		minChunkItems: countOf(16),
		/** Bytes of one file at most. */
		maxFileBytes: sizeBytes(209_715_200),
		/** How long an ended job and its results are kept; 30 days. */
		retentionMs: durationMs(2_592_000_000),
		/** How often ended jobs are looked through for those to remove. */
		retentionSweepMs: durationMs(3_600_000),
		chunkBytes: sizeBytes(786_432),
	}).prefault({}),
	placement: z.strictObject({
		/** Loads of weights under way at once in the whole fleet: what the weight store bears. */
		maxLoads: z.int().min(1).default(4),
		/** How often a step is taken. */
		tickMs: durationMs(1000),
		/** How long the placement's lease lasts. */
		leaseMs: durationMs(9000),
	}).prefault({}),
	/** A folder on the VM's own disk for a snapshot of the configuration. Without it none is kept. */
	dataFolder: z.string().min(1).optional(),
	/** A file to which the inputs of every decision are appended, for replay. Without it none is written. */
	trace: z.string().min(1).optional(),
	/** How long a stop goes on serving new requests, while the balancer and callers learn of it. */
	drainNoticeMs: durationMs(2000),
	/** How long a stop waits for requests under way. */
	drainMs: durationMs(60_000),
	...commonSettings,
});

/** See {@link entrySettingsSchema}. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
