/**
Finds the repeat in a series of counts: the pure part of the forecast of online demand, called by `WaveForecasts` once in each period.

The series is compared with itself, shifted (autocorrelation). A repeat is claimed only if the series contains it twice, and if it explains nearly all that chance does not: counts of independent calls scatter by the square root of their number, so a share of the variance can't repeat. Irregular load gives no pattern.
*/

/** What was found in a series. */
export type DemandPattern = {
	/** Number of counts after which the series repeats. */
	readonly lag: number;
	/** The correlation with the previous repeat as a share of the highest that chance allows, at most 1. */
	readonly sureness: number;
};

/** An edge of a wave that is expected. */
export type Edge = {
	readonly kind: 'rise' | 'fall';
	/** Number of counts from the end of the series to the edge; negative if it is in the past. */
	readonly after: number;
};

/** The shortest repeat that is looked for, in counts: shorter waves are over before an item could wait for them. */
const minLag = 10;

/** The series must contain the repeat this many times. */
const minRepeats = 2;

/** Less than this share of what can repeat is no pattern. Loads that switch between two levels at random reach it rarely (batch-waves.feature). */
const minSureness = 0.88;

/** The variance must be this many times what chance causes: otherwise the load is steady. */
const minVarianceRatio = 2;

/** A shorter repeat is preferred to its multiples if it is nearly as clear. */
const preferredShare = 0.9;

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** The correlation of a series with itself, shifted by `lag`. @param deviations - Differences of its values from their mean. */
const correlation = (deviations: readonly number[], lag: number): number => {
	const length = deviations.length - lag;
	const products = deviations.reduce((sum, value, i) => i < length ? sum + (value * deviations[i + lag]!) : sum, 0);
	const earlier = deviations.reduce((sum, value, i) => i < length ? sum + (value * value) : sum, 0);
	const later = deviations.reduce((sum, value, i) => i < lag ? sum : sum + (value * value), 0);
	return earlier === 0 || later === 0 ? 0 : products / Math.sqrt(earlier * later);
};

/** @returns Nothing if the series does not repeat, or not yet often enough. */
export const findPattern = (series: readonly number[]): DemandPattern | undefined => {
	const mean = meanOf(series);
	const deviations = series.map(count => count - mean);
	const variance = meanOf(deviations.map(deviation => deviation ** 2));
	const maxLag = Math.floor(series.length / minRepeats);
	if (maxLag < minLag || variance < minVarianceRatio * mean || mean === 0) {
		return undefined;
	}

	const correlations = Array.from({length: maxLag - minLag + 3}, (_, i) => correlation(deviations, minLag - 1 + i));
	const peaks = correlations
		.map((value, i) => ({value, lag: minLag - 1 + i, isPeak: value >= (correlations[i - 1] ?? Infinity) && value >= (correlations[i + 1] ?? Infinity)}))
		.filter(({isPeak}) => isPeak);
	const best = Math.max(0, ...peaks.map(({value}) => value));
	const found = peaks.find(({value}) => value >= preferredShare * best);
	const sureness = found ? Math.min(1, found.value / (1 - (mean / variance))) : 0;
	return found && sureness >= minSureness ? {lag: found.lag, sureness} : undefined;
};

/** The mean of the last two repeats at a place of the series or after its end. */
const foreseen = (series: readonly number[], lag: number, place: number): number => {
	const shift = Math.max(1, Math.ceil((place - series.length + 1) / lag));
	const last = place - (shift * lag);
	return meanOf([series[last], series[last - lag]].filter(value => value !== undefined));
};

/**
The rises and falls that the pattern foresees, in order of time.

@param from - Number of counts after the end of the series at which to begin.
@returns Those of three repeats: the last one, the current one and the next.
*/
export const foreseenEdges = (series: readonly number[], {lag}: DemandPattern, from: number): readonly Edge[] => {
	const middle = meanOf(series.slice(-lag));
	const isHigh = (place: number) => foreseen(series, lag, series.length + place) > middle;
	// Single counts scatter: the level has changed if two counts in a row say so.
	const levels = Array.from({length: (3 * lag) + 2}, (_, i) => isHigh(from - 1 + i));
	let level = levels[0]!;
	return levels.flatMap((high, i) => {
		if (i === 0 || high === level || levels[i + 1] !== high) {
			return [];
		}

		level = high;
		return [{kind: high ? 'rise' : 'fall', after: from - 1 + i}];
	});
};
