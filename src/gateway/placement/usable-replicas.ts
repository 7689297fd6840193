/**
The replicas that a call can be expected to be served by. One that has lost power, or fails what it gets, has free slots for as long as nobody uses them; counted, it would make a service that lacks slots appear to have some. Used where a wait or the room of a service is estimated; the choice of a replica weighs failures by itself.
*/
import type {Replica} from '../replica.js';

/** A replica that fails more than this share of its recent requests serves few callers. */
const maxFailureShare = 0.5;

/**
@param now - Milliseconds on the monotonic clock.
@returns All replicas if none is usable: trying one is better than a refusal.
*/
export const usableReplicas = (replicas: readonly Replica[], now: number): readonly Replica[] => {
	const usable = replicas.filter(replica => !replica.isBackedOff(now) && replica.outcomes.failureShare(now) <= maxFailureShare);
	return usable.length > 0 ? usable : replicas;
};
