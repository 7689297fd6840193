/**
The online calls that the processes of the gateway have sent to each service in the recent past, and the slots that they occupied: the part of the blackboard from which waves of calls are foreseen. It counts this process's calls in short periods, adds what peers announce, and forgets what is older than {@link historyPeriods}.

What a peer announces is placed by the time of its arrival, so that clocks of two VMs need not agree. Counts are never taken back: calls of a peer that has ended have been made all the same. Without any announcement the own calls remain, which show the same waves, less sharply.
*/
import type {Clock} from '../../common/services.js';
import type {GatewayServiceName, MemberName} from '../types.js';
import type {SharedForecast} from './shared-forecast.js';

/** Length of a period, in milliseconds. All processes use the same; it is the precision with which a wave is foreseen. */
export const periodMs = 200;

/** Number of periods that are kept: three repeats of a wave of eight seconds. */
export const historyPeriods = 120;

/** Interval at which counts are announced, in milliseconds: for each peer, and at least and at most. Nothing in them is urgent, since waves are foreseen from what was seen a whole repeat earlier. */
const announceMsPerPeer = 20;
const minAnnounceMs = 800;
const maxAnnounceMs = 4000;

/** Periods that are announced twice, so that the loss of a message loses little. */
const repeatedPeriods = 4;

/** The most periods that are accepted in one announcement. */
const maxAnnouncedPeriods = historyPeriods;

/** The highest rate that is accepted from a peer, in calls a second: more than a process can forward. */
const maxPerSecond = 100_000;

/** What is known of one service. */
type ServiceHistory = {
	/** Calls of all processes, by period modulo {@link historyPeriods}. */
	readonly calls: number[];
	/** Calls of this process alone. */
	readonly own: number[];
	/** Calls in flight of all processes at the end of the period. */
	readonly inFlight: number[];
	/** The period up to which the rings are filled. */
	newest: number;
	/** The first period that was counted. */
	first: number;
	/** What each peer has announced last, with the period of its newest count. */
	readonly announced: Map<MemberName, {readonly counts: readonly number[]; readonly newest: number}>;
};

/** @param peers - Number of live peers. @returns Milliseconds between two announcements of counts. */
export const forecastIntervalMs = (peers: number): number => Math.min(maxAnnounceMs, Math.max(minAnnounceMs, announceMsPerPeer * peers));

/** A series of periods that have ended. */
export type DemandSeries = {
	/** Calls in each period, the newest last. */
	readonly calls: readonly number[];
	/** Calls in flight at the end of each. */
	readonly inFlight: readonly number[];
	/** When the last of the periods ended, in milliseconds on the monotonic clock. */
	readonly endedAt: number;
};

const emptyRing = (): number[] => Array.from({length: historyPeriods}, () => 0);
const slotOf = (period: number): number => ((period % historyPeriods) + historyPeriods) % historyPeriods;

/** See the module's head. */
export class DemandHistory {
	readonly #clock: Clock;
	readonly #services = new Map<GatewayServiceName, ServiceHistory>();
	#announcedAt = -Infinity;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Counts a call that this process sends. */
	noteCall(service: GatewayServiceName): void {
		const history = this.#current(service);
		const slot = slotOf(this.#period);
		history.calls[slot]! += 1;
		history.own[slot]! += 1;
	}

	/** Records the calls of all processes that are in flight at a service. To be called at least once in each period. */
	noteInFlight(service: GatewayServiceName, count: number): void {
		this.#current(service).inFlight[slotOf(this.#period)] = count;
	}

	/** Forgets the past of a service: what was seen of it is no longer what will come. */
	forget(service: GatewayServiceName): void {
		const history = this.#current(service);
		history.first = this.#period + 1;
	}

	/** Adds the counts of a peer. */
	receive(member: MemberName, forecasts: readonly SharedForecast[]): void {
		forecasts.forEach(({service, perSecond}) => {
			const history = this.#services.get(service);
			// A service without items here is not foreseen, whatever a peer says of it.
			if (history && perSecond.length <= maxAnnouncedPeriods && perSecond.every(rate => rate <= maxPerSecond)) {
				this.#place(this.#current(service), member, perSecond.map(rate => rate * periodMs / 1000));
			}
		});
	}

	/**
	The own counts of each service for the peers.

	@param peers - Number of live peers.
	@returns Nothing while the last announcement is recent.
	*/
	announcement(services: readonly GatewayServiceName[], peers: number): readonly SharedForecast[] | undefined {
		const now = this.#clock.now();
		const intervalMs = forecastIntervalMs(peers);
		if (services.length === 0 || now - this.#announcedAt < intervalMs) {
			return undefined;
		}

		this.#announcedAt = now;
		const length = Math.ceil(intervalMs / periodMs) + repeatedPeriods;
		return services.map(service => {
			const {own} = this.#current(service);
			return {service, perSecond: Array.from({length}, (_, i) => Math.round(own[slotOf(this.#period - length + i)]! * 1000 / periodMs))};
		});
	}

	/**
	What has been seen of a service, up to the period for which all peers have announced theirs.

	@param peers - Number of live peers.
	*/
	series(service: GatewayServiceName, peers: number): DemandSeries {
		const {calls, inFlight, first} = this.#current(service);
		const unsettled = peers === 0 ? 0 : Math.ceil(forecastIntervalMs(peers) / periodMs) + 1;
		const newest = this.#period - 1 - unsettled;
		const oldest = Math.max(first, this.#period - historyPeriods + 1);
		const periods = Array.from({length: Math.max(0, newest - oldest + 1)}, (_, i) => slotOf(oldest + i));
		return {calls: periods.map(slot => calls[slot]!), inFlight: periods.map(slot => inFlight[slot]!), endedAt: (newest + 1) * periodMs};
	}

	get #period(): number {
		return Math.floor(this.#clock.now() / periodMs);
	}

	/** The history of a service, with the periods since its last use emptied. */
	#current(service: GatewayServiceName): ServiceHistory {
		const period = this.#period;
		const history: ServiceHistory = this.#services.get(service) ?? {
			calls: emptyRing(), own: emptyRing(), inFlight: emptyRing(), newest: period, first: period + 1, announced: new Map(),
		};
		this.#services.set(service, history);
		const passed = Math.min(historyPeriods, period - history.newest);
		const lastInFlight = history.inFlight[slotOf(history.newest)]!;
		Array.from({length: Math.max(0, passed)}, (_, i) => slotOf(period - i)).forEach(slot => {
			history.calls[slot] = 0;
			history.own[slot] = 0;
			history.inFlight[slot] = lastInFlight;
		});
		history.newest = period;
		if (passed > 0) {
			const outdated = [...history.announced.keys()].filter(member => history.announced.get(member)!.newest <= period - historyPeriods);
			outdated.forEach(member => {
				history.announced.delete(member);
			});
		}

		return history;
	}

	/** Adds only what the peer's last announcement did not contain. */
	#place(history: ServiceHistory, member: MemberName, counts: readonly number[]) {
		const newest = this.#period - 1;
		const before = history.announced.get(member);
		counts.forEach((count, i) => {
			const period = newest - counts.length + 1 + i;
			const known = before?.counts[before.counts.length - 1 - (before.newest - period)] ?? 0;
			if (period > this.#period - historyPeriods) {
				history.calls[slotOf(period)]! += count - known;
			}
		});
		history.announced.set(member, {counts, newest});
	}
}
