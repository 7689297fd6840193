/**
Reloads the settings on SIGHUP and when the settings file has changed. Invalid settings are logged and rejected; the previous settings remain in force.
*/
import {unwatchFile, watchFile} from 'node:fs';
import process from 'node:process';
import type {Either} from 'purify-ts/Either';
import type {Disposable, EventLog} from '../common/services.js';
import {platformEvents} from './log-events.js';
import {describeSettingsError, type SettingsError} from './settings-error.js';

/** Source and consumer of the settings. */
export type SettingsReloadOptions<T> = {
	readonly path: string;
	readonly log: EventLog;
	readonly load: () => Either<SettingsError, T>;
	readonly apply: (settings: T) => void;
};

/** Interval in milliseconds at which the file is checked for changes; one check is a system call of a few microseconds. */
const pollIntervalMs = 5000;

/** Reloads the settings of a running program. */
export class SettingsReload<T> implements Disposable {
	readonly #options: SettingsReloadOptions<T>;
	readonly #onSignal: () => void;
	readonly #onChange: () => void;

	/** Starts listening immediately. Without a listener, SIGHUP would terminate the process. */
	constructor(options: SettingsReloadOptions<T>) {
		this.#options = options;
		this.#onSignal = () => {
			this.#reload('SIGHUP');
		};

		this.#onChange = () => {
			this.#reload('file changed');
		};

		process.on('SIGHUP', this.#onSignal);
		watchFile(options.path, {interval: pollIntervalMs, persistent: false}, this.#onChange);
	}

	dispose(): void {
		process.off('SIGHUP', this.#onSignal);
		unwatchFile(this.#options.path, this.#onChange);
	}

	#reload(cause: string) {
		const {path, log, load, apply} = this.#options;
		load()
			.ifLeft(err => {
				log.emit(platformEvents.settingsRefused, {cause, path, problems: describeSettingsError(err).lines});
			})
			.ifRight(settings => {
				apply(settings);
				log.emit(platformEvents.settingsReloaded, {cause, path});
			});
	}
}
