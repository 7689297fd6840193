/**
Shapes of the gateway: what operators declare, which replicas there are, and what a caller asks for. Nothing here knows how a platform spells them.
*/
import type {Branded} from '../common/ids.js';

/** A replica. It may start again under the same id; which start a record speaks of tells {@link ReplicaRecord.startedAt}. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** A service of the gateway's configuration. */
export type GatewayServiceName = Branded<string, 'GatewayServiceName'>;
/** One process of the gateway, in one of its starts or another. */
export type MemberName = Branded<string, 'MemberName'>;
/** A batch job, as its caller named it. */
export type BatchJobId = Branded<string, 'BatchJobId'>;
/** An item of a batch job, as its caller named it. */
export type BatchItemId = Branded<string, 'BatchItemId'>;

/** A customer of the operators: whose calls and jobs these are, by the API keys that it holds. */
export type ClientAccountName = Branded<string, 'ClientAccountName'>;

/** What may be repeated: `safe` calls always, `unsafe` ones never, `stream`s where the route says that they can be resumed. `batch` routes take jobs. */
export type RouteKind = 'safe' | 'unsafe' | 'stream' | 'batch';

/** A share of a route's calls that goes to one service. */
export type RouteTarget = {
	readonly service: GatewayServiceName;
	/** Relative to the other targets of the route. */
	readonly weight: number;
};

/** What a route of kind `batch` allows. */
export type BatchTerms = {
	/** Milliseconds from the job's submission until all results are due. */
	readonly dueMs: number;
	/** Milliseconds from the job's submission after which an item may be given up. */
	readonly giveUpMs: number;
	/** Tokens that may wait on the route over all nodes; 0 for no limit. */
	readonly maxWaitingTokens: number;
};

/** Where calls of a host and path go. */
export type GatewayRoute = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Milliseconds after which a call gets its final answer, whatever has happened. */
	readonly timeoutMs: number;
	/** Milliseconds within which an answer is on time. */
	readonly latencyTargetMs: number;
	/** Replicas that may run one call; for a batch item, runs that may fail. */
	readonly maxRuns: number;
	/** Whether a broken stream may be taken up again at another replica. */
	readonly isResumable: boolean;
	/** Whether calls without an API key are taken, where operators have declared accounts. */
	readonly isAnonymous: boolean;
	/** Rank of its calls, 0 the highest. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	readonly batch?: BatchTerms;
};

/** How many calls an account may make, over all processes together: a token bucket. */
export type RateLimit = {
	readonly perSecond: number;
	/** Calls on top, after the account has been idle. */
	readonly burst: number;
};

/** A client account as operators declare it. */
export type ClientAccount = {
	readonly name: ClientAccountName;
	/** In clear; they are neither logged nor passed on. */
	readonly accountKeys: readonly string[];
	/** Rank of its calls, 0 the highest; goes before the route's. */
	readonly priority?: number;
	/** Missing where the account has no limit. */
	readonly rateLimit?: RateLimit;
};

/** A service that routes lead to. */
export type GatewayService = {
	readonly name: GatewayServiceName;
	/** Connections that one replica takes from all callers together. */
	readonly maxConnections: number;
};

/** Bounds on what a caller may send. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** All that operators have declared, in one version. */
export type GatewayConfig = {
	/** Grows with every change, in uneven steps. */
	readonly version: number;
	readonly routes: readonly GatewayRoute[];
	readonly services: readonly GatewayService[];
	readonly limits: CallerLimits;
	/** Missing where operators have declared none: then calls need no key and belong to nobody. */
	readonly accounts?: readonly ClientAccount[];
	/** What could not be read of this version, by account; the rest of it holds. */
	readonly unreadableAccounts?: ReadonlyArray<{readonly name: string; readonly reason: string}>;
};

/** What a replica says of itself. */
export type ReplicaRecord = {
	readonly id: ReplicaId;
	readonly service: GatewayServiceName;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly isDraining: boolean;
	/** When it started, in milliseconds of its own wall clock. Two starts under one id differ in it, and are two replicas to whoever counts or remembers. Where it is missing, a replica never starts again under its id. */
	readonly startedAt?: number;
};

/** A part of a prompt that requests share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What the gateway reads of a caller's headers. */
export type CallFields = {
	/** Each attempt of a caller has its own. Empty where the caller sent none. */
	readonly requestId: string;
	/** Milliseconds that the caller waits, counted from when it sent the call. */
	readonly timeLeftMs?: number;
	/** The last event that the caller has of a stream it takes up again. */
	readonly lastEventId?: number;
	/** The prompt in order, the widest shared part first. */
	readonly promptParts: readonly PromptPart[];
};

/** The API key that a call carries. `unusable`: there is something in its place, but not one key. */
export type PresentedKey = {readonly kind: 'none'} | {readonly kind: 'unusable'} | {readonly kind: 'key'; readonly key: string};

/** Whose a call is, where operators have declared accounts. */
export type CallerIdentity = {
	/** Missing for a call without a key on a route that takes such. */
	readonly account?: ClientAccountName;
};

/** What the gateway adds to a caller's headers for one attempt at a replica. */
export type AttemptFields = {
	readonly requestId: string;
	/** The only replica that may run the call: an address may belong to another by now. */
	readonly replica: ReplicaId;
	readonly timeLeftMs?: number;
	readonly lastEventId?: number;
	/** Where given, the caller's key is kept from the replica, and the account's name is the gateway's to tell. */
	readonly caller?: CallerIdentity;
};

/** What the gateway reads of a replica's answer. */
export type AnswerFields = {
	/** The call that the answer belongs to. */
	readonly requestId?: string;
	/** True when the replica states that it has not run the call and will not. */
	readonly hasNotRun: boolean;
};

/** How callers' and replicas' headers are spelled. */
export type CallDialect = {
	/** @param headers - Lower-case names. */
	readCall(headers: NodeJS.Dict<string | string[]>): CallFields;
	/** @param headers - The caller's, as names and values by turns. */
	readKey(headers: readonly string[]): PresentedKey;
	/**
	@param headers - The caller's, as names and values by turns.
	@returns What the replica receives, likewise; without those that concern one connection only.
	*/
	toReplica(headers: readonly string[], fields: AttemptFields): string[];
	/** @param headers - Lower-case names. */
	readAnswer(status: number, headers: NodeJS.Dict<string | string[]>): AnswerFields;
};
