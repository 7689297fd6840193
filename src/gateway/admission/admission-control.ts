/**
The interface between a call and the decision when it may be sent to a replica: at once, after a short wait, or not at all. Until a call is admitted it has been offered to no replica, so a refusal truly states that it has not run.
*/
import type {Disposable} from '../../common/services.js';
import type {Replica} from '../replica.js';
import type {
	ClientAccount, GatewayRoute, GatewayServiceName, RequestSize,
} from '../types.js';

/** A call that asks to be admitted. */
export type AdmissionRequest = {
	readonly id: string;
	readonly route: GatewayRoute;
	readonly service: GatewayServiceName;
	/** Omitted where operators have declared no accounts, or the call belongs to none. */
	readonly account?: ClientAccount;
	readonly size?: RequestSize;
	/** Whether it resumes a stream of which the caller has events. */
	readonly isResumed?: boolean;
	/** Bytes of the body that is kept while the call waits; 0 if missing. */
	readonly bodyBytes?: number;
	/** When its head had been received, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** Milliseconds after its arrival until which its caller waits. */
	readonly timeLimitMs: number;
	/** Replicas that may run it now. */
	readonly candidates: () => readonly Replica[];
};

/** The priority rank of a call: its account's, or else its route's; 0 is the highest. */
export const rankOf = ({account, route}: Pick<AdmissionRequest, 'account' | 'route'>): number => account?.priority ?? route.priority;

/** `refused`: the call is not to be sent to any replica; its caller may retry after `retryAfterMs`. */
export type AdmissionOutcome = {readonly kind: 'admitted'} | {readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number};

/** Decides when calls begin. */
export type AdmissionControl = {
	/**
	Asks for the admission of a call. `onDecided` is called at most once, possibly before this returns.

	@returns To be disposed of when the call has ended, admitted or not: it leaves the waiting line, or its share is released.
	*/
	request(call: AdmissionRequest, onDecided: (outcome: AdmissionOutcome) => void): Disposable;
};
