/**
The agent's numbered events of configuration and orders, 330 to 359.
*/
import type {EventDefinition} from '../common/types.js';

export const agentConfigEvents = {
	ready: {number: 330, level: 'info', text: 'first configuration of the agent is in force'},
	objectRefused: {number: 331, level: 'error', text: 'object is malformed and not put in force, the last good one stays'},
	orderDone: {number: 332, level: 'info', text: 'engine carried out an order'},
	orderFailed: {number: 333, level: 'warn', text: 'engine did not carry out an order, it is tried again'},
	orderHeldBack: {number: 334, level: 'warn', text: 'orders held back: the assignment is a former holder\'s, or its number can not be checked'},
} as const satisfies Record<string, EventDefinition>;
