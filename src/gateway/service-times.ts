/**
How long replicas of each service need for a call, and so whether a call can get a place in its time at all.

The pattern: calls come faster than places become free for longer than their callers wait. Each call that is sent then waits in an engine's queue until its time is over, takes a place of the queue from one that could still be served, and its caller learns nothing before that. A caller who is told at once, and when there will be room, can come back or do without.
*/
import {ExpectedTime} from './contacts/expected-time.js';
import type {Replica} from './replica.js';
import type {GatewayServiceName} from './types.js';

/** Fewer calls say too little about a service. */
const leastCalls = 10;

/** See the module's head. */
export class ServiceTimes {
	readonly #times = new Map<GatewayServiceName, ExpectedTime>();

	/** A call that found a free place was answered whole after so many milliseconds. */
	recordDuration(service: GatewayServiceName, ms: number): void {
		const time = this.#times.get(service) ?? new ExpectedTime();
		time.observe(ms);
		this.#times.set(service, time);
	}

	/**
	Milliseconds until a call gets a place, at the replica where that is soonest. Batch items are not counted, since they give way. 0 while too little is known, or where no replica is known: then the call is to be tried.
	*/
	waitMs(service: GatewayServiceName, replicas: readonly Replica[]): number {
		const time = this.#times.get(service);
		if (!time || time.observations < leastCalls || replicas.length === 0) {
			return 0;
		}

		const waits = replicas.map(({allOnline, record: {slots}}) => Math.max(0, allOnline + 1 - slots) * time.meanMs / slots);
		return Math.min(...waits);
	}
}
