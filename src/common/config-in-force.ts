/**
Determines which resources still have to be reported: those whose newest version is not known to be in force at every node.
*/
import type {AnyResource, ResourceStatus} from '../../typings/resources.js';
import type {Revision} from './ids.js';
import type {ObjectKind, StoredObject, WatchEvent} from './types.js';

/** Kinds that operators write and that every node applies. */
export const reportedKinds: readonly ObjectKind[] = ['ServedModel', 'ModelVersion', 'OnlineService', 'ClientAccount', 'BackendServer'];

/** The number of nodes that have a version in force, and of all known nodes. */
export type InForceTally = {readonly nodesInForce: number; readonly nodesKnown: number};

/** A version that still has to be reported as in force. */
export type PendingVersion = {
	readonly kind: ObjectKind;
	readonly name: string;
	readonly version: Revision;
	readonly generation: number;
	/** The clock's `now` when it was first seen here. */
	readonly seenAt: number;
	/** The clock's `now` when it was last reported; undefined before the first time. */
	readonly reportedAt?: number;
	readonly reported?: InForceTally;
	/** The clock's `now` since which every tally has been complete; undefined while nodes are missing. */
	readonly completeSince?: number;
};

/** A change takes a moment to reach all nodes; reporting each step of it would only cost calls. */
const firstReportDelayMs = 3000;
const reportIntervalMs = 5000;
/** A node that has just switched upstreams is briefly counted at both, and could hide one that is behind. */
const settleMs = 2000;

export const inForceCondition = 'InForce';

/** The generation of a resource; 1 when its writer set none, or wrote something other than a resource. */
export const generationOf = (resource: Partial<AnyResource>): number => resource.metadata?.generation ?? 1;

export const isInForce = ({nodesInForce, nodesKnown}: InForceTally): boolean => nodesInForce >= nodesKnown;

/** Returns the pending version updated by a tally. */
export const withTally = (pending: PendingVersion, tally: InForceTally, now: number): PendingVersion => ({...pending, completeSince: isInForce(tally) ? pending.completeSince ?? now : undefined});

/** Whether to write a report now. */
export const isReportDue = ({seenAt, reportedAt, reported, completeSince}: PendingVersion, tally: InForceTally, now: number): boolean => {
	if (isInForce(tally)) {
		return completeSince !== undefined && now - completeSince >= settleMs;
	}

	return reportedAt === undefined
		? now - seenAt >= firstReportDelayMs
		: now - reportedAt >= reportIntervalMs && (reported?.nodesInForce !== tally.nodesInForce || reported.nodesKnown !== tally.nodesKnown);
};

/** Whether a status already shows that a resource's generation is in force. */
export const isSettled = (resource: AnyResource, status: ResourceStatus | undefined): boolean => status?.observedGeneration === generationOf(resource)
	&& status.conditions.some(({type, status: value}) => type === inForceCondition && value === 'True');

/** Creates the pending version of a resource that was written. */
export const pendingOf = ({kind, name, version, value}: Pick<WatchEvent, 'kind' | 'name' | 'version' | 'value'> | StoredObject, now: number): PendingVersion => ({
	kind, name, version, generation: generationOf(value as AnyResource), seenAt: now,
});
