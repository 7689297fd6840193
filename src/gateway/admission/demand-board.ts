/**
Demand of each owner at each service, over all processes: part of the blackboard. This process's own calls count at once; those of peers as they have announced them, until they announce the next or fall silent. A process that has just started knows its own calls alone.
*/
import {RateMeter} from '../accounts/rate-meter.js';
import type {GatewayServiceName, MemberName} from '../types.js';
import type {SharedDemand} from './shared-demand.js';

/** Demand of one owner over all processes. */
export type OwnerDemand = {
	readonly owner: string;
	readonly rank: number;
	/** Calls in flight at replicas, as peers have announced them. */
	readonly running: number;
	/** Calls a second that arrived. */
	readonly perSecond: number;
};

type OwnDemand = {
	readonly service: GatewayServiceName;
	readonly owner: string;
	readonly rank: number;
	running: number;
	readonly arrivals: RateMeter;
};

type PeerDemand = {readonly demand: readonly SharedDemand[]; readonly at: number};

/** A peer's demand counts for this long after it was announced, in milliseconds: five announcements in a row are lost then, or the peer has ended. */
const keptMs = 1250;

/** Owners with fewer calls a second and none in flight are forgotten and not announced; they had no call for some seconds. */
const negligiblePerSecond = 0.05;

/** Most owners that one process announces, the largest first; they keep a message below the size of a datagram. */
const maxAnnounced = 64;

/** Differences below this affect no decision, and longer numbers make longer messages. */
const roundedTo = 10;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class DemandBoard {
	readonly #own = new Map<string, OwnDemand>();
	readonly #peers = new Map<MemberName, PeerDemand>();

	/** Counts an arrival. */
	noteArrival(service: GatewayServiceName, owner: string, rank: number, now: number): void {
		this.#ownOf(service, owner, rank).arrivals.note(1, now);
	}

	/** Changes the number of calls that this process has in flight. */
	noteRunning(service: GatewayServiceName, owner: string, rank: number, change: 1 | -1): void {
		this.#ownOf(service, owner, rank).running += change;
	}

	/** @returns Calls that this process has in flight. */
	ownRunning(service: GatewayServiceName, owner: string, rank: number): number {
		return this.#own.get(keyOf(service, owner, rank))?.running ?? 0;
	}

	/** @returns Calls a second that arrive at this process, at all services. */
	ownPerSecond(now: number): number {
		return [...this.#own.values()].reduce((sum, {arrivals}) => sum + arrivals.perSecond(now), 0);
	}

	/** Replaces what a peer has announced. */
	receive(peer: MemberName, demand: readonly SharedDemand[], now: number): void {
		this.#peers.set(peer, {demand, at: now});
	}

	/** @returns Age of the oldest announcement that counts, in milliseconds; `undefined` without any. */
	ageMs(now: number): number | undefined {
		const ages = this.#livePeers(now).map(({at}) => now - at);
		return ages.length === 0 ? undefined : Math.max(...ages);
	}

	/** @returns This process's own demand to announce. */
	announcement(now: number): readonly SharedDemand[] {
		this.#forgetIdle(now);
		return [...this.#own.values()]
			.map(({service, owner, rank, running, arrivals}) => ({
				service, owner, ...(rank !== 0 && {rank}), running, perSecond: Math.ceil(arrivals.perSecond(now) * roundedTo) / roundedTo,
			}))
			.toSorted((a, b) => (b.running - a.running) || (b.perSecond - a.perSecond))
			.slice(0, maxAnnounced);
	}

	/** @returns The demand at a service of each owner and rank, by {@link demandKey}; `running` without the calls of this process. */
	totals(service: GatewayServiceName, now: number): ReadonlyMap<string, OwnerDemand> {
		const totals = new Map<string, OwnerDemand>();
		const add = ({owner, rank = 0, running, perSecond}: Omit<SharedDemand, 'service'>) => {
			const key = demandKey(owner, rank);
			const before = totals.get(key);
			totals.set(key, {
				owner, rank, running: running + (before?.running ?? 0), perSecond: perSecond + (before?.perSecond ?? 0),
			});
		};

		[...this.#own.values()].filter(own => own.service === service).forEach(({owner, rank, arrivals}) => {
			add({
				owner, rank, running: 0, perSecond: arrivals.perSecond(now),
			});
		});
		this.#livePeers(now).flatMap(({demand}) => demand).filter(entry => entry.service === service).forEach(entry => {
			add(entry);
		});
		return totals;
	}

	#livePeers(now: number): readonly PeerDemand[] {
		[...this.#peers].filter(([, {at}]) => now - at > keptMs).forEach(([peer]) => {
			this.#peers.delete(peer);
		});
		return [...this.#peers.values()];
	}

	#ownOf(service: GatewayServiceName, owner: string, rank: number): OwnDemand {
		const key = keyOf(service, owner, rank);
		const own = this.#own.get(key) ?? {
			service, owner, rank, running: 0, arrivals: new RateMeter(),
		};
		this.#own.set(key, own);
		return own;
	}

	#forgetIdle(now: number) {
		[...this.#own].filter(([, {running, arrivals}]) => running === 0 && arrivals.perSecond(now) < negligiblePerSecond).forEach(([key]) => {
			this.#own.delete(key);
		});
	}
}

/** Identifies an owner and rank within a service. */
export const demandKey = (owner: string, rank: number): string => `${rank} ${owner}`;

const keyOf = (service: GatewayServiceName, owner: string, rank: number): string => `${service} ${demandKey(owner, rank)}`;
