/**
What it costs to find the results that fit on one page, whose sizes are those of their JSON: for text in ASCII, in Bengali, and of control characters.
*/
import {firstFitting} from '../src/gateway/batch/result-store.js';
import type {ItemResult} from '../src/gateway/batch/batch-records.js';
import {branded} from '../src/common/ids.js';
import type {BatchItemId} from '../src/gateway/types.js';
import {figure} from './figure.js';
import type {Benchmark} from './types.js';

const pageBytes = 600_000;

/** The usual number of items of a job, and the length of an output that together fill a page. */
const results = 24;

const texts: Readonly<Record<string, {readonly character: string; readonly bytes: number}>> = {
	ASCII: {character: 't', bytes: 1},
	Bengali: {character: 'ট', bytes: 3},
	'control characters': {character: '\u0001', bytes: 6},
};

const rounds = 20;
const defaultRuns = 5;

/** Sizes are computed once for each result, so each round has results of its own. */
const pageOf = ({character, bytes}: {readonly character: string; readonly bytes: number}): ItemResult[] => Array.from({length: results}, (_, i) => ({
	id: branded<BatchItemId>(`item-${i}`), state: 'completed', output: character.repeat(Math.floor(pageBytes / results / bytes)),
}));

const millisOf = (text: {readonly character: string; readonly bytes: number}): number => {
	const pages = Array.from({length: rounds}, () => pageOf(text));
	const startedAt = performance.now();
	pages.forEach(page => {
		firstFitting(page, pageBytes);
	});
	return (performance.now() - startedAt) / rounds;
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'result-pages',
	describe: 'Milliseconds to find the results that fit on a page of 600 KB, by the kind of their text.',
	async run({runs = defaultRuns, progress}) {
		const figures = Object.entries(texts).map(([name, text]) => {
			progress(name);
			return figure(`page of ${name}`, 'ms', Array.from({length: runs}, () => millisOf(text)));
		});
		return {figures, notes: ['computed once for each result, when its page is written and when it is read']};
	},
};
