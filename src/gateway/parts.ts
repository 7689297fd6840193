/**
What the parts of the gateway share: the blackboard's tables and the services that are injected.
*/
import type {
	Clock, EventLog, Metrics, RandomSource,
} from '../common/services.js';
import type {CallRanks} from './accounts/call-ranks.js';
import type {ConfigBoard} from './config-board.js';
import type {FeedFreshness} from './feed-freshness.js';
import type {ReplicaReachability} from './contacts/replica-reachability.js';
import type {LoadBoard} from './load-board.js';
import type {Quarantine} from './quarantine/quarantine.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaConnectionPools} from './replica-connection-pools.js';
import type {ServiceTimes} from './service-times.js';
import type {CallDialect} from './types.js';

/** See the module's head. */
export type GatewayParts = {
	readonly board: ConfigBoard;
	readonly directory: ReplicaDirectory;
	/** Of the directory. */
	readonly replicaFreshness: FeedFreshness;
	readonly loads: LoadBoard;
	readonly connectionPools: ReplicaConnectionPools;
	readonly reachability: ReplicaReachability;
	readonly serviceTimes: ServiceTimes;
	readonly ranks: CallRanks;
	readonly quarantine: Quarantine;
	readonly dialect: CallDialect;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** How many processes share the replicas, this one included. */
	readonly processCount: () => number;
	/** Where this process runs. */
	readonly failureDomain: string;
};
