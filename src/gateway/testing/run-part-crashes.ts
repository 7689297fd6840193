/**
Prints the error rates of the quarantine of prompt parts, and of its alternatives, over many seeds of the model. Usage: `npx tsx src/gateway/testing/run-part-crashes.ts METHOD FRONTS SEEDS CRASHING-PARTS PER-SECOND [outages]`
*/
import process from 'node:process';
import type {Clock} from '../../common/services.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {outagesAt, PartCrashModel, type PartOutcome} from './part-crash-model.js';
import {LikelihoodRatio, PlainCounts, type SharedPartTable} from './part-tables.js';

const methods: Readonly<Record<string, ((clock: Clock) => SharedPartTable) | undefined>> = {
	quarantine: undefined,
	plain: clock => new PlainCounts(clock),
	likelihood: clock => new LikelihoodRatio(clock),
};

const [method = 'quarantine', ...numbers] = process.argv.slice(2);
const [fronts = 20, seeds = 20, crashingParts = 1, crashingPerSecond = 15] = numbers.map(Number);
const outcomes = Array.from({length: seeds}, (_, i) => new PartCrashModel({
	fronts, random: new SeededRandom(i + 1), crashingParts, crashingPerSecond, outagesAt: numbers[4] === 'outages' ? outagesAt : undefined, sharedTable: methods[method],
}).simulate());

const row = (name: string, valueOf: (outcome: PartOutcome) => number): string => {
	const values = outcomes.map(outcome => valueOf(outcome));
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	return `${name}: mean ${mean.toFixed(3)}, most ${Math.max(...values).toFixed(3)}`;
};

process.stdout.write([
	`${method}, ${fronts} fronts, ${seeds} seeds, ${crashingParts} parts at ${crashingPerSecond} a second${numbers[4] === 'outages' ? ', half of the replicas end five times' : ''}`,
	row('replicas ended', ({ended}) => ended),
	row('sent after the fifth', ({sentAfterFifth}) => sentAfterFifth),
	row('sent later than 3 s after it', ({sentLate}) => sentLate),
	row('sound requests held, in a hundred', ({sound, soundHeld}) => 100 * soundHeld / sound),
	'',
].join('\n'));
