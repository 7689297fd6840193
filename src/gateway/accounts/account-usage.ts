/**
An account's calls at one process, as announced to its peers. Both counts are cumulative since the process started, so a lost message loses nothing.
*/
import type {ClientAccountName} from '../types.js';

/** See the module's head. */
export type AccountUsage = {
	readonly account: ClientAccountName;
	/** Calls that were admitted, less those that were rejected later without having run. */
	readonly admitted: number;
	/** Calls that arrived, admitted or not. */
	readonly asked: number;
};
