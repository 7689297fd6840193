/**
A minimal daemon for the features of the program frame. It opens no port; its `behaviour` setting selects how it starts and drains, for instance that it violates an invariant.
*/
import process from 'node:process';
import {Left, Right} from 'purify-ts/Either';
import * as z from 'zod';
import type {EventDefinition} from '../../common/types.js';
import {exitCodes} from '../exit-codes.js';
import {runProgram} from '../program.js';
import {
	commonSettings, countOf, durationMs, listenAddressSchema, sizeBytes,
} from '../settings-schemas.js';

const schema = z.strictObject({
	...commonSettings,
	listen: listenAddressSchema,
	queueBytes: sizeBytes(),
	tries: countOf(2),
	timeoutMs: durationMs(1000),
	/** Behaviour of the program at its start and drain. */
	behaviour: z.enum(['drains', 'lingers', 'floods', 'hangs', 'breaks', 'cannotStart']).default('drains'),
});

type Behaviour = z.infer<typeof schema>['behaviour'];

/** More lines than the log buffers for a slow reader. */
const floodLines = 40_000;
const floodEvent: EventDefinition = {number: 999, level: 'info', text: 'a line that is long enough to fill the buffer of the log when it is repeated'};

/** How long work in progress takes that a stop waits for, in milliseconds. */
const lingerMs = 1000;

const drains: Readonly<Record<Behaviour, () => Promise<void>>> = {
	async drains() {
		process.stdout.write('work done\n');
	},
	async lingers() {
		return new Promise(resolve => {
			setTimeout(() => {
				process.stdout.write('work done\n');
				resolve();
			}, lingerMs);
		});
	},
	async floods() {
		process.stdout.write('work done\n');
	},
	async hangs() {
		return new Promise(() => {
			// Simulates a request that never ends.
		});
	},
	async breaks() {
		throw new Error('a count went below zero');
	},
	async cannotStart() {
		// Not reached.
	},
};

runProgram({
	name: 'sample-program',
	describe: 'Does nothing until it is stopped.',
	schema,
	async start({listen, behaviour}, {log}) {
		// Created before the start can fail, like the timers of the real programs.
		const timer = setInterval(() => undefined, 1000);
		if (behaviour === 'cannotStart') {
			return Left({exitCode: exitCodes.unavailable, message: `${listen} is taken`});
		}

		if (behaviour === 'floods') {
			setImmediate(() => {
				Array.from({length: floodLines}).forEach((_, line) => {
					log.emit(floodEvent, {line});
				});
			});
		}

		return Right({
			addresses: {http: listen},
			drain: drains[behaviour],
			dispose() {
				clearInterval(timer);
			},
		});
	},
});
