/**
What one process says of an account's calls to its peers. Both counts grow since the start of the process, so that a lost message loses nothing.
*/
import type {ClientAccountName} from '../types.js';

/** See the module's head. */
export type AccountUsage = {
	readonly account: ClientAccountName;
	/** Calls that were admitted, without those that were refused later. */
	readonly admitted: number;
	/** Calls that came, admitted or not. */
	readonly asked: number;
};
