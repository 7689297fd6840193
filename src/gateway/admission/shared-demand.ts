/**
Demand as the processes of the gateway announce it to each other, so that all divide the same scarce slots by the same shares without a call to the object API.
*/
import type {GatewayServiceName} from '../types.js';

/** Calls of one account, or of one route where no accounts are declared, at one process and service. */
export type SharedDemand = {
	readonly service: GatewayServiceName;
	/** Name of the account or route. */
	readonly owner: string;
	/** Priority rank of the calls; 0 is the highest, and assumed if it is missing. */
	readonly rank?: number;
	/** Calls in flight at replicas. */
	readonly running: number;
	/** Calls a second that arrived recently, admitted or not. */
	readonly perSecond: number;
};
