/**
The messages between an entry and an agent. An online request is one or more attempts; an attempt is one HTTP request to an agent, answered by an event stream whose events carry the index of the chunk, so that an interrupted stream can be resumed where it stopped.
*/
import type {ResultPrefix} from './batch-types.js';
import type {
	AccountName, BlockHash, Branded, Fence, FileId, JobId, RequestId, Revision, VmName,
} from './ids.js';
import type {CacheDrops} from './prefix-index.js';
import type {PlacedModel} from './placement.js';

/** Identifies one run of an agent process; a restarted agent has another one, and no record of earlier requests. */
export type Incarnation = Branded<string, 'Incarnation'>;

/** Online work takes precedence over batch work everywhere. */
export type WorkClass = 'online' | 'batch';

/** Whether refused or failed work was run: `notRun` only when it can no longer run. */
export type RunState = 'notRun' | 'run' | 'unknown';

/** A JSON object as received from a caller. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** The part of an answer that was generated elsewhere. */
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
	/** The incarnation that the entry addresses; any other refuses. */
	readonly incarnation: Incarnation;
	/** {@link LoadReport.at} of the report by which the replica was chosen, from which the agent computes the attempt's age on its own clock. */
	readonly issuedAt: number;
	/** False: once started it is never cancelled, so that its outcome can still be requested. */
	readonly idempotent: boolean;
	readonly account: AccountName;
	/** The account's weight among accounts. */
	readonly share: number;
	readonly work: BackendWork;
	/** Milliseconds from now until its deadline. */
	readonly deadlineInMs: number;
	/** Estimated tokens of the prompt that are not cached, and of the answer. */
	readonly costTokens: number;
	/** The prompt's part of `costTokens`, cached or not; all of it when left out. */
	readonly promptTokens?: number;
};

/** The header that names the reader of an attempt's stream; see {@link LedgerReader.name}. */
export const readerHeader = 'x-citronyard-reader';

/** Names of the events in an attempt's stream. `load` comes first: the agent's load including this attempt, so that the entry's view lags by one network direction only. */
export const attemptEvents = ['load', 'chunk', 'end', 'refused', 'failed'] as const;

/** One of {@link attemptEvents}. */
export type AttemptEventName = (typeof attemptEvents)[number];

/** The end of a complete answer. */
export type AttemptEnd = {
	/** Number of chunks of the attempt. */
	readonly chunks: number;
	readonly load: LoadReport;
	/** Blocks of the prompt that the engine holds now. */
	readonly cachedBlocks: readonly BlockHash[];
	/** The number of the engine's cache event up to which `cachedBlocks` is valid. */
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

/** The attempt was run and has no complete answer. */
export type AttemptFailure = {
	/** `rejected`: the backend server's own error, final. `backendLost`: the backend server was lost; another may answer. */
	readonly kind: 'rejected' | 'backendLost';
	readonly reason: string;
	/** The backend server's status and body, for `rejected`. */
	readonly status?: number;
	readonly body?: string;
};

/** An agent's report of its own state; sent with answers and in the answers to `agent.load`. */
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
	/** Tokens of those still to be computed: prompts not yet computed, and answers not yet generated. */
	readonly pendingTokens: number;
	readonly batchRunning: number;
	/** Chunks of batch work that it would accept now. */
	readonly batchRoom: number;
	/** Requests that the backend server runs at once. */
	readonly maxRunning: number;
	/** Changes of the engine's cache, when they were requested. */
	readonly cache?: CacheDrops;
	/** Models that the engine had loaded when it was last polled; undefined when unknown, or for a plain service. */
	readonly loaded?: readonly PlacedModel[];
	/** The newest configuration in force at the agent. */
	readonly configRevision: Revision;
};

/** What an agent answers when an attempt is cancelled. */
export type CancelAnswer = {
	/** Whether its run was in progress, and was stopped by this call. */
	readonly isStopped: boolean;
};

/** Asks an agent to revoke an attempt that has not started. */
export type RevokeRequest = {
	readonly key: AttemptKey;
	/** As in {@link AttemptRequest}. */
	readonly issuedAt: number;
	readonly deadlineInMs: number;
};

/** The ledger's answer about an attempt. */
export type LedgerAnswer = {
	/** `revoked`: it had not started and never will. `running`, `done`: its stream can be resumed. `unknown`: it is older than the ledger's retention. */
	readonly state: 'revoked' | 'running' | 'done' | 'unknown';
	readonly incarnation: Incarnation;
};

/** A chunk of a batch job that a coordinator grants to an agent. */
export type ChunkGrant = {
	readonly jobId: JobId;
	readonly chunk: number;
	readonly inputName: string;
	/** The prefix of the name of its result. */
	readonly results: ResultPrefix;
	readonly fileId: FileId;
	readonly endpoint: string;
	readonly model: string;
	readonly account: AccountName;
	readonly share: number;
	/** The fencing number of the coordinator's lease. */
	readonly fence: Fence;
	/** Milliseconds after which the grant expires unless renewed. */
	readonly expiresInMs: number;
	/** True runs the items one by one, after agents were lost while they ran this chunk. */
	readonly isolate: boolean;
	/** The coordinator's round, see {@link RenewRequest.round}. */
	readonly round: number;
};

/** An agent's progress with a chunk. */
export type ChunkReport = {
	readonly jobId: JobId;
	readonly chunk: number;
	/** As in {@link ChunkGrant}: distinguishes the chunk of a job from that of an earlier one with the same id. */
	readonly results: ResultPrefix;
	/** `superseded`: the result existed already, written by another run; its counts are not those of this report. */
	readonly state: 'running' | 'committing' | 'committed' | 'superseded';
	readonly completed: number;
	readonly failed: number;
};

/** Identifies a chunk of a job. */
export type ChunkKey = {readonly jobId: JobId; readonly chunk: number};

/** A grant, as a coordinator sends it. */
export type GrantRequest = {
	/** The shard of jobs; fencing numbers are compared within a shard. */
	readonly shard: string;
	readonly grant: ChunkGrant;
};

/** Whether a grant was accepted. */
export type GrantAnswer = {readonly accepted: boolean; readonly reason?: 'draining' | 'full' | 'staleFence'};

/** A coordinator's request to renew its grants at an agent. */
export type RenewRequest = {
	readonly shard: string;
	readonly fence: Fence;
	/** Counts the coordinator's exchanges. A renewal does not affect grants of later rounds: a delayed one must not revoke what was granted after it was sent. */
	readonly round: number;
	readonly expiresInMs: number;
	/** The grants to retain; all others of this shard are revoked. `all` retains all of them: a new coordinator takes over the work in progress. */
	readonly keep: readonly ChunkKey[] | 'all';
};

/** An agent's answer to a renewal. */
export type RenewAnswer = {
	/** False when a coordinator with a higher fencing number has contacted the agent: nothing was renewed. */
	readonly accepted: boolean;
	readonly reports: readonly ChunkReport[];
	/** See {@link LoadReport.batchRoom}. */
	readonly room: number;
};
