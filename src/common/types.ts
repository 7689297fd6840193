/**
Types shared by the core and its adapters.
*/
import type {FailureDomain, Revision, VmName} from './ids.js';

/** Kinds of object that citronyard stores in the object API. The first six are resources that operators write; the last seven belong to the gateway. */
export const objectKinds = ['ServedModel', 'ModelVersion', 'OnlineService', 'BatchJob', 'ClientAccount', 'BackendServer', 'Lease', 'File', 'InputChunk', 'Result', 'ResultPart', 'Claim', 'Assignment', 'JobStatus', 'ResourceStatus', 'GatewayConfig', 'Registration', 'Member', 'BatchRecord', 'BatchContent', 'Retirement', 'Quarantine'] as const;

/** One of {@link objectKinds}. */
export type ObjectKind = (typeof objectKinds)[number];

/** An object as the object API holds it. */
export type StoredObject<T = unknown> = {
	readonly kind: ObjectKind;
	/** Unique within its kind; may hold `/` to group names under a prefix. */
	readonly name: string;
	readonly version: Revision;
	readonly value: T;
};

/** Why a call of the platform failed. `unknown` means that a change may have taken effect. */
export type ApiError
	= | {readonly kind: 'conflict'; readonly current?: StoredObject}
		| {readonly kind: 'notFound'}
		| {readonly kind: 'tooLarge'; readonly limitBytes: number}
		| {readonly kind: 'expired'}
		| {readonly kind: 'unavailable'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

/** Which objects of a kind to list. */
export type ListQuery = {
	/** Only names that start with this. */
	readonly prefix?: string;
	/** Only names that sort after this one: the last name of the page before. */
	readonly after?: string;
	/** Objects in one page; 500 by default. */
	readonly limit?: number;
	/** False leaves the values out, which is cheaper; true by default. */
	readonly values?: boolean;
};

/** A page of a list, sorted by name. */
export type ObjectPage<T = unknown> = {
	readonly items: ReadonlyArray<StoredObject<T>>;
	/** The object API's version when the list was read: the version to watch from. */
	readonly version: Revision;
	readonly more: boolean;
};

/** Options of a read. */
export type ReadOptions = {
	/** True allows an answer from a copy that may lag by seconds, which costs the object API less. */
	readonly mayLag?: boolean;
	/** True uses a new connection, since kept-alive ones may have become unresponsive. */
	readonly isFresh?: boolean;
};

/** One change that a watch reports. A deletion has no value. */
export type WatchEvent = {
	readonly type: 'put' | 'delete';
	readonly kind: ObjectKind;
	readonly name: string;
	readonly version: Revision;
	readonly value?: unknown;
};

/** What a watch returned: changes in the order of their versions, or none when it timed out. */
export type WatchBatch = {
	readonly version: Revision;
	readonly events: readonly WatchEvent[];
};

/** The role of a VM. */
export type VmRole = 'entry' | 'backend';

/** A VM as the platform's VM list shows it. */
export type VmEntry = {
	readonly name: VmName;
	readonly role: VmRole;
	/** `ip:port` of the citronyard process on the VM. */
	readonly address: string;
	readonly failureDomain: FailureDomain;
	readonly state: 'live' | 'leaving';
};

/** The severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A numbered log event. Numbers are never used twice, see docs/LOG-EVENTS.md. */
export type EventDefinition = {
	readonly number: number;
	readonly level: LogLevel;
	readonly text: string;
	/** Whether any client can bring the event about by sending what is refused. Fewer such lines are written in a second. */
	readonly isRefusal?: true;
};

/** The fields of an event, besides its text. Values are JSON. */
export type LogFields = Readonly<Record<string, unknown>>;
