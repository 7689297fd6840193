/**
The agent's numbered events of configuration and orders, 330 to 359.
*/
import type {EventDefinition} from '../common/types.js';

export const agentConfigEvents = {
	ready: {number: 330, level: 'info', text: 'first configuration of the agent is in force'},
} as const satisfies Record<string, EventDefinition>;
