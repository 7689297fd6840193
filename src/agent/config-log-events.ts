/**
The agent's numbered events of configuration and orders, 330 to 359.
*/
import type {EventDefinition} from '../common/types.js';

export const agentConfigEvents = {
	ready: {number: 330, level: 'info', text: 'first configuration of the agent is in force'},
	objectRefused: {number: 331, level: 'error', text: 'object is malformed and not put in force, the last good one stays'},
} as const satisfies Record<string, EventDefinition>;
