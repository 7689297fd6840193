/**
The wait for a slot that a call is to expect. It goes to the best of a random sample of replicas, so the shortest wait of all is not its own: a free slot at one of many replicas is missed by most calls. Called for each decision on a call.
*/

/** Of more replicas, every so-manieth is looked at; with so many, a few do not change the estimate. */
const maxCounted = 64;

/** @returns Expected minimum of a random sample of the waits, in milliseconds; 0 for no waits. */
export const expectedMinimum = (waits: readonly number[], sampleSize: number): number => {
	const count = waits.length;
	const exponent = sampleSize >= count ? Infinity : sampleSize;
	const chanceOfAll = (share: number) => share === 1 ? 1 : share ** exponent;
	// The minimum is at least the i-th shortest wait if no shorter one is in the sample.
	return waits.toSorted((a, b) => a - b).reduce((sum, wait, i) => sum + (wait * (chanceOfAll((count - i) / count) - chanceOfAll((count - i - 1) / count))), 0);
};

/**
@param waitOf - Milliseconds until a call gets a slot at the replica.
@param sampleSize - Number of replicas among which the call's is chosen.
*/
export const expectedWaitMs = <T>(replicas: readonly T[], waitOf: (replica: T) => number, sampleSize: number): number => {
	const stride = Math.ceil(replicas.length / maxCounted);
	const counted = stride <= 1 ? replicas : replicas.filter((_, i) => i % stride === 0);
	return expectedMinimum(counted.map(replica => waitOf(replica)), sampleSize >= replicas.length ? counted.length : sampleSize);
};
