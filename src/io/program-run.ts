/**
The life of a daemon from its start to its exit: signals lead to a graceful shutdown, a broken invariant to an immediate stop.
*/
import process from 'node:process';
import type {Either} from 'purify-ts/Either';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {platformEvents} from './log-events.js';
import {type RunningProgram} from './program.js';
import {type OwnedServices} from './program-services.js';
import type {SettingsError} from './settings-error.js';
import {SettingsReload} from './settings-reload.js';
import type {CommonSettings} from './settings-schemas.js';
import {version} from './version.js';

const keepAliveMs = 3_600_000;

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** One daemon in this process. */
export class ProgramRun {
	readonly #services: OwnedServices;
	#running: RunningProgram | undefined;
	#stopping = false;
	#broken = false;
	#reload: SettingsReload<CommonSettings> | undefined;
	/** A daemon runs until it is told to stop, also while it waits for nothing but the time of its next try. */
	readonly #keepAlive = setInterval(() => undefined, keepAliveMs);
	readonly #onSignal: (signal: NodeJS.Signals) => void;

	/** @param services - Released when the run ends. */
	constructor(services: OwnedServices) {
		this.#services = services;
		this.#onSignal = signal => {
			this.#stop(signal);
		};
	}

	/** Stops the process on a broken invariant, and answers signals. Call it before the program starts. */
	guard(): void {
		// After an error that nobody expected, the state in memory cannot be trusted: going on could answer a caller twice or with
		// another's answer. Peers see the process leave at once and recover its requests, as they do after a crash.
		process.on('uncaughtException', err => {
			this.#breakDown(err);
		});
		process.on('unhandledRejection', reason => {
			this.#breakDown(reason);
		});
		stopSignals.forEach(signal => {
			process.on(signal, this.#onSignal);
		});
	}

	/**
	Takes over changed settings from now on.

	@param path - The settings file.
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

	/** @param running - The program, now that it has started. */
	follow(running: RunningProgram): void {
		this.#running = running;
		this.#services.log.emit(platformEvents.programStarted, {version, pid: process.pid, addresses: running.addresses ?? {}});
		// A signal that came while the program started was only noted.
		if (this.#stopping) {
			void this.#drain(running);
		}
	}

	/**
	Ends the process after a failed start.

	What the program had begun before it failed, such as a timer, would keep the process alive: its supervisor would see a running program that serves nobody, and never start it again.
	*/
	async abandon(code: ExitCode): Promise<void> {
		await this.#exit(code);
	}

	/** Releases the program and its services, and listens to no more signals. */
	async dispose(): Promise<void> {
		stopSignals.forEach(signal => {
			process.off(signal, this.#onSignal);
		});
		clearInterval(this.#keepAlive);
		this.#reload?.dispose();
		this.#running?.dispose();
		await this.#services.close();
	}

	#stop(signal: NodeJS.Signals): void {
		if (this.#stopping) {
			this.#services.log.emit(platformEvents.shutdownCutShort, {signal});
			void this.#exit(exitCodes.ok);
			return;
		}

		this.#stopping = true;
		this.#services.log.emit(platformEvents.drainStarted, {signal});
		if (this.#running) {
			void this.#drain(this.#running);
		}
	}

	async #drain(running: RunningProgram): Promise<void> {
		await running.drain();
		this.#services.log.emit(platformEvents.programStopped);
		await this.#exit(exitCodes.ok);
	}

	#breakDown(reason: unknown): void {
		const {message, stack} = reason instanceof Error ? reason : new Error(String(reason));
		this.#services.log.emit(platformEvents.invariantBroken, {reason: message, stack});
		const wasBroken = this.#broken;
		this.#broken = true;
		// The state may be so broken that the release fails as well.
		if (wasBroken) {
			this.#leave(exitCodes.brokenInvariant);
		} else {
			void this.#exit(exitCodes.brokenInvariant);
		}
	}

	/** The program is released before the log is written out, so nothing that it still has in hand reaches a caller meanwhile. */
	async #exit(code: ExitCode): Promise<void> {
		await this.dispose();
		this.#leave(code);
	}

	/** A socket or timer that a program forgot would keep the process alive after its shutdown, so it does not wait for them. */
	#leave(code: ExitCode): void {
		// eslint-disable-next-line unicorn/no-process-exit -- the frame decides when a program ends.
		process.exit(code);
	}
}
