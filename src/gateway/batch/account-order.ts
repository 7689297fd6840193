/**
The order of waiting items between client accounts: after urgency, the items of an account that runs more than its share come after those of accounts below theirs. Pure; called in each review.

The pattern: one account submits thousands of items at once and another ten, a moment later. By due time alone the ten wait behind the thousands until these are late. An account below its share is served by due time as ever; with one account, or none declared, the order is that of urgency alone.
*/

/** An item with its owner. */
export type OwnedItem = {
	/** Missing if there are no accounts. */
	readonly account?: string;
};

/** No account counts as above its share with fewer running items than this: a job's worth of items holds nobody up. */
const minShare = 10;

/**
@param items - Waiting items, the most urgent first.
@param running - Numbers of running items, by account.
@param slots - Slots that items may use, occupied or free.
@param isLate - Whether an item can no longer be on time; late items come last in any case.
*/
export const fairBetweenAccounts = <T extends OwnedItem>(items: readonly T[], running: ReadonlyMap<string | undefined, number>, slots: number, isLate: (item: T) => boolean): readonly T[] => {
	const accounts = new Set([...items.map(({account}) => account), ...running.keys()]);
	if (accounts.size < 2) {
		return items;
	}

	const share = Math.max(minShare, slots / accounts.size);
	const taken = new Map(running);
	const ranked = items.map(item => {
		const count = taken.get(item.account) ?? 0;
		taken.set(item.account, count + 1);
		return {item, rank: (isLate(item) ? 2 : 0) + (count >= share ? 1 : 0)};
	});
	return ranked.toSorted((a, b) => a.rank - b.rank).map(({item}) => item);
};
