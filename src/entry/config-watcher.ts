/**
Watches the object API for changes of the configuration, while this entry is one of its failure domain's watchers.
*/
import {changesOfWatch, readConfig} from '../common/config-reader.js';
import type {ConfigChanges, ConfigTable} from '../common/config-table.js';
import type {
	Clock, Disposable, EventLog, ObjectApi, RandomSource,
} from '../common/services.js';
import type {ApiError, ObjectKind, WatchBatch} from '../common/types.js';
import {configEvents} from './config-log-events.js';

/** What the watcher needs. */
export type WatcherParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly table: ConfigTable;
	readonly kinds: readonly ObjectKind[];
	/** Whether this entry is to watch now. */
	readonly isWatcher: () => boolean;
	/** Whether this entry hears of changes by another way too. */
	readonly hasOtherSource: () => boolean;
};

/** The object API counts a waiting watch as one call, so a watch waits long. One gone silent delays nothing: a watcher also asks another watcher. */
const watchMs = 10_000;
/** Without another source a silent watch must be found at once. */
const aloneWatchMs = 500;
const idleMs = 500;
const shortestRetryMs = 250;
const longestRetryMs = 4000;
/** A watch that just ended without a fault proves contact for so long. */
const freshMs = 2500;

/** Watches until disposed. */
export class ConfigWatcher implements Disposable {
	readonly #parts: WatcherParts;
	#failures = 0;
	#succeededAt = Number.NEGATIVE_INFINITY;
	#disposed = false;

	constructor(parts: WatcherParts) {
		this.#parts = parts;
	}

	/** Whether a call succeeded lately. */
	get isFresh(): boolean {
		return this.#parts.clock.now() - this.#succeededAt <= freshMs;
	}

	/** Watches for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await (this.#parts.isWatcher() ? this.#watchOnce() : this.#idle());
		}
	}

	dispose(): void {
		this.#disposed = true;
	}

	async #idle() {
		this.#failures = 0;
		this.#succeededAt = Number.NEGATIVE_INFINITY;
		await this.#parts.clock.sleep(idleMs);
	}

	async #watchOnce() {
		const {api, table, kinds, hasOtherSource} = this.#parts;
		const since = table.revision;
		const batch = await api.watch(kinds, since, hasOtherSource() ? watchMs : aloneWatchMs);
		if (this.#disposed) {
			return;
		}

		if (batch.isLeft()) {
			await this.#failed(batch.extract());
			return;
		}

		this.#succeeded();
		table.apply(changesOfWatch(batch.extract() as WatchBatch, since));
	}

	async #failed(err: ApiError) {
		// The object API remembers changes only for a while; after that the whole is read again.
		if (err.kind === 'expired' && await this.#readAll()) {
			return;
		}

		this.#failures += 1;
		this.#succeededAt = Number.NEGATIVE_INFINITY;
		this.#parts.log.emit(configEvents.watchFailed, {reason: err.kind, failures: this.#failures});
		const {clock, random} = this.#parts;
		const ceiling = Math.min(longestRetryMs, shortestRetryMs * (2 ** this.#failures));
		await clock.sleep(shortestRetryMs + (random.next() * ceiling));
	}

	async #readAll(): Promise<boolean> {
		const {api, kinds} = this.#parts;
		const read = await readConfig(api, kinds);
		return read.map(changes => this.#takeList(changes)).orDefault(false);
	}

	#takeList(changes: ConfigChanges): boolean {
		const {table, log} = this.#parts;
		const fields = {from: table.revision, revision: changes.revision};
		if (changes.revision < table.revision) {
			// An object API that was set back, for instance to a backup: following it would revert what was in force.
			log.emit(configEvents.versionsWentBack, fields);
			return false;
		}

		log.emit(configEvents.relisted, fields);
		this.#succeeded();
		return table.apply(changes);
	}

	#succeeded() {
		this.#failures = 0;
		this.#succeededAt = this.#parts.clock.now();
	}
}
