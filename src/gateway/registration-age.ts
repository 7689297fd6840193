/**
How old the knowledge is by which a replica was chosen. A replica that leaves gets calls as long as its process has not heard of it; only these figures tell a process that hears late from one that keeps a registration too long.
*/
import type {Clock} from '../common/services.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** Fields of a log line about a choice, in milliseconds. */
export type RegistrationAge = {
	/** Since the object API last told of the registrations. */
	readonly heardMs: number;
	/** Since the replica's own registration has been missing. */
	readonly missedMs: number | undefined;
};

/** The age at this moment. */
export const registrationAge = ({directory, clock}: {readonly directory: ReplicaDirectory; readonly clock: Clock}, {missingSince: missedAt}: Replica): RegistrationAge => {
	const now = clock.now();
	return {
		heardMs: Math.round(now - directory.heardAt),
		missedMs: missedAt === undefined ? undefined : Math.round(now - missedAt),
	};
};
