/**
How much slower each replica is than is usual at its service: the factor by which decisions scale the time that a request takes there. 1 is the usual pace; 2 takes twice as long.

It is exactly 1 where nothing is known, and for all replicas that differ little, so that decisions between equal replicas do not depend on noise. Knowledge fades with age, and the factor returns towards 1: a replica that was slow once gets calls again, which show whether it still is. If all replicas slow down alike, all factors stay 1.
*/
import type {Clock} from '../../common/services.js';
import type {Replica} from '../replica.js';
import type {GatewayServiceName} from '../types.js';

/** Factors in between count as 1. */
const minDifferent = 0.8;
const maxDifferent = 1.25;

/** Bounds of the factor: no replica is excluded by its pace, and none attracts all requests. */
const minFactor = 0.2;
const maxFactor = 5;

/** Number of events at which a replica's pace is trusted by half. */
const halfTrustEvents = 6;

/** Interval at which the usual pace of a service is computed, in milliseconds: it takes a sort of all paces, and hardly changes meanwhile. */
const refreshMs = 200;

/** Dependencies of the factors. */
export type RelativePacesParts = {
	/** Replicas of a service that accept work. */
	readonly replicasOf: (service: GatewayServiceName) => readonly Replica[];
	readonly clock: Pick<Clock, 'now'>;
};

type UsualPace = {
	/** `undefined` while nothing is known. */
	readonly msPerEvent: number | undefined;
	readonly computedAt: number;
};

const trustOf = (events: number): number => events / (events + halfTrustEvents);

/** The pace that half of the weight lies below. */
const weightedMedian = (figures: ReadonlyArray<{readonly ms: number; readonly weight: number}>): number | undefined => {
	let remaining = figures.reduce((sum, {weight}) => sum + weight, 0) / 2;
	return figures.toSorted((a, b) => a.ms - b.ms).find(({weight}) => {
		remaining -= weight;
		return remaining <= 0;
	})?.ms;
};

/** See the module's head. */
export class RelativePaces {
	readonly #parts: RelativePacesParts;
	readonly #usual = new Map<GatewayServiceName, UsualPace>();

	constructor(parts: RelativePacesParts) {
		this.#parts = parts;
	}

	/** Time that a request takes at the replica, relative to what is usual at its service. */
	factorOf({pace, record: {service}}: Replica): number {
		const now = this.#parts.clock.now();
		const ms = pace.msPerEvent(now);
		const usualMs = ms === undefined ? undefined : this.#usualMs(service, now);
		if (ms === undefined || usualMs === undefined) {
			return 1;
		}

		const factor = 1 + (((ms / usualMs) - 1) * trustOf(pace.events(now)));
		return factor > minDifferent && factor < maxDifferent ? 1 : Math.min(maxFactor, Math.max(minFactor, factor));
	}

	#usualMs(service: GatewayServiceName, now: number): number | undefined {
		const known = this.#usual.get(service);
		if (known && now - known.computedAt < refreshMs) {
			return known.msPerEvent;
		}

		const msPerEvent = weightedMedian(this.#parts.replicasOf(service).flatMap(({pace}) => {
			const ms = pace.msPerEvent(now);
			return ms === undefined ? [] : [{ms, weight: trustOf(pace.events(now))}];
		}));
		this.#usual.set(service, {msPerEvent, computedAt: now});
		return msPerEvent;
	}
}
