/**
Finds slots for waiting items: which replicas serve their route, how many slots items leave free for online calls, and how many of the free slots this process takes in one review.
*/
import type {Clock, RandomSource} from '../../common/services.js';
import type {PeerTable} from '../peers/peer-table.js';
import {chooseForBatch} from '../placement/replica-choice.js';
import type {RelativePaces} from '../placement/relative-paces.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {ReplicaConnectionPools} from '../replica-connection-pools.js';
import type {Replica} from '../replica.js';
import {servicesOf} from '../route-table.js';
import {ofVersion} from '../streams/stream-binding.js';
import type {
	ClientAccountName, GatewayRoute, ReplicaId, SoftwareVersion,
} from '../types.js';
import {
	slotAllowance, reservedSlots, slackMs, type RunEstimate, type WaitingCounts, type WaitingItem,
} from './batch-policy.js';
import type {WaveForecasts} from './wave-forecasts.js';
import {slotsAhead, type Occupancy} from './wave-plan.js';

/** A slot at a replica, with the connection to use. */
export type FoundSlot = {
	readonly replica: Replica;
	readonly connection: ReplicaConnection;
};

/** An item that needs a slot, with the criteria for the replica. */
export type SlotRequest = WaitingItem & {
	readonly route: GatewayRoute;
	/** The account that owns the item, if there are accounts. */
	readonly account?: ClientAccountName;
	/** Replicas that have failed the item. It is tried elsewhere; otherwise one faulty replica would use up all the runs that its route allows, and the item would be given up for good. */
	readonly failedReplicas: ReadonlySet<ReplicaId>;
	/** The version of the replicas that may continue its text; `undefined` if it has none. */
	readonly softwareVersion: SoftwareVersion | undefined;
	/** Whether its last run got no usable answer: other connections that are kept alive may be as unresponsive. */
	readonly needsNewConnection: boolean;
};

/** Dependencies of the finder. */
export type SlotFinderParts = {
	readonly directory: ReplicaDirectory;
	readonly connectionPools: ReplicaConnectionPools;
	readonly peers: PeerTable;
	readonly waves: Pick<WaveForecasts, 'of'>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly failureDomain: string;
	readonly paces: RelativePaces;
};

const noneTried: ReadonlySet<never> = new Set();

/** See the module's head. */
export class SlotFinder {
	readonly #parts: SlotFinderParts;

	constructor(parts: SlotFinderParts) {
		this.#parts = parts;
	}

	/** The number of processes that look for slots, this one included. */
	get processCount(): number {
		return 1 + this.#parts.peers.live.filter(({jobs}) => jobs.size > 0).length;
	}

	/**
	The number of slots that this process may take now for items of one route.

	@param first - The most urgent item; it decides how many slots stay free.
	@param own - How many items of the route wait at this process.
	*/
	slotAllowance(first: SlotRequest, own: WaitingCounts, estimate: RunEstimate): number {
		const reserve = this.#reserveFor(first, estimate);
		const free = this.#replicasOf(first.route)
			.map(({total, record}) => Math.max(0, record.slots - reserve - total))
			.reduce((sum, slots) => sum + slots, 0);
		return slotAllowance(free, {own, all: this.#totalWaiting(first.route, own)}, this.#parts.random.next());
	}

	/**
	How the slots of a route's replicas are used; `itemSlots` is the number that items occupy or may occupy.

	@param own - How many items of the route wait at this process.
	*/
	occupancy(route: GatewayRoute, own: WaitingCounts): Occupancy & {readonly itemSlots: number} {
		const replicas = this.#replicasOf(route);
		const {timely, late} = this.#totalWaiting(route, own);
		return {
			items: replicas.reduce((sum, {allBatch}) => sum + allBatch, 0),
			waiting: timely + late,
			itemSlots: replicas.reduce((sum, {record, allOnline}) => sum + Math.max(0, record.slots - allOnline), 0),
		};
	}

	/** @returns Nothing if no replica has a slot to spare, or no connection is left to the one that has. */
	findSlot(item: SlotRequest, estimate: RunEstimate): FoundSlot | undefined {
		const {clock, random, failureDomain, connectionPools, paces} = this.#parts;
		const all = this.#replicasOf(item.route);
		const replicas = ofVersion(all, item.softwareVersion);
		const areTried = (some: readonly Replica[]) => some.every(({record}) => item.failedReplicas.has(record.id));
		if (areTried(replicas) && !areTried(all)) {
			return undefined;
		}

		const tried = areTried(replicas) ? noneTried : item.failedReplicas;
		const beforeWave = replicas.filter(one => this.#hasSlotAhead(one));
		const replica = chooseForBatch(beforeWave, this.#reserveFor(item, estimate), {
			now: clock.now(), random, failureDomain, tried, processCount: this.processCount, canFailOver: true, paces,
		});
		const connection = replica && connectionPools.acquire(replica, item.needsNewConnection);
		return replica && connection && {replica, connection};
	}

	#totalWaiting({name}: GatewayRoute, own: WaitingCounts): WaitingCounts {
		return this.#parts.peers.live
			.flatMap(({state}) => state.waiting?.filter(({route}) => route === name) ?? [])
			.reduce((sum, {timely, late}) => ({timely: sum.timely + timely, late: sum.late + late}), own);
	}

	#reserveFor(item: SlotRequest, estimate: RunEstimate): number {
		return reservedSlots(slackMs(item, estimate, this.#parts.clock.wall()));
	}

	/** Whether the first calls of a foreseen wave find their slots there although an item begins. */
	#hasSlotAhead(replica: Replica): boolean {
		const ahead = slotsAhead(replica, this.#parts.waves.of(replica.record.service));
		return ahead === 0 || replica.total + ahead < replica.record.slots;
	}

	#replicasOf(route: GatewayRoute): readonly Replica[] {
		return servicesOf(route).flatMap(service => this.#parts.directory.takingWork(service));
	}
}
