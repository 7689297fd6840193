/**
When the requests of an open loop are to start. They do not wait for answers: callers at a pit gate do not come later because the one before them waits.
*/
import type {RandomSource} from '../common/services.js';

const msPerSecond = 1000;

/**
The moments of a Poisson process, in milliseconds from the start, in order.

@param perSecond - The mean rate; 0 gives none.
*/
export const poissonArrivals = (perSecond: number, seconds: number, random: RandomSource): number[] => {
	const moments: number[] = [];
	const endMs = seconds * msPerSecond;
	const nextGap = () => -Math.log(1 - random.next()) * msPerSecond / perSecond;
	for (let at = perSecond > 0 ? nextGap() : endMs; at < endMs; at += nextGap()) {
		moments.push(at);
	}

	return moments;
};
