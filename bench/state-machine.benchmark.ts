/**
What an xstate actor costs on the path of a request, against xstate's pure transition function and a table of handlers: the figure that decides where machines are used.
*/
import {
	createActor, createMachine, transition, type AnyMachineSnapshot,
} from 'xstate';
import {figure} from './figure.js';
import type {Benchmark} from './types.js';

const machine = createMachine({
	id: 'attempt',
	initial: 'routing',
	states: {
		routing: {on: {sent: 'waiting'}},
		waiting: {on: {begun: 'streaming', refused: 'routing', lost: 'asking'}},
		streaming: {on: {ended: 'whole', lost: 'asking'}},
		asking: {on: {found: 'streaming', revoked: 'routing'}},
		whole: {type: 'final'},
	},
});

const path = ['sent', 'begun', 'lost', 'found', 'ended'] as const;
type PathEvent = (typeof path)[number];

const table: Record<string, Partial<Record<PathEvent, string>>> = {
	routing: {sent: 'waiting'},
	waiting: {begun: 'streaming', lost: 'asking'},
	streaming: {ended: 'whole', lost: 'asking'},
	asking: {found: 'streaming'},
};

const withActor = () => {
	const actor = createActor(machine).start();
	path.forEach(type => {
		actor.send({type});
	});
	return actor.getSnapshot().value;
};

const withTransition = () => path.reduce<AnyMachineSnapshot>((state, type) => transition(machine, state, {type})[0], machine.resolveState({value: 'routing'})).value as string;

const withTable = () => path.reduce<string>((state, event) => table[state]?.[event] ?? state, 'routing');

const rounds = 20_000;
const defaultRuns = 5;
const microsPerMs = 1000;

const microsOf = (run: () => unknown): number => {
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round += 1) {
		run();
	}

	return (performance.now() - startedAt) / rounds * microsPerMs;
};

/** See {@link Benchmark}. */
export const benchmark: Benchmark = {
	name: 'state-machine',
	describe: 'Microseconds for the five steps of one request: xstate actor, xstate pure transition, table of handlers.',
	async run({runs = defaultRuns, progress}) {
		const figures = Object.entries({'xstate actor': withActor, 'xstate transition': withTransition, 'table of handlers': withTable}).map(([name, run]) => {
			progress(name);
			microsOf(run);
			return figure(name, 'µs per request', Array.from({length: runs}, () => microsOf(run)));
		});
		return {figures, notes: ['decides where machines are used: lifecycles that change a few times a minute, not the path of a request']};
	},
};
