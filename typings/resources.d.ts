/**
The resources that operators write and watch. Each is kept as one object of the object API, with `metadata.name` as its name. Times are RFC 3339 strings, durations are numbers whose field name ends in the unit.
*/

/** The version of the resource shapes below. */
export type ApiVersion = 'citronyard/v1';

/** What every resource says of itself. */
export type Metadata = {
	/** Lower-case letters, digits, `.` and `-`; at most 120 characters. */
	readonly name: string;
	/** Counts the changes of `spec`; set by citronctl and the entry, 1 at first. */
	readonly generation?: number;
	/** Names the change that wrote this generation, so that a writer whose answer was lost recognises its own change. */
	readonly changeId?: string;
};

/** One aspect of a resource's state. */
export type Condition = {
	readonly type: string;
	readonly status: 'True' | 'False' | 'Unknown';
	/** One word in CamelCase, for programs. */
	readonly reason: string;
	/** A sentence, for people. */
	readonly message: string;
	/** When `status` last changed. */
	readonly lastTransitionTime: string;
};

/** The common frame of all resources. */
export type Resource<Kind extends string, Spec> = {
	readonly apiVersion: ApiVersion;
	readonly kind: Kind;
	readonly metadata: Metadata;
	readonly spec: Spec;
};

/** What the system reports of a resource; kept beside it, so that a report never races with an operator's change. */
export type ResourceStatus = {
	/** The generation of `spec` that this status speaks of. */
	readonly observedGeneration: number;
	readonly conditions: readonly Condition[];
	/** Nodes in which this generation is in force, and nodes known. */
	readonly nodesInForce?: number;
	readonly nodesKnown?: number;
};

/** A model that callers name in `model`. */
export type ServedModelSpec = {
	/** The name of the ModelVersion that answers. */
	readonly version: string;
	/** Replicas wanted. Default: every backend server that lists this model. */
	readonly replicas?: number;
	/** Replicas that must stay ready during a roll-out. Default: one less than `replicas`. */
	readonly minReady?: number;
};

/** Weights of a model, or of an adapter on it. */
export type ModelVersionSpec = {
	/** The key in the weight store. */
	readonly weights: string;
	/** The adapter's key in the weight store, where this version is an adapter. */
	readonly adapter?: string;
	/** Size of the weights in bytes. Default 0: not known. */
	readonly bytes?: number;
};

/** A plain service below `/services/<name>/`. */
export type OnlineServiceSpec = {
	/** Methods whose calls may be repeated. Default: GET, HEAD, OPTIONS. All others are non-idempotent. */
	readonly idempotentMethods?: readonly string[];
	/** The longest that one call may take, in milliseconds. Default 30000. */
	readonly timeoutMs?: number;
};

/** A customer's account. */
export type ClientAccountSpec = {
	/** Weight among accounts; an account with 2 receives twice the work of one with 1 when both wait. Default 1. */
	readonly share?: number;
	/** SHA-256 in hex of each API key that belongs to the account. */
	readonly keySha256: readonly string[];
	/** Online requests this account may have in flight at one entry. Default 1000. */
	readonly maxInFlight?: number;
};

/** What one backend server runs and how it behaves. Named after its VM. */
export type BackendServerSpec = {
	readonly type: 'engine' | 'service';
	/** Served models that may be placed here; for type `engine`. */
	readonly models?: readonly string[];
	/** The online service that runs here; for type `service`. */
	readonly service?: string;
	/** Whether it refuses an order with an old fencing number. Default false, the safe side. */
	readonly checksFence?: boolean;
};

/** A batch job. The entry writes it; operators may cancel it. */
export type BatchJobSpec = {
	readonly account: string;
	/** The client's key for the job: a job resent under the same key is the same job. */
	readonly jobKey: string;
	readonly inputFileId: string;
	/** The path each item is sent to, for instance `/v1/chat/completions`. */
	readonly endpoint: string;
	/** When the results are due. */
	readonly dueTime: string;
	readonly createdTime: string;
	/** True once a client or operator cancelled the job; never goes back to false. */
	readonly cancelled?: boolean;
	readonly cancelledTime?: string;
	/** Free pairs the client gave along. */
	readonly clientMetadata?: Readonly<Record<string, string>>;
};

export type ServedModel = Resource<'ServedModel', ServedModelSpec>;
export type ModelVersion = Resource<'ModelVersion', ModelVersionSpec>;
export type OnlineService = Resource<'OnlineService', OnlineServiceSpec>;
export type ClientAccount = Resource<'ClientAccount', ClientAccountSpec>;
export type BackendServer = Resource<'BackendServer', BackendServerSpec>;
export type BatchJob = Resource<'BatchJob', BatchJobSpec>;

/** Any resource that operators may write. */
export type AnyResource = ServedModel | ModelVersion | OnlineService | ClientAccount | BackendServer | BatchJob;
