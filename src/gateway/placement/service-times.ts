/**
The time that replicas of each service need for a call, and thereby when a call can be expected to get a slot and its first token at each of them.

When calls arrive faster than slots become free for longer than callers wait, each further call waits in an engine's queue until its deadline. It delays calls that could still be served, and its caller gets no answer before the time-out. A caller that is refused at once, with the time after which to retry, can retry or do without.
*/
import {ExpectedTime} from '../contacts/expected-time.js';
import type {Replica} from '../replica.js';
import type {GatewayServiceName, RequestSize} from '../types.js';
import type {RelativePaces} from './relative-paces.js';

/** With fewer calls, the mean is not representative of a service. */
const minCalls = 10;

/** The part of the time to the first token that does not depend on the length of the prompt: transit, and the requests whose tokens are generated meanwhile. */
const fixedShare = 0.5;

/** Limits of a prompt's length relative to the mean. Lengths are the callers' statements; a wrong one must not outweigh what has been measured. */
const minRelativeLength = 0.2;
const maxRelativeLength = 5;

/** Weight of a prompt in the mean length. */
const lengthWeight = 1 / 16;

/** A stated number of tokens, if it can be one. */
const tokensOf = (size: RequestSize | undefined): number | undefined => {
	const tokens = size?.promptTokens;
	return tokens !== undefined && Number.isFinite(tokens) && tokens > 0 ? tokens : undefined;
};

type TimesOfService = {
	/** From sending to the complete answer, at the usual pace. */
	readonly call: ExpectedTime;
	/** From sending to the first token, at the usual pace, where no call waited for a slot. */
	readonly firstToken: ExpectedTime;
	meanTokens: number;
};

const usualPaces: Pick<RelativePaces, 'factorOf'> = {factorOf: () => 1};

/** Mean service times, and the waits that follow from them. */
export class ServiceTimes {
	readonly #times = new Map<GatewayServiceName, TimesOfService>();
	readonly #paces: Pick<RelativePaces, 'factorOf'>;

	/** @param paces - By default, all replicas count as equally fast. */
	constructor(paces = usualPaces) {
		this.#paces = paces;
	}

	/**
	Records the time from sending to the complete answer of a call that found a free slot, in milliseconds.

	@param factor - The pace of its replica, see `RelativePaces`.
	*/
	recordDuration(service: GatewayServiceName, ms: number, factor = 1): void {
		this.#timesOf(service).call.observe(ms / factor);
	}

	/** Records the time from sending to the first token of a call that found a free slot, in milliseconds. */
	recordFirstToken(replica: Replica, ms: number, size?: RequestSize): void {
		const times = this.#timesOf(replica.record.service);
		times.firstToken.observe(ms / this.#paces.factorOf(replica));
		const tokens = tokensOf(size);
		if (tokens !== undefined) {
			const bounded = times.meanTokens > 0 ? Math.min(tokens, maxRelativeLength * times.meanTokens) : tokens;
			times.meanTokens += (times.meanTokens > 0 ? lengthWeight : 1) * (bounded - times.meanTokens);
		}
	}

	/** @returns Mean time for which a call occupies a slot, in milliseconds; `undefined` if too few calls were recorded. */
	meanMs(service: GatewayServiceName): number | undefined {
		const time = this.#times.get(service);
		return time && time.call.observations >= minCalls ? time.call.meanMs : undefined;
	}

	/**
	Milliseconds until a call gets a slot, at the replica with the shortest wait. Batch items are not counted, since online calls preempt them. 0 if too few calls were recorded or no replica is given: the call is then to be tried.
	*/
	waitMs(service: GatewayServiceName, replicas: readonly Replica[]): number {
		return replicas.length === 0 ? 0 : Math.min(...replicas.map(replica => this.#waitMsAt(service, replica)));
	}

	/** Milliseconds until a call that is sent to the replica now is expected to have its first token: the wait for a slot and the reading of the prompt, at the replica's own pace. 0 if too few calls were recorded. */
	expectedFirstTokenMs(service: GatewayServiceName, replica: Replica, size?: RequestSize): number {
		return this.#waitMsAt(service, replica) + this.#readingMsAt(service, replica, size);
	}

	/** An engine serves in order of arrival, and the slots of a full one become free one after the other. */
	#waitMsAt(service: GatewayServiceName, replica: Replica): number {
		const time = this.#times.get(service)?.call;
		if (!time || time.observations < minCalls) {
			return 0;
		}

		const {allOnline, record: {slots}} = replica;
		const excess = Math.max(0, allOnline + 1 - slots);
		return excess === 0 ? 0 : excess * time.meanMs / slots * this.#paces.factorOf(replica);
	}

	#readingMsAt(service: GatewayServiceName, replica: Replica, size: RequestSize | undefined): number {
		const times = this.#times.get(service);
		if (!times || times.firstToken.observations < minCalls) {
			return 0;
		}

		const {firstToken, meanTokens} = times;
		const tokens = meanTokens > 0 ? tokensOf(size) : undefined;
		const relativeLength = tokens === undefined ? 1 : Math.min(maxRelativeLength, Math.max(minRelativeLength, tokens / meanTokens));
		return firstToken.meanMs * (fixedShare + ((1 - fixedShare) * relativeLength)) * this.#paces.factorOf(replica);
	}

	#timesOf(service: GatewayServiceName): TimesOfService {
		const times = this.#times.get(service) ?? {call: new ExpectedTime(), firstToken: new ExpectedTime(), meanTokens: 0};
		this.#times.set(service, times);
		return times;
	}
}
