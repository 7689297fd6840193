/**
Dependencies that the gateway's components share: the tables of the blackboard, which is the in-memory state of the process that its controllers write and its request handling reads, and the injected services.
*/
import type {
	Clock, EventLog, Metrics, RandomSource,
} from '../common/services.js';
import type {AdmissionControl} from './admission/admission-control.js';
import type {CallOutcomes} from './serving/call-outcomes.js';
import type {ShutdownWindow} from './calls/shutdown-window.js';
import type {ConfigBoard} from './config-board.js';
import type {FeedFreshness} from './feed-freshness.js';
import type {ReplicaReachability} from './contacts/replica-reachability.js';
import type {LoadBoard} from './load-board.js';
import type {PartQuarantine} from './quarantine/part-quarantine.js';
import type {Quarantine} from './quarantine/quarantine.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaConnectionPools} from './replica-connection-pools.js';
import type {RelativePaces} from './placement/relative-paces.js';
import type {ServiceTimes} from './placement/service-times.js';
import type {StreamOrigins} from './streams/stream-origins.js';
import type {CallDialect} from './types.js';

/** The shared dependencies. */
export type GatewayParts = {
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	/** Freshness of the directory. */
	readonly replicaFreshness: FeedFreshness;
	readonly loads: LoadBoard;
	readonly connectionPools: ReplicaConnectionPools;
	readonly reachability: ReplicaReachability;
	readonly serviceTimes: ServiceTimes;
	readonly paces: RelativePaces;
	readonly admission: AdmissionControl;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly streamOrigins: Pick<StreamOrigins, 'announce' | 'find'>;
	readonly shutdown: ShutdownWindow;
	readonly outcomes: CallOutcomes;
	readonly dialect: CallDialect;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** Number of gateway processes that send to the replicas, including this one. */
	readonly processCount: () => number;
	/** Whether runs that may not be repeated are copied, to go on at another replica if theirs ends. */
	readonly continuesRuns: boolean;
	/** Failure domain of this process. */
	readonly failureDomain: string;
};
