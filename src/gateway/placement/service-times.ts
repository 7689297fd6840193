/**
The time that replicas of each service need for a call, and thereby whether a call can get a slot before its deadline.

When calls arrive faster than slots become free for longer than callers wait, each further call waits in an engine's queue until its deadline. It delays calls that could still be served, and its caller gets no answer before the time-out. A caller that is refused at once, with the time after which to retry, can retry or do without.
*/
import {ExpectedTime} from '../contacts/expected-time.js';
import type {Replica} from '../replica.js';
import type {GatewayServiceName} from '../types.js';

/** With fewer calls, the mean is not representative of a service. */
const minCalls = 10;

/** Mean service times, and the wait for a slot that follows from them. */
export class ServiceTimes {
	readonly #times = new Map<GatewayServiceName, ExpectedTime>();

	/** Records the time from sending to the complete answer of a call that found a free slot, in milliseconds. */
	recordDuration(service: GatewayServiceName, ms: number): void {
		const time = this.#times.get(service) ?? new ExpectedTime();
		time.observe(ms);
		this.#times.set(service, time);
	}

	/** @returns Mean time for which a call occupies a slot, in milliseconds; `undefined` if too few calls were recorded. */
	meanMs(service: GatewayServiceName): number | undefined {
		const time = this.#times.get(service);
		return time && time.observations >= minCalls ? time.meanMs : undefined;
	}

	/**
	Milliseconds until a call gets a slot, at the replica with the shortest wait. Batch items are not counted, since online calls preempt them. 0 if too few calls were recorded or no replica is given: the call is then to be tried.
	*/
	waitMs(service: GatewayServiceName, replicas: readonly Replica[]): number {
		const time = this.#times.get(service);
		if (!time || time.observations < minCalls || replicas.length === 0) {
			return 0;
		}

		const waits = replicas.map(({allOnline, record: {slots}}) => Math.max(0, allOnline + 1 - slots) * time.meanMs / slots);
		return Math.min(...waits);
	}
}
