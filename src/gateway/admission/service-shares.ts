/**
How the slots of one service are divided at the moment: how many requests in flight can still be on time, who asks for how many, and what each owner may have. Derived from the demand board while calls find no free slot.
*/
import {levelsByRank, type Claim} from './fair-shares.js';
import {demandKey, type OwnerDemand} from './demand-board.js';

/** What the shares follow from. */
export type ShareInputs = {
	/** Slots of all replicas that take work. */
	readonly slots: number;
	/** Mean time for which a call occupies a slot, in milliseconds. */
	readonly runMs: number;
	/** Wait for a slot, in milliseconds, that shares allow for. */
	readonly queuedMs: number;
	/** By {@link demandKey}. */
	readonly totals: ReadonlyMap<string, OwnerDemand>;
	/** An owner's declared calls a second; `undefined` without a declaration. */
	readonly weightOf: (owner: string) => number | undefined;
};

/** Calls arrive faster than this share of what the replicas finish: room is scarce, or will be with the next random accumulation. */
const scarceLoad = 0.9;

/** See the module's head. */
export class ServiceShares {
	/** Calls a second that the replicas finish if all slots are in use. */
	readonly finishedPerSecond: number;
	/** Calls a second that arrive, over all processes. */
	readonly arrivingPerSecond: number;
	readonly #inFlightS: number;
	readonly #levels: ReadonlyMap<number, number>;
	readonly #totals: ReadonlyMap<string, OwnerDemand>;
	readonly #weights: ReadonlyMap<string, number>;

	constructor({slots, runMs, queuedMs, totals, weightOf}: ShareInputs) {
		const owners = [...totals];
		const declared = owners.map(([, {owner}]) => weightOf(owner)).filter(weight => weight !== undefined);
		const usual = declared.length === 0 ? 1 : declared.reduce((sum, weight) => sum + weight, 0) / declared.length;
		const inFlightMs = runMs + queuedMs;
		this.#inFlightS = inFlightMs / 1000;
		this.#totals = totals;
		this.#weights = new Map(owners.map(([key, {owner}]) => [key, weightOf(owner) ?? usual]));
		this.finishedPerSecond = slots * 1000 / runMs;
		this.arrivingPerSecond = owners.reduce((sum, [, {perSecond}]) => sum + perSecond, 0);
		const claims = owners.map(([key, {rank, perSecond}]): Claim => ({rank, demand: perSecond * inFlightMs / 1000, weight: this.#weights.get(key)!}));
		this.#levels = levelsByRank(slots * inFlightMs / runMs, claims);
	}

	/** Whether as many calls arrive as finish. */
	get isDemandHigh(): boolean {
		return this.arrivingPerSecond > this.finishedPerSecond * scarceLoad;
	}

	/** Calls that the owner may have in flight over all processes; at least one. `Infinity` if there is enough for all. */
	shareOf(owner: string, rank: number): number {
		return Math.max(1, (this.#levels.get(rank) ?? Infinity) * (this.#weights.get(demandKey(owner, rank)) ?? 1));
	}

	/** Whether the owner asks for more than its share. */
	isPressing(owner: string, rank: number): boolean {
		return (this.#totals.get(demandKey(owner, rank))?.perSecond ?? 0) * this.#inFlightS > this.shareOf(owner, rank);
	}

	/** Calls of the owner that the peers have in flight. */
	peersRunning(owner: string, rank: number): number {
		return this.#totals.get(demandKey(owner, rank))?.running ?? 0;
	}
}
