/**
The state that the processes of the gateway announce to each other: how many requests each has in flight at each replica, and which batch jobs it runs. It is sent at regular intervals, and what has changed in between, so that nothing depends on a single message, and a peer that sends none is considered terminated.
*/
import type {AccountUsage} from '../accounts/account-usage.js';
import type {SharedDemand} from '../admission/shared-demand.js';
import type {WaitingCounts} from '../batch/batch-policy.js';
import type {FailedRun} from '../batch/failed-runs.js';
import type {SharedForecast} from '../batch/shared-forecast.js';
import type {OutcomeCounts} from '../contacts/recent-outcomes.js';
import type {SharedUnreachable} from '../contacts/unreachable-announcements.js';
import type {SharedPace} from '../placement/shared-pace.js';
import type {ContentDigest} from '../quarantine/content-digest.js';
import type {Crash} from '../quarantine/crash-history.js';
import type {AnnouncedPartCrash, ClearedPart, PartTrial} from '../quarantine/part-quarantine.js';
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

/** Outcomes of one process's recent requests at one replica, as {@link OutcomeCounts} at the time of the message. */
export type SharedOutcomes = OutcomeCounts & {
	readonly replica: ReplicaId;
	/** See {@link SharedLoad.startedAt}. */
	readonly startedAt?: number;
};

/** Items of one route that wait for a slot at one process. */
export type SharedWaiting = WaitingCounts & {readonly route: string};

/** Sections of the state that single components contribute and read; none is in each message. */
export type PeerSections = {
	readonly paces?: readonly SharedPace[];
	readonly demand?: readonly SharedDemand[];
	readonly forecasts?: readonly SharedForecast[];
	readonly unreachable?: readonly SharedUnreachable[];
};

/** The complete state of one process. */
export type PeerState = PeerSections & {
	readonly member: MemberName;
	/** `ip:port` at which it receives its peers' state. */
	readonly address: string;
	/** `ip:port` at which it accepts its peers' calls. */
	readonly rpcAddress: string;
	/** Whether it can relay a peer's calls to the object API. */
	readonly reachesObjectApi: boolean;
	/** Whether it keeps the origins of streams for its peers; processes of earlier versions keep none. */
	readonly keepsOrigins?: boolean;
	/** Whether it reads changes of its peers' states; processes of earlier versions are sent each state completely. */
	readonly readsChanges?: boolean;
	/** The failure domain of its VM; processes of earlier versions state none. */
	readonly failureDomain?: string;
	/** When the process started, in milliseconds of its wall clock: a restart begins with a new sequence. */
	readonly startedAt: number;
	/** Grows with each message of one start. */
	readonly seq: number;
	/** Whether it is shutting down and handing over its jobs. */
	readonly isLeaving: boolean;
	/** Replicas that are not listed have no requests of this process. */
	readonly loads: readonly SharedLoad[];
	/** Only replicas where requests failed recently, at this process or another; not in each message. */
	readonly outcomes?: readonly SharedOutcomes[];
	/** Replicas that recently ended while they ran its requests; repeated several times, and not in each message. */
	readonly crashes?: readonly Crash[];
	/** Requests that were running when replicas ended, and have completed since. */
	readonly acquitted?: readonly ContentDigest[];
	/** Replicas that recently ended at the beginning of answers to its requests, with the parts of these requests' prompts; repeated several times, and not in each message. */
	readonly partCrashes?: readonly AnnouncedPartCrash[];
	/** Prompt parts that were in requests when replicas ended, and have been in sound runs since. */
	readonly clearedParts?: readonly ClearedPart[];
	/** Tests of prompt parts that have shown nothing. */
	readonly withdrawnTrials?: readonly PartTrial[];
	/** Its runs of batch items that failed recently; repeated several times, and not in each message. */
	readonly failedRuns?: readonly FailedRun[];
	/** Usage of rate-limited client accounts whose calls it received recently; not in each message. */
	readonly accountUsage?: readonly AccountUsage[];
	/** What it has recently read from the object API; not in each message. */
	readonly checks?: readonly FeedCheck[];
	/** Batch jobs that it runs. */
	readonly jobs: readonly BatchJobId[];
	/** Routes without waiting items are not listed; processes of earlier versions list none. */
	readonly waiting?: readonly SharedWaiting[];
};

/** Name of the RPC method between processes. */
export const peerStateMethod = 'gateway.state';
