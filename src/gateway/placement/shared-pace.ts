/**
The pace of replicas as the processes of the gateway announce it to each other. Each stream that a process forwards shows how fast its replica generates; announced, one process's observation serves all.
*/
import type {ReplicaId} from '../types.js';

/** What one process has observed at one start of a replica. */
export type SharedPace = {
	readonly replica: ReplicaId;
	/** The start that was observed, as `ReplicaRecord.startedAt`. */
	readonly startedAt?: number;
	/** Milliseconds between two events of a stream, at the number of requests running then. */
	readonly msPerEvent: number;
	/** Number of events that the figure stands for, decayed with their age. */
	readonly events: number;
};
