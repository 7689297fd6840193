/**
Priority of calls within a service. Engines admit calls in order of arrival, so priority is applied before a call is sent: while calls of a higher priority are arriving, those of a lower one are rejected earlier instead of queueing ahead of them.
*/
import type {Clock} from '../../common/services.js';
import type {GatewayServiceName} from '../types.js';

/** A rank counts as active for this long after its last call, in milliseconds. */
const activeForMs = 2000;

/** The share of its remaining time that an outranked call may spend in a queue. */
const outrankedShare = 0.75;

/** See the module's head. */
export class CallRanks {
	readonly #clock: Clock;
	readonly #seenAt = new Map<GatewayServiceName, Map<number, number>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the arrival of a call. Rank 0 is the highest. */
	note(service: GatewayServiceName, rank: number): void {
		const ranks = this.#seenAt.get(service) ?? new Map<number, number>();
		this.#seenAt.set(service, ranks);
		ranks.set(rank, this.#clock.now());
	}

	/** @returns The share of its remaining time that a call of the rank may spend in a queue. */
	waitShareOf(service: GatewayServiceName, rank: number): number {
		const now = this.#clock.now();
		const ranks = [...this.#seenAt.get(service) ?? []];
		return ranks.some(([other, seenAt]) => other < rank && now - seenAt < activeForMs) ? outrankedShare : 1;
	}
}
