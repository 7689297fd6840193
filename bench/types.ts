/**
What a benchmark is: a module `bench/NAME.benchmark.ts` that exports `benchmark`. `npm run bench -- NAME` finds it by its file name.
*/

/** How a benchmark is to run. */
export type BenchmarkOptions = {
	/** How long one run may take, in seconds; a benchmark that counts instead of timing ignores it. */
	readonly seconds?: number;
	/** Runs from which the median is taken. */
	readonly runs?: number;
	/** Seed of everything drawn by chance. */
	readonly seed: number;
	/** Tells a person how far the benchmark is; never part of the report. */
	readonly progress: (line: string) => void;
};

/** What a figure must be. */
export type Bound = {readonly atMost: number} | {readonly atLeast: number};

/** One measured figure. */
export type Figure = {
	readonly name: string;
	/** For instance `ms`, `MB`, `calls per 1000 items`. */
	readonly unit: string;
	/** The median of the runs. */
	readonly median: number;
	/** The largest value of the runs less the smallest. */
	readonly spread: number;
	/** Runs that the median is taken from. */
	readonly runs: number;
	readonly bound?: Bound;
	/** True when there is no bound or the median keeps it. */
	readonly holds: boolean;
};

/** What a benchmark found. */
export type BenchmarkReport = {
	readonly figures: readonly Figure[];
	/** What a reader needs beside the figures: sizes, what was not run, what a figure stands for. */
	readonly notes: readonly string[];
};

/** A benchmark. */
export type Benchmark = {
	readonly name: string;
	/** One sentence: what is measured and against what. */
	readonly describe: string;
	/** Measures. Rejects when it could not measure; a broken bound is a figure that does not hold. */
	run(options: BenchmarkOptions): Promise<BenchmarkReport>;
};
