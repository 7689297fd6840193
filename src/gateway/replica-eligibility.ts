/**
Whether a chosen replica may be sent work. It is checked again once a new connection has been made, since the replica may have left meanwhile.
*/
import type {FeedFreshness} from './feed-freshness.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** @returns Whether the registrations are fresh and list the replica as taking work. */
export const isEligible = ({replicaFreshness, directory}: {readonly replicaFreshness: FeedFreshness; readonly directory: ReplicaDirectory}, replica: Replica): boolean =>
	replicaFreshness.isFresh && directory.takesWork(replica);
