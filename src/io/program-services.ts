/**
Creates the services that the frame provides to a program, from its common settings.
*/
import process from 'node:process';
import {parseAddress} from './address.js';
import {DogstatsdMetrics} from './dogstatsd-metrics.js';
import {NoMetrics} from './no-metrics.js';
import {PinoEventLog} from './pino-event-log.js';
import {type ProgramServices} from './program.js';
import {SeededRandom} from './seeded-random.js';
import {type CommonSettings} from './settings-schemas.js';
import {SystemClock} from './system-clock.js';

/** Services with the operations that are reserved for the frame, which owns them. */
export type OwnedServices = ProgramServices & {
	/** Applies the settings that may change at run time. */
	reload(settings: CommonSettings): void;
	/** Flushes events and metrics and resolves within a bounded time. */
	close(): Promise<void>;
};

/** Maximum time in milliseconds for which an exiting process waits for the reader of its log. */
const closeLimitMs = 500;

/** Combines time and process id: processes that start together must not draw the same random numbers, or their retries would collide repeatedly. */
const freshSeed = (): number => Number(process.hrtime.bigint() % (2n ** 31n)) + process.pid;

/**
@param program - Name of the program, added to its log lines and metrics.
@param settings - The common settings.
*/
export const createServices = (program: string, {logLevel, metrics, name}: CommonSettings & {readonly name?: string}): OwnedServices => {
	const log = new PinoEventLog({program, node: name, level: logLevel});
	const address = metrics && parseAddress(metrics.address);
	const sink = metrics && address ? new DogstatsdMetrics({address, prefix: metrics.prefix, tags: {program}}) : undefined;
	return {
		log,
		droppedLines: () => log.dropped,
		metrics: sink ?? new NoMetrics(),
		clock: new SystemClock(),
		random: new SeededRandom(freshSeed()),
		reload({logLevel: level}) {
			log.setLevel(level);
		},
		async close() {
			sink?.dispose();
			await log.written(closeLimitMs);
		},
	};
};
