/**
The common frame of all daemons: command line, settings, log, metrics, signals and exit codes. A program contributes only its settings schema and a `start` function, so that all daemons start, stop and report failures the same way.
*/
import process from 'node:process';
import {type Either} from 'purify-ts/Either';
import sade from 'sade';
import {type ZodType} from 'zod';
import type {
	Clock, EventLog, Metrics, RandomSource,
} from '../common/services.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {platformEvents} from './log-events.js';
import {ProgramRun} from './program-run.js';
import {createServices} from './program-services.js';
import {setRuntimeFlags} from './runtime-flags.js';
import {loadSettings} from './settings.js';
import {describeSettingsError, type SettingsError} from './settings-error.js';
import {type CommonSettings} from './settings-schemas.js';
import {reportUsageErrors, reportUnknownOption} from './usage-errors.js';
import {version} from './version.js';

/** Services that the frame provides to a program. */
export type ProgramServices = {
	readonly log: EventLog;
	/** Number of log lines dropped since the start. */
	readonly droppedLines: () => number;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** Why a program could not start, for instance because its port is in use. */
export type StartError = {
	readonly exitCode: ExitCode;
	/** Human-readable description. */
	readonly message: string;
};

/** A program after a successful start. */
export type RunningProgram = {
	/** Listening addresses by purpose; written to the first log event. */
	readonly addresses?: Readonly<Record<string, string>>;
	/** Applies changed settings at run time; settings that require a restart are ignored. */
	reload?(settings: unknown): void;
	/**
	Stops accepting work and resolves when all work in progress is complete.

	@param requestedAt - The earliest moment at which the shutdown can have been requested, in milliseconds on the monotonic clock. It is earlier than the call if the process was paused, or still starting.
	*/
	drain(requestedAt: number): Promise<void>;
	/** Releases all resources immediately. Called after `drain`, or without it on a violated invariant. */
	dispose(): void;
};

/** Definition of a program, provided by its main module. */
export type Program<T extends CommonSettings> = {
	/** Name of the binary. */
	readonly name: string;
	/** One-sentence description for `--help`. */
	readonly describe: string;
	/** Schema of its settings; must include `commonSettings`. */
	readonly schema: ZodType<T>;
	readonly start: (settings: T, services: ProgramServices) => Promise<Either<StartError, RunningProgram>>;
};

type Flags = {
	readonly settings?: string;
	readonly check?: boolean;
};

const reportFailure = (lines: readonly string[], exitCode: ExitCode): void => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exitCode = exitCode;
};

const reportSettingsError = (err: SettingsError): void => {
	const {lines, exitCode} = describeSettingsError(err);
	reportFailure(lines, exitCode);
};

const launch = async <T extends CommonSettings>({name, start, schema}: Program<T>, settings: T, path: string): Promise<void> => {
	setRuntimeFlags();
	const services = createServices(name, settings);
	const run = new ProgramRun(services);
	run.installHandlers();
	run.reloadFrom(path, () => loadSettings(schema, path));
	const started = await start(settings, services);
	started.ifRight(running => {
		run.setRunning(running);
	});
	if (started.isLeft()) {
		const {message, exitCode} = started.extract();
		services.log.emit(platformEvents.startFailed, {reason: message});
		reportFailure([`${name}: ${message}`], exitCode);
		await run.exitAfterFailedStart(exitCode);
	}
};

/**
Runs a daemon until it is stopped. Exit codes are those of `exit-codes.ts`: 0 after a graceful shutdown, 64 for a wrong command line, 66 and 78 for settings, 70 for a violated invariant, or the code that `start` returned.

@param program - Program to run.
@param argv - Arguments of the process.
*/
export const runProgram = <T extends CommonSettings>(program: Program<T>, argv: string[] = process.argv): void => {
	reportUsageErrors();
	const {name, describe, schema} = program;
	sade(name, true)
		.version(version)
		.describe(describe)
		.option('-s, --settings', 'The settings file, JSON with comments')
		.option('--check', 'Check the settings file and exit')
		.example('--settings settings.jsonc')
		.action(async ({settings: path, check}: Flags) => {
			if (typeof path !== 'string') {
				reportFailure([`${name}: --settings FILE is missing`], exitCodes.usage);
				return;
			}

			const loaded = loadSettings(schema, path);
			loaded.ifLeft(reportSettingsError);
			if (loaded.isRight() && !check) {
				await launch(program, loaded.unsafeCoerce(), path);
			}
		})
		.parse(argv, {unknown: reportUnknownOption, boolean: ['check'], string: ['settings']});
};
