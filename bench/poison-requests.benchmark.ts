/**
What holding back requests that end replicas buys and costs: replicas that end and answers that are lost in the model, without and with it, and the time that each call takes for it while many requests are remembered.
*/
import {Buffer} from 'node:buffer';
import {contentDigest, type ContentDigest} from '../src/gateway/quarantine/content-digest.js';
import type {ReplicaStart} from '../src/gateway/quarantine/crash-history.js';
import {crashThreshold, Quarantine} from '../src/gateway/quarantine/quarantine.js';
import {CrashModel, type PoisonOutcome} from '../src/gateway/testing/crash-model.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {SystemClock} from '../src/io/system-clock.js';
import {figure} from './figure.js';
import type {Benchmark, Figure} from './types.js';

const perSecond = 60;
const defaultRuns = 5;
const remembered = 2000;
const calls = 20_000;
const bodyBytes = 500;
const microsPerMs = 1000;

/** A front of the target has 21 calls a second; so much for each is a tenth of the 2.1 % of a core that control may take. */
const microsBound = 100;

const outcomes = (poison: number, enough: number, {seed, runs}: {seed: number; runs: number}): PoisonOutcome[] => Array.from({length: runs}, (_, i) => new CrashModel({
	poison, perSecond, crashThreshold: enough, random: new SeededRandom(seed + i),
}).simulate());

const figuresOf = (poison: number, held: readonly PoisonOutcome[], free: readonly PoisonOutcome[]): Figure[] => [
	figure(`replicas ended, ${poison} such, not held back`, 'in 30 s', free.map(({ended}) => ended)),
	figure(`replicas ended, ${poison} such`, 'in 30 s', held.map(({ended}) => ended), {atMost: crashThreshold * poison}),
	figure(`answers lost, ${poison} such, not held back`, 'in 30 s', free.map(({lost}) => lost)),
	figure(`answers lost, ${poison} such`, 'in 30 s', held.map(({lost}) => lost)),
	figure(`held back wrongly, ${poison} such`, 'in 30 s', held.map(({heldWrongly}) => heldWrongly)),
];

const microsOfCall = (): number => {
	const quarantine = new Quarantine({clock: new SystemClock(), log: {emit: () => undefined}});
	quarantine.receiveCrashes(Array.from({length: remembered}, (_, i) => ({content: `c${i}` as ContentDigest, start: 'r1/1' as ReplicaStart})));
	const body = Buffer.alloc(bodyBytes, 'x');
	const startedAt = performance.now();
	for (let call = 0; call < calls; call += 1) {
		quarantine.heldMs(contentDigest({
			host: 'boards.example', method: 'POST', target: `/alert/${call}`, body,
		}));
	}

	return (performance.now() - startedAt) / calls * microsPerMs;
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'poison-requests',
	describe: 'Replicas that requests end and answers that are lost in the model, without and with holding back, and what it costs a call.',
	async run({runs = defaultRuns, seed, progress}) {
		const figures = [1, 8].flatMap(poison => {
			progress(`${poison} such`);
			return figuresOf(poison, outcomes(poison, crashThreshold, {seed, runs}), outcomes(poison, Infinity, {seed, runs}));
		});
		progress('the time of a call');
		microsOfCall();
		const micros = figure(`time of a call, ${remembered} remembered`, 'µs', Array.from({length: runs}, () => microsOfCall()), {atMost: microsBound});
		return {figures: [...figures, micros], notes: [`${perSecond} calls a second at 13 replicas of 8 places`, `bodies of ${bodyBytes} bytes`]};
	},
};
