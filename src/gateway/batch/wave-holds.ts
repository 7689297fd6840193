/**
Lets items wait that a foreseen wave of online calls would cut, as `wave-plan.ts` decides, and says so once for each item and wave.
*/
import type {Clock, EventLog, Metrics} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import {servicesOf} from '../route-table.js';
import {remainingMs, type RunEstimate} from './batch-policy.js';
import type {PendingItem} from './pending-items.js';
import type {WaveForecasts} from './wave-forecasts.js';
import {shouldWait, type Occupancy, type WaveForecast} from './wave-plan.js';

/** Dependencies of the holds. */
export type WaveHoldsParts = {
	readonly waves: Pick<WaveForecasts, 'of'>;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** The most log lines of items that wait for one wave. */
const maxLinesPerWave = 20;

/** See the module's head. */
export class WaveHolds {
	readonly #parts: WaveHoldsParts;
	/** Until when items that wait are not named again, in milliseconds on the monotonic clock. */
	readonly #namedUntil = new WeakMap<PendingItem['state'], number>();
	#lines = 0;
	#waveEndsAt = -Infinity;

	constructor(parts: WaveHoldsParts) {
		this.#parts = parts;
	}

	/**
	@param items - Items of one route.
	@param occupancy - The use of its slots.
	@returns Those that may begin now.
	*/
	beginning(items: readonly PendingItem[], estimate: RunEstimate, occupancy: Occupancy): readonly PendingItem[] {
		const service = items[0] && servicesOf(items[0].route)[0];
		const forecast = service && this.#parts.waves.of(service);
		return forecast ? items.filter(item => !this.#holds(item, estimate, occupancy, forecast)) : items;
	}

	#holds(item: PendingItem, estimate: RunEstimate, occupancy: Occupancy, forecast: WaveForecast): boolean {
		const runMs = remainingMs(item, estimate);
		const dueInMs = item.dueAt - this.#parts.clock.wall();
		const isHeld = shouldWait({runMs, dueInMs}, forecast, occupancy);
		if (isHeld) {
			this.#name(item, forecast, {runMs, dueInMs});
		}

		return isHeld;
	}

	#name({job, state}: PendingItem, {msToRise, msToFall, isHigh, sureness, ageMs}: WaveForecast, {runMs, dueInMs}: {readonly runMs: number; readonly dueInMs: number}) {
		const {clock, log, metrics} = this.#parts;
		const now = clock.now();
		if (now < (this.#namedUntil.get(state) ?? 0)) {
			return;
		}

		const waveEndsAt = now + msToFall;
		this.#namedUntil.set(state, waveEndsAt);
		metrics.count('gateway.itemsHeld');
		if (now >= this.#waveEndsAt) {
			this.#lines = 0;
			this.#waveEndsAt = waveEndsAt;
		}

		this.#lines += 1;
		if (this.#lines <= maxLinesPerWave) {
			log.emit(gatewayEvents.itemHeld, {
				job: job.id, item: state.item.id, runMs: Math.round(runMs), dueInMs: Math.round(dueInMs), msToRise: isHigh ? 0 : Math.round(msToRise), msToFall: Math.round(msToFall), sureness, ageMs: Math.round(ageMs),
			});
		}
	}
}
