/**
Whether a replica that was chosen may still be sent work; asked again once its connection has been made.
*/
import type {FeedFreshness} from './feed-freshness.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** By the registrations as they are known at this moment, unless those are too old. */
export const isEligible = ({replicaFreshness, directory}: {readonly replicaFreshness: FeedFreshness; readonly directory: ReplicaDirectory}, replica: Replica): boolean =>
	replicaFreshness.isFresh && directory.takesWork(replica);
