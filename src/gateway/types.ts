/**
Data types of the gateway: operators' configuration, registered replicas, and callers' requests. They are independent of the field names that a platform uses.
*/
import type {Branded} from '../common/ids.js';

/** A replica. It may restart under the same id; {@link ReplicaRecord.startedAt} identifies the start. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** The version of a replica's software, which is not that of its weights. Versions are compared for equality only. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** A service of the gateway's configuration. */
export type GatewayServiceName = Branded<string, 'GatewayServiceName'>;
/** One process of the gateway, across its restarts. */
export type MemberName = Branded<string, 'MemberName'>;
/** A batch job, under the name that its caller gave it. */
export type BatchJobId = Branded<string, 'BatchJobId'>;
/** An item of a batch job, under the name that its caller gave it. */
export type BatchItemId = Branded<string, 'BatchItemId'>;

/** A customer of the operators. Its API keys identify its calls and jobs. */
export type ClientAccountName = Branded<string, 'ClientAccountName'>;

/** Whether calls may be repeated: `safe` ones always, `unsafe` ones never, `stream`s if the route declares that they can be resumed. `batch` routes accept jobs. */
export type RouteKind = 'safe' | 'unsafe' | 'stream' | 'batch';

/** A share of a route's calls that goes to one service. */
export type RouteTarget = {
	readonly service: GatewayServiceName;
	/** Relative to the other targets of the route. */
	readonly weight: number;
};

/** Limits of a route of kind `batch`. */
export type BatchTerms = {
	/** Milliseconds from the job's submission until all results are due. */
	readonly dueMs: number;
	/** Milliseconds from the job's submission after which an item may be abandoned. */
	readonly giveUpMs: number;
	/** Maximum number of tokens waiting on the route, over all nodes; 0 for no limit. */
	readonly maxWaitingTokens: number;
};

/** Where calls for a host and path are sent. */
export type GatewayRoute = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Milliseconds within which a call gets its final answer in any case. */
	readonly timeoutMs: number;
	/** Latency target in milliseconds: of the first event on routes of kind `stream`, of the answer on others. 0 if operators have declared none. */
	readonly latencyTargetMs: number;
	/** Maximum number of replicas that run one call; for a batch item, maximum number of failed runs. */
	readonly maxRuns: number;
	/** Whether a broken stream may be resumed at another replica. */
	readonly isResumable: boolean;
	/** Whether calls without an API key are accepted if operators have declared accounts. */
	readonly isAnonymous: boolean;
	/** Priority rank of its calls; 0 is the highest. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	readonly batch?: BatchTerms;
};

/** Rate limit of an account, over all processes together: a token bucket. */
export type RateLimit = {
	readonly perSecond: number;
	/** Additional calls after the account has been idle. */
	readonly burst: number;
};

/** A client account as declared by operators. */
export type ClientAccount = {
	readonly name: ClientAccountName;
	/** In clear text; they are neither logged nor forwarded. */
	readonly accountKeys: readonly string[];
	/** Priority rank of its calls; 0 is the highest. Takes precedence over the route's. */
	readonly priority?: number;
	/** Omitted if the account has no limit. */
	readonly rateLimit?: RateLimit;
};

/** What the model engines of a service can do. */
export type EngineTraits = {
	/** Number of requests that an engine runs at once. */
	readonly slots: number;
	/** Number of tokens that fit into the memory of one engine. */
	readonly memoryTokens: number;
	/** Bytes that one token of a run occupies, and that a copy of the run transfers. */
	readonly bytesPerToken: number;
	/** Number of tokens that an engine generates for each event of a stream. */
	readonly tokensPerEvent: number;
	/** Whether a run's memory can be moved to another replica. */
	readonly canMoveRuns: boolean;
	/** Whether a run's memory can be copied to another replica as it grows. */
	readonly canBackUpRuns: boolean;
	/** Milliseconds for which a copy is kept after its last part has arrived. */
	readonly copiesKeptMs: number;
};

/** A service that is the target of routes. */
export type GatewayService = {
	readonly name: GatewayServiceName;
	/** Maximum number of connections that one replica accepts, from all processes together. */
	readonly maxConnections: number;
	/** Omitted for a service without model engines. */
	readonly engine?: EngineTraits;
};

/** Limits on callers' requests. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the operators' configuration. */
export type GatewayConfig = {
	/** Increases with every change, in uneven steps. */
	readonly version: number;
	readonly routes: readonly GatewayRoute[];
	readonly services: readonly GatewayService[];
	readonly limits: CallerLimits;
	/** Omitted if operators have declared none: calls then need no key and belong to no account. */
	readonly accounts?: readonly ClientAccount[];
	/** Invalid accounts of this version, with the reasons; the rest of the version is in force. */
	readonly unreadableAccounts?: ReadonlyArray<{readonly name: string; readonly reason: string}>;
};

/** A replica's registration. */
export type ReplicaRecord = {
	readonly id: ReplicaId;
	readonly service: GatewayServiceName;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	readonly softwareVersion: SoftwareVersion;
	/** Number of requests that it runs at once. */
	readonly slots: number;
	readonly isDraining: boolean;
	/** Start time, in milliseconds of its own wall clock. Two starts under one id differ in it and are counted as two replicas. A replica without it never restarts under its id. */
	readonly startedAt?: number;
};

/** A part of a prompt that requests share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** Numbers of tokens of a request, as its caller stated them. A missing or invalid number is omitted. */
export type RequestSize = {
	readonly promptTokens?: number;
	readonly maxOutputTokens?: number;
	/** The caller's estimate of the output: right at the median, but often far off. */
	readonly expectedOutputTokens?: number;
};

/** The fields of a caller's headers that the gateway reads. */
export type CallFields = {
	/** Unique for each attempt of a caller. Empty if the caller sent none. */
	readonly requestId: string;
	/** Milliseconds for which the caller waits, counted from when it sent the call. */
	readonly timeLeftMs?: number;
	/** The last event that the caller has received of a stream that it resumes. */
	readonly lastEventId?: number;
	/** Whether the call resumes a stream of which the caller has events. */
	readonly isResumed: boolean;
	/** Id of the caller's attempt that brought the first event of the stream that it resumes. Empty if the header does not name exactly one attempt. */
	readonly resumedId?: string;
	/** The prompt in order, the widest shared part first. */
	readonly promptParts: readonly PromptPart[];
	/** Omitted if the caller stated no size. */
	readonly size?: RequestSize;
};

/** The API key of a call. `unusable`: the header is present, but does not contain exactly one key. */
export type PresentedKey = {readonly kind: 'none'} | {readonly kind: 'unusable'} | {readonly kind: 'key'; readonly key: string};

/** The owner of a call, if operators have declared accounts. */
export type CallerIdentity = {
	/** Omitted for a call without a key on a route that accepts such calls. */
	readonly account?: ClientAccountName;
};

/** The copy of a run from which another one goes on. */
export type CopySource = {
	/** `ip:port` of the replica that keeps it. */
	readonly address: string;
	/** The request whose run was copied. */
	readonly requestId: string;
};

/** The fields that the gateway adds to a caller's headers for one attempt at a replica. */
export type AttemptFields = {
	readonly requestId: string;
	/** The only replica that may run the call: its address may belong to another one by now. */
	readonly replica: ReplicaId;
	readonly timeLeftMs?: number;
	readonly lastEventId?: number;
	/** `ip:port` of the replica to which the run's memory is copied as it grows. */
	readonly copyTo?: string;
	/** The copy from which the run goes on. */
	readonly copyFrom?: CopySource;
	/** If given, the caller's key is not forwarded to the replica, and only the gateway sets the account's name. */
	readonly caller?: CallerIdentity;
};

/** The fields of a replica's answer that the gateway reads. */
export type AnswerFields = {
	/** The call that the answer belongs to. */
	readonly requestId?: string;
	/** True if the replica states that it has not run the call and will not run it. */
	readonly hasNotRun: boolean;
};

/** Reads and writes the headers of callers and replicas. */
export type CallDialect = {
	/** @param headers - Lower-case names. */
	readCall(headers: NodeJS.Dict<string | string[]>): CallFields;
	/** @param headers - The caller's headers, alternating names and values. */
	readKey(headers: readonly string[]): PresentedKey;
	/**
	@param headers - The caller's headers, alternating names and values.
	@returns The replica's headers in the same form, without hop-by-hop headers.
	*/
	toReplica(headers: readonly string[], fields: AttemptFields): string[];
	/** @param headers - Lower-case names. */
	readAnswer(status: number, headers: NodeJS.Dict<string | string[]>): AnswerFields;
};

/** Features that are in force besides those that the operators' configuration declares. */
export type GatewayFeatures = {
	/** Callers may ask for more than there are slots for a while, and are to be admitted by their latency targets. */
	readonly admitsByTarget: boolean;
};
