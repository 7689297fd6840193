/**
Makes figures out of the values of several runs.
*/
import type {Bound, Figure} from './types.js';

/** The middle value; the mean of the two middle ones when their number is even. Not a number when there is none. */
export const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

const keeps = (value: number, bound: Bound): boolean => 'atMost' in bound ? value <= bound.atMost : value >= bound.atLeast;

/**
Makes a figure. One without a finite median was not measured, and breaks its bound.

@param values - One value a run.
*/
export const figure = (name: string, unit: string, values: readonly number[], bound?: Bound): Figure => {
	const middle = median(values);
	return {
		name,
		unit,
		median: middle,
		spread: values.length > 0 ? Math.max(...values) - Math.min(...values) : 0,
		runs: values.length,
		bound,
		holds: bound === undefined || keeps(middle, bound),
	};
};
