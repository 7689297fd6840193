/**
Reads the settings again when the operator says so by SIGHUP, and when the file has changed without a word. Wrong settings change nothing: those before stay in force, and the log says what is wrong.
*/
import {unwatchFile, watchFile} from 'node:fs';
import process from 'node:process';
import type {Either} from 'purify-ts/Either';
import type {Disposable, EventLog} from '../common/services.js';
import {platformEvents} from './log-events.js';
import {describeSettingsError, type SettingsError} from './settings-error.js';

/** Where settings come from and who takes them. */
export type SettingsReloadParts<T> = {
	readonly path: string;
	readonly log: EventLog;
	readonly load: () => Either<SettingsError, T>;
	readonly apply: (settings: T) => void;
};

/** How often the file is looked at, in milliseconds; a call of the operating system costs some microseconds. */
const lookMs = 5000;

/** See the module's head. */
export class SettingsReload<T> implements Disposable {
	readonly #parts: SettingsReloadParts<T>;
	readonly #onSignal: () => void;
	readonly #onChange: () => void;

	/** Listens at once. Without a listener, SIGHUP would end the process. */
	constructor(parts: SettingsReloadParts<T>) {
		this.#parts = parts;
		this.#onSignal = () => {
			this.#reload('SIGHUP');
		};

		this.#onChange = () => {
			this.#reload('file changed');
		};

		process.on('SIGHUP', this.#onSignal);
		watchFile(parts.path, {interval: lookMs, persistent: false}, this.#onChange);
	}

	dispose(): void {
		process.off('SIGHUP', this.#onSignal);
		unwatchFile(this.#parts.path, this.#onChange);
	}

	#reload(cause: string) {
		const {path, log, load, apply} = this.#parts;
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
