/**
The agent's numbered events, 300 to 399.
*/
import type {EventDefinition} from '../common/types.js';

export const agentEvents = {
	listening: {number: 300, level: 'info', text: 'agent listens'},
	drainBegun: {number: 301, level: 'info', text: 'agent takes no new work'},
	drainEnded: {number: 302, level: 'info', text: 'agent has finished its work'},
	admitted: {number: 310, level: 'debug', text: 'work given to the backend server'},
	refused: {number: 311, level: 'info', text: 'work refused, not run'},
	preempted: {number: 312, level: 'info', text: 'batch item taken back for online work'},
	revoked: {number: 313, level: 'info', text: 'attempt revoked before it began'},
	orphaned: {number: 314, level: 'warn', text: 'nobody came back for the answer, attempt cancelled'},
	backendLost: {number: 320, level: 'warn', text: 'backend server ended an answer in the middle'},
	/** Fields: targets, reason (why the backend server does not say). */
	servesChanged: {number: 321, level: 'info', text: 'what the backend server serves has changed'},
	handlerFailed: {number: 390, level: 'error', text: 'a request handler broke an invariant'},
} as const satisfies Record<string, EventDefinition>;
