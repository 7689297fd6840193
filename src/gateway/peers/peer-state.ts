/**
What the processes of the gateway tell each other: how much each has in flight at each replica, and which batch jobs it runs. It is sent anew at each change and every now and then, so that nothing depends on one message, and silence means that a peer is gone.
*/
import type {AccountUsage} from '../accounts/account-usage.js';
import type {WaitingCounts} from '../batch/batch-policy.js';
import type {FailedRun} from '../batch/failed-runs.js';
import type {OutcomeCounts} from '../contacts/recent-outcomes.js';
import type {ContentDigest} from '../quarantine/content-digest.js';
import type {Crash} from '../quarantine/crash-history.js';
import type {
	BatchJobId, MemberName, ReplicaId,
} from '../types.js';
import type {FeedCheck} from './shared-checks.js';

/** Requests of one process in flight at one replica. */
export type SharedLoad = {
	readonly replica: ReplicaId;
	/** The start of the replica that the requests were sent to, as {@link ReplicaRecord.startedAt}. */
	readonly startedAt?: number;
	readonly online: number;
	readonly batch: number;
};

/** How requests of one process have ended at one replica of late, as {@link OutcomeCounts} at the time of the message. */
export type SharedOutcomes = OutcomeCounts & {
	readonly replica: ReplicaId;
	/** See {@link SharedLoad.startedAt}. */
	readonly startedAt?: number;
};

/** Items of one route that wait for a place at one process. */
export type SharedWaiting = WaitingCounts & {readonly route: string};

/** One process's state, whole. */
export type PeerState = {
	readonly member: MemberName;
	/** `ip:port` where it takes its peers' state. */
	readonly address: string;
	/** `ip:port` where it takes its peers' calls. */
	readonly rpcAddress: string;
	/** Whether it can make a peer's calls of the object API. */
	readonly reachesObjectApi: boolean;
	/** When the process started, in milliseconds of its wall clock: a restart begins with a new sequence. */
	readonly startedAt: number;
	/** Grows with each message of one start. */
	readonly seq: number;
	/** Whether it is shutting down and gives its jobs away. */
	readonly isLeaving: boolean;
	/** Replicas that are not listed have nothing of this process. */
	readonly loads: readonly SharedLoad[];
	/** Of replicas where requests have failed of late, at this process or another; not in each message. */
	readonly outcomes?: readonly SharedOutcomes[];
	/** Replicas that have ended under its requests of late; told several times, and not in each message. */
	readonly crashes?: readonly Crash[];
	/** Requests that had been there when replicas ended, and have since run to their end. */
	readonly acquitted?: readonly ContentDigest[];
	/** Its runs of batch items that have failed of late; told several times, and not in each message. */
	readonly failedRuns?: readonly FailedRun[];
	/** Of client accounts with a rate limit whose calls have come to it of late; not in each message. */
	readonly accountUsage?: readonly AccountUsage[];
	/** What it has read of late from the object API; not in each message. */
	readonly checks?: readonly FeedCheck[];
	/** Batch jobs that it runs. */
	readonly jobs: readonly BatchJobId[];
	/** Routes whose items all run are not listed; processes of earlier versions list none. */
	readonly waiting?: readonly SharedWaiting[];
};

/** The method's name between processes. */
export const peerStateMethod = 'gateway.state';
