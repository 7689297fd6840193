/**
A caller's call as the server hands it over: received completely, with its route and its caller.
*/
import type {ServerResponse} from 'node:http';
import type {AdmittedCaller} from '../accounts/caller-gate.js';
import type {CallFields, GatewayRoute} from '../types.js';
import type {CallMessage} from './attempt.js';

/** See the module's head. */
export type ArrivedCall = {
	readonly route: GatewayRoute;
	readonly caller: AdmittedCaller;
	readonly fields: CallFields;
	readonly message: CallMessage;
	/** When its head had been received, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly res: ServerResponse;
};
