/**
Keeps the configuration in force in a file on the data folder, where a VM has one, so that a restarted entry needs no more than one peer's word to go on.
*/
import {
	mkdir, open, readFile, rename,
} from 'node:fs/promises';
import path from 'node:path';
import type {ConfigChanges, ConfigTable} from '../common/config-table.js';
import type {Revision} from '../common/ids.js';
import type {Disposable, EventLog} from '../common/services.js';
import {configEvents} from './config-log-events.js';

const fileName = 'configuration.json';
/** A burst of changes is written once. */
const writeDelayMs = 1000;

const isSnapshot = (value: Partial<ConfigChanges> | undefined): value is ConfigChanges => value?.full === true && typeof value.revision === 'number' && typeof value.head === 'number' && Array.isArray(value.events);

/** The snapshot of one table. */
export class ConfigSnapshot implements Disposable {
	readonly #folder: string;
	readonly #log: EventLog;
	#timer: NodeJS.Timeout | undefined;
	#stop: (() => void) | undefined;
	#writing = Promise.resolve();

	constructor(folder: string, log: EventLog) {
		this.#folder = folder;
		this.#log = log;
	}

	/** What the file holds; undefined when there is none or it is not whole. */
	async read(): Promise<ConfigChanges | undefined> {
		try {
			const value = JSON.parse(await readFile(this.#path, 'utf8')) as Partial<ConfigChanges>;
			return isSnapshot(value) ? value : undefined;
		} catch (err) {
			if ((err as NodeJS.ErrnoException).code !== 'ENOENT') {
				this.#log.emit(configEvents.snapshotFailed, {reason: String(err)});
			}

			return undefined;
		}
	}

	/** Writes the table a moment after each change. */
	follow(table: ConfigTable): void {
		this.#stop = table.onBatch(() => {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#writing = this.#writing.then(async () => this.write(table));
			}, writeDelayMs).unref();
		});
	}

	/** Writes the table now. */
	async write(table: ConfigTable): Promise<void> {
		const temporary = `${this.#path}.new`;
		try {
			await mkdir(this.#folder, {recursive: true});
			const file = await open(temporary, 'w');
			try {
				await file.writeFile(JSON.stringify(table.changesSince(0 as Revision)));
				// Without it, a VM that loses power after the rename may keep a name without contents.
				await file.sync();
			} finally {
				await file.close();
			}

			// A reader finds the old file or the new one, never half of one.
			await rename(temporary, this.#path);
		} catch (err) {
			this.#log.emit(configEvents.snapshotFailed, {reason: String(err)});
		}
	}

	dispose(): void {
		this.#stop?.();
		clearTimeout(this.#timer);
	}

	get #path() {
		return path.join(this.#folder, fileName);
	}
}
