/**
Which calls give way to others of their service. Engines know no ranks and admit calls as they come, so a rank decides before a call is sent: where calls of a higher rank are under way, one of a lower rank is refused while there is still time, instead of waiting in front of them.
*/
import type {Clock} from '../../common/services.js';
import type {GatewayServiceName} from '../types.js';

/** Calls of a rank are taken to go on coming for so long after the last one, in milliseconds. */
const seenForMs = 2000;

/** Of the time that its caller waits, a call that others outrank may spend waiting for a place. */
const outrankedShare = 0.75;

/** See the module's head. */
export class CallRanks {
	readonly #clock: Clock;
	readonly #seenAt = new Map<GatewayServiceName, Map<number, number>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** A call of the rank has come. 0 is the highest. */
	note(service: GatewayServiceName, rank: number): void {
		const ranks = this.#seenAt.get(service) ?? new Map<number, number>();
		this.#seenAt.set(service, ranks);
		ranks.set(rank, this.#clock.now());
	}

	/** @returns The share of its time that a call of the rank may wait for a place. */
	patienceOf(service: GatewayServiceName, rank: number): number {
		const now = this.#clock.now();
		const ranks = [...this.#seenAt.get(service) ?? []];
		return ranks.some(([other, seenAt]) => other < rank && now - seenAt < seenForMs) ? outrankedShare : 1;
	}
}
