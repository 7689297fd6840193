/**
Max-min fair division of scarce slots by weight: what an owner leaves over of its share goes to the others. More urgent ranks are served first; each less urgent one keeps a small part, so that none starves. Called for each service while calls wait.
*/

/** An owner's demand, in slots. */
export type Claim = {
	/** 0 is the most urgent. */
	readonly rank: number;
	readonly demand: number;
	/** Positive; relative to the others. */
	readonly weight: number;
};

/** The part of the slots that remains for all less urgent ranks while a more urgent one could use every slot. */
const keptForLowerRanks = 0.05;

/**
The water level: an owner may have the level times its weight.

@returns `Infinity` if there is enough for all.
*/
export const waterLevel = (slots: number, claims: ReadonlyArray<Omit<Claim, 'rank'>>): number => {
	const byNeed = claims.toSorted((a, b) => (a.demand / a.weight) - (b.demand / b.weight));
	let left = Math.max(0, slots);
	let weightLeft = byNeed.reduce((sum, {weight}) => sum + weight, 0);
	const firstUnsatisfied = byNeed.find(({demand, weight}) => {
		if (demand * weightLeft > left * weight) {
			return true;
		}

		left -= demand;
		weightLeft -= weight;
		return false;
	});
	return firstUnsatisfied ? left / weightLeft : Infinity;
};

const demandOf = (claims: readonly Claim[]): number => claims.reduce((sum, {demand}) => sum + demand, 0);

/** @returns The water level of each rank that claims slots. */
export const levelsByRank = (slots: number, claims: readonly Claim[]): ReadonlyMap<number, number> => {
	const ranks = [...new Set(claims.map(({rank}) => rank))].toSorted((a, b) => a - b);
	let left = slots;
	return new Map(ranks.map((rank, i) => {
		const own = claims.filter(claim => claim.rank === rank);
		const kept = Math.min(demandOf(claims.filter(claim => claim.rank > rank)), left * keptForLowerRanks);
		const level = i === 0 && own.length === 1 ? Infinity : waterLevel(left - kept, own);
		left = Math.max(kept, left - demandOf(own));
		return [rank, level];
	}));
};
