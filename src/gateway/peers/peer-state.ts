/**
What the processes of the gateway tell each other: how much each has in flight at each replica, and which batch jobs it runs. It is sent anew at each change and every now and then, so that nothing depends on one message, and silence means that a peer is gone.
*/
import type {
	BatchJobId, MemberName, ReplicaId,
} from '../types.js';

/** Requests of one process in flight at one replica. */
export type SharedLoad = {
	readonly replica: ReplicaId;
	/** The start of the replica that the requests were sent to, as {@link ReplicaRecord.startedAt}. */
	readonly startedAt?: number;
	readonly online: number;
	readonly batch: number;
};

/** Requests that one process has seen fail at one replica. */
export type SharedFailures = {
	readonly replica: ReplicaId;
	/** See {@link SharedLoad.startedAt}. */
	readonly startedAt?: number;
	/** All since the process started. */
	readonly count: number;
};

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
	/** Of replicas where requests have failed of late. */
	readonly failures: readonly SharedFailures[];
	/** Batch jobs that it runs. */
	readonly jobs: readonly BatchJobId[];
};

/** The method's name between processes. */
export const peerStateMethod = 'gateway.state';
