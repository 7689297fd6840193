/**
A cost against a size, and the straight line through the measured points.
*/

import process from 'node:process';

/** One measured point. */
export type Point = {readonly size: number; readonly cost: number};

/** A straight line by least squares. */
export type Line = {
	/** Cost of one more. */
	readonly slope: number;
	/** Standard error of the slope; 0 with fewer than three points. */
	readonly slopeError: number;
	/** Cost at size 0, which a line drawn through large sizes may put below 0. */
	readonly base: number;
};

/** A cost that is measured at several sizes. */
export type SlopeCase = {
	readonly name: string;
	/** Unit of the cost, for instance `µs`. */
	readonly unit: string;
	/** What the size counts, in the singular. */
	readonly per: string;
	/** Four sizes or more. */
	readonly sizes: readonly number[];
	/** Measures one size. */
	cost(size: number): number | Promise<number>;
	/** Releases what the measuring holds. */
	dispose?(): Promise<void>;
};

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

/** Fits a line. */
export const fitLine = (points: readonly Point[]): Line => {
	const count = points.length;
	const meanSize = sum(points.map(({size}) => size)) / count;
	const meanCost = sum(points.map(({cost}) => cost)) / count;
	const spread = sum(points.map(({size}) => (size - meanSize) ** 2));
	const slope = sum(points.map(({size, cost}) => (size - meanSize) * (cost - meanCost))) / spread;
	const base = meanCost - (slope * meanSize);
	const left = sum(points.map(({size, cost}) => (cost - base - (slope * size)) ** 2));
	return {slope, base, slopeError: count > 2 ? Math.sqrt(left / (count - 2) / spread) : 0};
};

const warmUps = 5;
const budgetMicros = 60_000;
const microsPerMs = 1000;

const cpuNow = () => {
	const {user, system} = process.cpuUsage();
	return user + system;
};

/** Microseconds of processor time that one call takes in this process, its share of garbage collection included. */
export const microsPerCall = (call: () => unknown): number => {
	Array.from({length: warmUps}, call);
	const startedAt = cpuNow();
	const until = performance.now() + (budgetMicros / microsPerMs);
	let calls = 0;
	while (performance.now() < until) {
		call();
		calls += 1;
	}

	return (cpuNow() - startedAt) / calls;
};

/** Heap bytes that what `make` returns keeps. Wants `--expose-gc`; not a number without it. */
export const heapBytes = (make: () => unknown): number => {
	const collect = (globalThis as {gc?: () => void}).gc;
	if (!collect) {
		return Number.NaN;
	}

	collect();
	const before = process.memoryUsage().heapUsed;
	const made = make();
	collect();
	const after = process.memoryUsage().heapUsed;
	// Keeps what was made alive until here.
	return made === undefined ? Number.NaN : after - before;
};
