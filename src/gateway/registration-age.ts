/**
The age of the registrations by which a replica was chosen. A replica that leaves receives calls until this process learns of its removal; only these figures distinguish a process that receives changes late from one that retains a registration for too long.
*/
import type {Clock} from '../common/services.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** Fields of a log line about the choice of a replica, in milliseconds. */
export type RegistrationAge = {
	/** Since the object API last answered a read of the registrations. */
	readonly heardMs: number;
	/** For how long the replica's own registration has been missing; `undefined` while it exists. */
	readonly missedMs: number | undefined;
};

/** The age of a replica's registration at this moment. */
export const registrationAge = ({directory, clock}: {readonly directory: ReplicaDirectory; readonly clock: Clock}, {missingSince}: Replica): RegistrationAge => {
	const now = clock.now();
	return {
		heardMs: Math.round(now - directory.heardAt),
		missedMs: missingSince === undefined ? undefined : Math.round(now - missingSince),
	};
};
