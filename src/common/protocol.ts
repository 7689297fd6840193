/**
The messages between an entry and an agent. An online request is one or more attempts; an attempt is one HTTP request to an agent, answered by an event stream whose events carry the index of the chunk, so that a stream that broke is taken up where it stopped.
*/
import type {ResultPrefix} from './batch-types.js';
import type {
	AccountName, BlockHash, Branded, Fence, FileId, JobId, RequestId, Revision, VmName,
} from './ids.js';
import type {CacheDrops} from './prefix-index.js';
import type {PlacedModel} from './placement.js';

/** Names one run of an agent process; a restarted agent has another, and knows nothing of the requests before. */
export type Incarnation = Branded<string, 'Incarnation'>;

/** Online work goes before batch work everywhere. */
export type WorkClass = 'online' | 'batch';

/** What a refusal or failure says about the work: `notRun` only when it can not run any more. */
export type RunState = 'notRun' | 'run' | 'unknown';

/** A JSON object as it came from a caller. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** How far an answer had come elsewhere. */
export type ResumePoint = {
	/** The text generated so far. */
	readonly text: string;
	/** The number of tokens in it. */
	readonly tokens: number;
};

/** A generation by a model engine. Its answer's chunks are the engine's own. */
export type GenerateWork = {
	readonly kind: 'generate';
	/** The model's name as in {@link LoadReport.serves}, without its prefix. */
	readonly target: string;
	/** The engine's path, for instance `/v1/chat/completions`. */
	readonly path: string;
	/** The engine's request, without the fields that concern the stream. */
	readonly body: JsonObject;
	readonly resume?: ResumePoint;
};

/** A call of a plain service. Its answer's first chunk is a {@link CallHead}, the others are pieces of the body in base64. */
export type CallWork = {
	readonly kind: 'call';
	/** The service's name. */
	readonly target: string;
	readonly method: string;
	/** Path and query below the service. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly bodyBase64: string;
};

/** What an agent does for an attempt. */
export type BackendWork = GenerateWork | CallWork;

/** The head of a plain service's response. */
export type CallHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
};

/** Which attempt of which request: the key of the agent's ledger. */
export type AttemptKey = {
	readonly id: RequestId;
	/** Counts the attempts of one request from 1. */
	readonly attempt: number;
};

/** An attempt that an entry sends to an agent. */
export type AttemptRequest = AttemptKey & {
	/** The incarnation the entry believes to reach; any other refuses. */
	readonly incarnation: Incarnation;
	/** {@link LoadReport.at} of the report by which the replica was chosen; tells the agent the attempt's age on its own clock. */
	readonly issuedAt: number;
	/** False: once begun it is never cancelled, so that its outcome stays known to whoever asks for it. */
	readonly idempotent: boolean;
	readonly account: AccountName;
	/** The account's weight among accounts. */
	readonly share: number;
	readonly work: BackendWork;
	/** Milliseconds from now until the answer is of no use. */
	readonly deadlineInMs: number;
	/** Estimated tokens of the prompt that are not cached, and of the answer. */
	readonly costTokens: number;
	/** The prompt's part of `costTokens`, cached or not; all of it when left out. */
	readonly promptTokens?: number;
};

/** The header that names who reads an attempt's stream; see {@link LedgerReader.name}. */
export const readerHeader = 'x-citronyard-reader';

/** Names of the events in an attempt's stream. `load` comes first: the agent's load with this attempt counted, so that views are late by one way only. */
export const attemptEvents = ['load', 'chunk', 'end', 'refused', 'failed'] as const;

/** One of {@link attemptEvents}. */
export type AttemptEventName = (typeof attemptEvents)[number];

/** The answer is whole. */
export type AttemptEnd = {
	/** Chunks in the whole attempt. */
	readonly chunks: number;
	readonly load: LoadReport;
	/** Blocks of the prompt that the engine holds now. */
	readonly cachedBlocks: readonly BlockHash[];
	/** The number of the engine's cache event up to which `cachedBlocks` is true. */
	readonly cacheSeq?: number;
};

/** The attempt was not run and never will be. */
export type AttemptRefusal = {
	readonly reason: RefusalReason;
	readonly retryAfterMs: number;
	readonly load: LoadReport;
};

/** Why an agent refuses work. */
export type RefusalReason = 'draining' | 'queueFull' | 'deadline' | 'revoked' | 'otherIncarnation' | 'notServed' | 'cancelled' | 'backendUnreachable';

/** The attempt was run and has no whole answer. */
export type AttemptFailure = {
	/** `rejected`: the backend server's own error, final. `backendLost`: it went away; another may answer. */
	readonly kind: 'rejected' | 'backendLost';
	readonly reason: string;
	/** The backend server's status and body, for `rejected`. */
	readonly status?: number;
	readonly body?: string;
};

/** What an agent says of itself; rides on answers and on the answers to `agent.load`. */
export type LoadReport = {
	readonly vm: VmName;
	readonly incarnation: Incarnation;
	/** The agent's monotonic clock when the report was made, in milliseconds. */
	readonly at: number;
	readonly draining: boolean;
	/** What it serves, as `model:<name>` and `service:<name>`. */
	readonly serves: readonly string[];
	/** Online requests in the backend server. */
	readonly running: number;
	/** Online requests in the agent's queue. */
	readonly queued: number;
	/** Tokens of those still to be computed: prompts not yet read, and answers not yet written. */
	readonly pendingTokens: number;
	readonly batchRunning: number;
	/** Chunks of batch work it would take now. */
	readonly batchRoom: number;
	/** Requests that the backend server runs at once. */
	readonly maxRunning: number;
	/** Changes of the engine's cache, when they were asked for. */
	readonly cache?: CacheDrops;
	/** Models that the engine had loaded when it was last asked; undefined when it is not known, or for a plain service. */
	readonly loaded?: readonly PlacedModel[];
	/** The newest configuration in force at the agent. */
	readonly configRevision: Revision;
};

/** What an agent answers when an attempt is cancelled. */
export type CancelAnswer = {
	/** Whether its run was under way, and was stopped by this. */
	readonly isStopped: boolean;
};

/** Asks an agent to revoke an attempt that has not begun. */
export type RevokeRequest = {
	readonly key: AttemptKey;
	/** As in {@link AttemptRequest}. */
	readonly issuedAt: number;
	readonly deadlineInMs: number;
};

/** What the ledger answers about an attempt. */
export type LedgerAnswer = {
	/** `revoked`: it had not begun and never will. `running`, `done`: take up its stream. `unknown`: it is older than the ledger's memory. */
	readonly state: 'revoked' | 'running' | 'done' | 'unknown';
	readonly incarnation: Incarnation;
};

/** A part of a batch job that a coordinator gives to an agent. */
export type ChunkGrant = {
	readonly jobId: JobId;
	readonly chunk: number;
	readonly inputName: string;
	/** Where its result belongs. */
	readonly results: ResultPrefix;
	readonly fileId: FileId;
	readonly endpoint: string;
	readonly model: string;
	readonly account: AccountName;
	readonly share: number;
	/** The fencing number of the coordinator's lease. */
	readonly fence: Fence;
	/** Milliseconds after which the grant lapses unless renewed. */
	readonly expiresInMs: number;
	/** True runs the items one by one, after runs of this chunk took their agents down. */
	readonly isolate: boolean;
	/** The coordinator's round, see {@link RenewRequest.round}. */
	readonly round: number;
};

/** How far an agent has come with a chunk. */
export type ChunkReport = {
	readonly jobId: JobId;
	readonly chunk: number;
	/** As in {@link ChunkGrant}: tells the chunk of a job from that of an earlier one with the same id. */
	readonly results: ResultPrefix;
	/** `superseded`: the result was there already, written by another run; its counts are not those of this report. */
	readonly state: 'running' | 'committing' | 'committed' | 'superseded';
	readonly completed: number;
	readonly failed: number;
};

/** Names a chunk of a job. */
export type ChunkKey = {readonly jobId: JobId; readonly chunk: number};

/** A grant, as a coordinator sends it. */
export type GrantRequest = {
	/** The shard of jobs; fencing numbers are compared within a shard. */
	readonly shard: string;
	readonly grant: ChunkGrant;
};

/** Whether a grant was taken. */
export type GrantAnswer = {readonly accepted: boolean; readonly reason?: 'draining' | 'full' | 'staleFence'};

/** What a coordinator asks when it renews its grants at an agent. */
export type RenewRequest = {
	readonly shard: string;
	readonly fence: Fence;
	/** Counts the coordinator's exchanges. A renewal leaves grants of later rounds alone: one that was long under way must not take back what was granted after it was sent. */
	readonly round: number;
	readonly expiresInMs: number;
	/** The grants that stay; all others of this shard are taken back. `all` keeps them all: a new coordinator takes the work under way over. */
	readonly keep: readonly ChunkKey[] | 'all';
};

/** What an agent answers to a renewal. */
export type RenewAnswer = {
	/** False when a coordinator with a higher fencing number has been here: nothing was renewed. */
	readonly accepted: boolean;
	readonly reports: readonly ChunkReport[];
	/** See {@link LoadReport.batchRoom}. */
	readonly room: number;
};
