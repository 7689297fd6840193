/**
What each part costs against the number of what it deals with, at four sizes or more, and the line through them. docs/CAPACITY.md multiplies these slopes by the sizes of the target.
*/
import {figure, median} from './figure.js';
import {coreCases} from './slopes/core-cases.js';
import {processCases} from './slopes/process-cases.js';
import {fitLine, type Point, type SlopeCase} from './slopes/slope.js';
import type {Benchmark, BenchmarkOptions, BenchmarkReport} from './types.js';

const defaultRuns = 3;

/** Cases whose processes are started anew for each size are measured once. */
const runsOf = (one: SlopeCase, runs: number) => processCases.includes(one) ? 1 : runs;

const short = (value: number) => String(Number(value.toPrecision(3)));

const measure = async (one: SlopeCase, runs: number): Promise<Point[][]> => {
	const lines: Point[][] = [];
	while (lines.length < runs) {
		const points: Point[] = [];
		for (const size of one.sizes) {
			points.push({size, cost: await one.cost(size)});
		}

		lines.push(points);
	}

	return lines;
};

const noteOf = (one: SlopeCase, lines: readonly Point[][]) => {
	const fits = lines.map(points => fitLine(points));
	const costs = one.sizes.map((size, i) => `${size}: ${short(median(lines.map(points => points[i]!.cost)))}`);
	return `${one.name}: ${one.unit} at sizes ${costs.join(', ')}; standard error of the slope ${short(median(fits.map(({slopeError}) => slopeError)))}.`;
};

const run = async ({runs = defaultRuns, progress}: BenchmarkOptions): Promise<BenchmarkReport> => {
	const figures: Array<BenchmarkReport['figures'][number]> = [];
	const notes: string[] = [];
	for (const one of [...coreCases, ...processCases]) {
		const lines = await measure(one, runsOf(one, runs));
		const fits = lines.map(points => fitLine(points));
		figures.push(
			figure(`${one.name}: each ${one.per}`, one.unit, fits.map(({slope}) => slope)),
			figure(`${one.name}: base`, one.unit, fits.map(({base}) => base)),
		);
		notes.push(noteOf(one, lines));
		progress(notes.at(-1)!);
	}

	return {figures, notes};
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'slopes',
	describe: 'cost of each part against the number of what it deals with, with the line by least squares',
	run,
};
