/**
Foresees waves of online calls by service, from the demand that this process and its peers have seen. Part of the blackboard: the batch runner and its slot finder read it, nobody else; only services to which a route of kind `batch` with a due time leads are watched.

A wave that was foreseen and does not come ends the pattern at once: its past is forgotten, and items wait for no further wave until two repeats have been seen anew.
*/
import type {Clock, Metrics} from '../../common/services.js';
import type {ConfigBoard} from '../config-board.js';
import type {LoadBoard} from '../load-board.js';
import type {PeerState, PeerSections} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import {onlineOf, slotsOf} from '../replica.js';
import {servicesOf} from '../route-table.js';
import type {GatewayServiceName} from '../types.js';
import {DemandHistory, periodMs, type DemandSeries} from './demand-history.js';
import {
	findPattern, foreseenEdges, type DemandPattern, type Edge,
} from './demand-pattern.js';
import type {WaveForecast} from './wave-plan.js';

/** Dependencies of the forecasts. */
export type WaveForecastsParts = {
	readonly board: ConfigBoard;
	readonly directory: Pick<ReplicaDirectory, 'takingWork'>;
	readonly loads: LoadBoard;
	readonly peers: Pick<PeerTable, 'live'>;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Time after the expected beginning of a wave by which it must have been seen, in milliseconds; and the share of its rise that calls must then occupy. Calls fill their slots over most of a second. */
const mustHaveComeMs = 800;
const minRiseShare = 0.3;

/** A repeat counts as a pattern once this many forecasts in a row have found it, to within one period: by chance, a series resembles its past for a moment. */
const minConfirmations = 10;

/** The slots that calls occupy in the wave and in the calm are these quantiles of the last repeat. */
const waveQuantile = 0.9;
const calmQuantile = 0.1;

/** A wave needs at least this many times the slots of the calm; less does not disturb items. */
const minRise = 1.5;

/** What is foreseen of one service, for one period. */
type Outlook = {
	/** When the newest of its counts was complete, in milliseconds on the monotonic clock. */
	readonly endedAt: number;
	readonly pattern: DemandPattern;
	/** With times on the monotonic clock, in milliseconds. */
	readonly edges: ReadonlyArray<Edge & {readonly at: number}>;
	readonly slots: number;
	readonly calmSlots: number;
	readonly waveSlots: number;
};

const quantile = (values: readonly number[], share: number): number => values.toSorted((a, b) => a - b)[Math.floor(share * (values.length - 1))] ?? 0;

/** See the module's head. */
export class WaveForecasts {
	readonly #parts: WaveForecastsParts;
	readonly #history: DemandHistory;
	readonly #outlooks = new Map<GatewayServiceName, Outlook | undefined>();
	/** The wave that is awaited at each service, as the time of its beginning. */
	readonly #awaited = new Map<GatewayServiceName, number>();
	/** The repeat that was found last at each service, and how often in a row. */
	readonly #confirmations = new Map<GatewayServiceName, {readonly lag: number; readonly count: number}>();
	#reviewedPeriod = -1;

	constructor(parts: WaveForecastsParts) {
		this.#parts = parts;
		this.#history = new DemandHistory(parts.clock);
		parts.loads.onOnlineCall(({record}) => {
			if (this.#outlooks.has(record.service)) {
				this.#history.noteCall(record.service);
			}
		});
	}

	/** The forecast of a service; `undefined` while no pattern is known. */
	of(service: GatewayServiceName): WaveForecast | undefined {
		const outlook = this.#outlooks.get(service);
		return outlook && forecastAt(outlook, this.#parts.clock.now());
	}

	/** Applies the counts of a peer. */
	receive({member, forecasts = []}: PeerState): void {
		this.#history.receive(member, forecasts);
	}

	/** The section of this process's state for its peers. */
	announcement(): PeerSections {
		const forecasts = this.#history.announcement([...this.#outlooks.keys()], this.#parts.peers.live.length);
		return forecasts ? {forecasts} : {};
	}

	/** Renews the forecasts, once in a period. To be called several times in each period. */
	review(): void {
		const period = Math.floor(this.#parts.clock.now() / periodMs);
		if (period === this.#reviewedPeriod) {
			return;
		}

		this.#reviewedPeriod = period;
		const watched = this.#watchedServices();
		[...this.#outlooks.keys()].filter(service => !watched.has(service)).forEach(service => {
			this.#outlooks.delete(service);
			this.#awaited.delete(service);
			this.#confirmations.delete(service);
		});
		watched.forEach(service => {
			this.#reviewService(service);
		});
	}

	#watchedServices(): ReadonlySet<GatewayServiceName> {
		const routes = this.#parts.board.config?.routes ?? [];
		return new Set(routes
			.filter(({kind, batch}) => kind === 'batch' && (batch?.dueMs ?? 0) > 0)
			.flatMap(route => servicesOf(route)));
	}

	#reviewService(service: GatewayServiceName) {
		const {peers, clock, metrics} = this.#parts;
		const now = clock.now();
		const replicas = this.#parts.directory.takingWork(service);
		const inFlight = onlineOf(replicas);
		const slots = slotsOf(replicas);
		this.#history.noteInFlight(service, inFlight);
		if (this.#hasFailedToCome(service, inFlight, now)) {
			metrics.count('gateway.wavesMissed', 1, {service});
			this.#awaited.delete(service);
			this.#history.forget(service);
			this.#outlooks.set(service, undefined);
			return;
		}

		const found = outlookOf(this.#history.series(service, peers.live.length), slots, now);
		const outlook = this.#isConfirmed(service, found) ? found : undefined;
		this.#outlooks.set(service, outlook);
		this.#await(service, outlook, now);
	}

	#isConfirmed(service: GatewayServiceName, found: Outlook | undefined): boolean {
		const before = this.#confirmations.get(service);
		const lag = found?.pattern.lag ?? 0;
		const count = before && found && Math.abs(before.lag - lag) <= 1 ? before.count + 1 : 0;
		this.#confirmations.set(service, {lag, count});
		return count >= minConfirmations;
	}

	/** Remembers the next wave until it has come, also if later forecasts would place it elsewhere. */
	#await(service: GatewayServiceName, outlook: Outlook | undefined, now: number) {
		const forecast = outlook && forecastAt(outlook, now);
		this.#parts.metrics.gauge('gateway.foreseenRiseMs', forecast?.msToRise ?? -1, {service});
		const awaited = this.#awaited.get(service);
		if (forecast && !forecast.isHigh && (awaited === undefined || now < awaited)) {
			this.#awaited.set(service, now + forecast.msToRise);
		}
	}

	#hasFailedToCome(service: GatewayServiceName, inFlight: number, now: number): boolean {
		const awaited = this.#awaited.get(service);
		const outlook = this.#outlooks.get(service);
		if (awaited === undefined || now < awaited + mustHaveComeMs) {
			return false;
		}

		this.#awaited.delete(service);
		return outlook !== undefined && inFlight < outlook.calmSlots + (minRiseShare * (outlook.waveSlots - outlook.calmSlots));
	}
}

const outlookOf = ({calls, inFlight, endedAt}: DemandSeries, slots: number, now: number): Outlook | undefined => {
	const pattern = findPattern(calls);
	if (!pattern) {
		return undefined;
	}

	const lastRepeat = inFlight.slice(-pattern.lag);
	const waveSlots = quantile(lastRepeat, waveQuantile);
	const calmSlots = quantile(lastRepeat, calmQuantile);
	const unsettled = Math.floor((now - endedAt) / periodMs);
	// One repeat back as well, so that the wave that is on has its beginning.
	const edges = foreseenEdges(calls, pattern, unsettled - pattern.lag).map(edge => ({...edge, at: endedAt + (edge.after * periodMs)}));
	return waveSlots >= minRise * calmSlots && waveSlots > 0
		? {
			endedAt, pattern, edges, slots, calmSlots, waveSlots,
		}
		: undefined;
};

/** @returns Nothing if the forecast is too old to tell the next rise and fall. */
const forecastAt = ({
	edges, pattern, endedAt, slots, calmSlots, waveSlots,
}: Outlook, now: number): WaveForecast | undefined => {
	const nextRise = edges.find(({kind, at}) => kind === 'rise' && at > now);
	const nextFall = edges.find(({kind, at}) => kind === 'fall' && at > now);
	if (!nextRise || !nextFall) {
		return undefined;
	}

	const isHigh = nextFall.at < nextRise.at;
	const fallAfterRise = isHigh ? nextFall.at + (pattern.lag * periodMs) : nextFall.at;
	const waveMs = fallAfterRise - nextRise.at;
	const lastRise = edges.findLast(({kind, at}) => kind === 'rise' && at <= now);
	return {
		sureness: pattern.sureness,
		msToRise: nextRise.at - now,
		msToFall: nextFall.at - now,
		isHigh,
		msSinceRise: isHigh && lastRise ? now - lastRise.at : undefined,
		calmMs: Math.max(periodMs, (pattern.lag * periodMs) - waveMs),
		waveMs,
		slots,
		calmSlots,
		waveSlots,
		ageMs: now - endedAt,
	};
};
