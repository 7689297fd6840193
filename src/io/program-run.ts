/**
Manages the lifecycle of a daemon from start to exit. SIGTERM and SIGINT start a graceful shutdown, which SIGINT interrupts; a violated invariant (an uncaught error) stops the process immediately.
*/
import process from 'node:process';
import type {Either} from 'purify-ts/Either';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {platformEvents} from './log-events.js';
import {PauseWatch} from './pause-watch.js';
import {type RunningProgram} from './program.js';
import {type OwnedServices} from './program-services.js';
import type {SettingsError} from './settings-error.js';
import {SettingsReload} from './settings-reload.js';
import type {CommonSettings} from './settings-schemas.js';
import {version} from './version.js';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** The daemon that runs in this process. */
export class ProgramRun {
	readonly #services: OwnedServices;
	#running: RunningProgram | undefined;
	/** When the shutdown was requested, at the earliest; in milliseconds on the monotonic clock. */
	#stopRequestedAt: number | undefined;
	#hasFatalError = false;
	#reload: SettingsReload<CommonSettings> | undefined;
	/** Also keeps the event loop alive until the daemon is stopped, while only unreferenced timers, such as those of a retry, are pending. */
	readonly #pauses: PauseWatch;
	readonly #onSignal: (signal: NodeJS.Signals) => void;

	/** @param services - Closed when the run ends. */
	constructor(services: OwnedServices) {
		this.#services = services;
		this.#pauses = new PauseWatch(services.clock);
		this.#onSignal = signal => {
			this.#stop(signal);
		};
	}

	/** Installs the handlers for uncaught errors and stop signals. Must be called before the program starts. */
	installHandlers(): void {
		// After an unexpected error the state in memory cannot be trusted: continuing could answer a caller twice or with the response
		// of another caller. Peers detect the exit immediately and recover the requests of the process, as after a crash.
		process.on('uncaughtException', err => {
			this.#handleFatalError(err);
		});
		process.on('unhandledRejection', reason => {
			this.#handleFatalError(reason);
		});
		stopSignals.forEach(signal => {
			process.on(signal, this.#onSignal);
		});
	}

	/**
	Starts applying changes of the settings file at run time.

	@param path - Path of the settings file.
	*/
	reloadFrom(path: string, load: () => Either<SettingsError, CommonSettings>): void {
		this.#reload = new SettingsReload({
			path,
			load,
			log: this.#services.log,
			apply: settings => {
				this.#services.reload(settings);
				this.#running?.reload?.(settings);
			},
		});
	}

	/** @param running - The program that has started. */
	setRunning(running: RunningProgram): void {
		this.#running = running;
		this.#services.log.emit(platformEvents.programStarted, {version, pid: process.pid, addresses: running.addresses ?? {}});
		// A signal received during the start was only recorded.
		if (this.#stopRequestedAt !== undefined) {
			void this.#drain(running, this.#stopRequestedAt);
		}
	}

	/**
	Exits after a failed start.

	Resources that the program created before it failed, such as a timer, would otherwise keep the process alive: its supervisor would see a running program that serves nobody, and never restart it.
	*/
	async exitAfterFailedStart(code: ExitCode): Promise<void> {
		await this.#exit(code);
	}

	/** Disposes of the program, closes its services and removes the signal handlers. */
	async dispose(): Promise<void> {
		stopSignals.forEach(signal => {
			process.off(signal, this.#onSignal);
		});
		this.#pauses.dispose();
		this.#reload?.dispose();
		this.#running?.dispose();
		await this.#services.close();
	}

	#stop(signal: NodeJS.Signals): void {
		if (this.#stopRequestedAt !== undefined) {
			this.#handleRepeated(signal);
			return;
		}

		this.#stopRequestedAt = this.#pauses.earliest;
		this.#services.log.emit(platformEvents.drainStarted, {signal});
		if (this.#running) {
			void this.#drain(this.#running, this.#stopRequestedAt);
		}
	}

	/** Supervisors may repeat SIGTERM, and kill a process that takes too long; SIGINT comes from a person who does not want to wait. */
	#handleRepeated(signal: NodeJS.Signals): void {
		if (signal === 'SIGTERM') {
			this.#services.log.emit(platformEvents.stopRepeated, {signal});
			return;
		}

		this.#services.log.emit(platformEvents.shutdownCutShort, {signal});
		void this.#exit(exitCodes.ok);
	}

	async #drain(running: RunningProgram, requestedAt: number): Promise<void> {
		await running.drain(requestedAt);
		this.#services.log.emit(platformEvents.programStopped);
		await this.#exit(exitCodes.ok);
	}

	#handleFatalError(reason: unknown): void {
		const {message, stack} = reason instanceof Error ? reason : new Error(String(reason));
		this.#services.log.emit(platformEvents.invariantBroken, {reason: message, stack});
		const hadFatalError = this.#hasFatalError;
		this.#hasFatalError = true;
		// If disposing fails as well, the process exits without it.
		if (hadFatalError) {
			this.#terminate(exitCodes.brokenInvariant);
		} else {
			void this.#exit(exitCodes.brokenInvariant);
		}
	}

	/** Disposes of the program before the log is flushed, so that no pending work reaches a caller during the flush. */
	async #exit(code: ExitCode): Promise<void> {
		await this.dispose();
		this.#terminate(code);
	}

	/** Exits explicitly: a socket or timer that was not closed would keep the process alive after its shutdown. */
	#terminate(code: ExitCode): void {
		// eslint-disable-next-line unicorn/no-process-exit -- the frame decides when a program exits.
		process.exit(code);
	}
}
