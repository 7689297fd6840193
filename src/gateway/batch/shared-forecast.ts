/**
What a process foresees of the online demand of a service, as announced to its peers: the sum over all processes tells how many slots batch items may use without being preempted.
*/
import type {GatewayServiceName} from '../types.js';

/** One process's online calls at one service, now and in the seconds to come. */
export type SharedForecast = {
	readonly service: GatewayServiceName;
	/** Mean number of calls a second in consecutive periods of the recent past, the newest last. */
	readonly perSecond: readonly number[];
};
