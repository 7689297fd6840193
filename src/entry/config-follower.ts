/**
Keeps the configuration in force at this entry up to date, and passes it on. A few entries of each failure domain watch the object API; the others ask those, and every entry answers the nodes below it.
*/
import {loadInitialConfig, type PollNode} from '../common/config-bootstrap.js';
import {ConfigCounts} from '../common/config-counts.js';
import {ConfigFeed} from '../common/config-feed.js';
import {ConfigPeerFollower} from '../common/config-peer-follower.js';
import type {ConfigAnswer, ConfigPoll, InForceCount} from '../common/config-protocol.js';
import {readConfig} from '../common/config-reader.js';
import type {ConfigChanges, ConfigTable} from '../common/config-table.js';
import {positionOfEntry, type ConfigPosition} from '../common/config-upstream.js';
import type {
	Clock, Disposable, EventLog, ObjectApi, RandomSource,
} from '../common/services.js';
import type {ObjectKind, VmEntry, WatchEvent} from '../common/types.js';
import {configEvents} from './config-log-events.js';
import {ConfigSnapshot} from './config-snapshot.js';
import {ConfigWatcher} from './config-watcher.js';

/** Kinds that every entry needs. Batch jobs are left to their coordinators. */
export const configKinds: readonly ObjectKind[] = ['ServedModel', 'ModelVersion', 'OnlineService', 'ClientAccount', 'BackendServer', 'Assignment'];

/** What the follower needs. */
export type FollowerParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly table: ConfigTable;
	/** This entry's VM. */
	readonly vm: string;
	/** The live entry VMs, by the last list that was read. */
	readonly entries: () => readonly VmEntry[];
	readonly ask: PollNode;
	/** Where a snapshot is kept, if the VM has a disk. */
	readonly dataFolder?: string;
};

/** Follows and feeds until disposed. */
export class ConfigFollower implements Disposable {
	readonly #parts: FollowerParts;
	readonly #counts: ConfigCounts;
	readonly #watcher: ConfigWatcher;
	readonly #peers: ConfigPeerFollower;
	readonly #feed: ConfigFeed;
	readonly #snapshot: ConfigSnapshot | undefined;
	readonly #stop: () => void;
	#placed: {entries: readonly VmEntry[]; place: ConfigPosition} | undefined;
	#isReady = false;
	#disposed = false;

	constructor(parts: FollowerParts) {
		const {clock, table, log, vm, dataFolder} = parts;
		this.#parts = parts;
		this.#counts = new ConfigCounts(clock, () => table.head);
		this.#watcher = new ConfigWatcher({
			...parts, kinds: configKinds, isWatcher: () => this.#place.isWatcher, hasOtherSource: () => this.#peers.isConnected,
		});
		this.#peers = new ConfigPeerFollower({
			...parts,
			node: vm,
			upstreams: () => this.#place.upstreams,
			// A watcher is asked for its counts; it stands below nobody.
			onLost: () => {
				this.#onLost();
			},
			counts: () => this.#place.isWatcher ? undefined : this.#counts.rows(),
		});
		this.#feed = new ConfigFeed({
			...parts, counts: this.#counts, isReady: () => this.#isReady, isConnected: () => this.isConnected,
		});
		this.#snapshot = dataFolder === undefined ? undefined : new ConfigSnapshot(dataFolder, log);
		this.#stop = table.onChange(event => {
			this.#logChange(event);
		});
	}

	/** Whether this entry has a configuration it trusts. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Whether this entry hears the object API or an entry further up, so that it is not behind by more than moments. */
	get isConnected(): boolean {
		return (this.#place.isWatcher && this.#watcher.isFresh) || this.#peers.isConnected;
	}

	/** Counts of this entry and the nodes below it. */
	counts(): readonly InForceCount[] {
		return this.#isReady ? this.#counts.rows() : [];
	}

	/** Answers a node that asks for configuration. */
	async answer(poll: ConfigPoll): Promise<ConfigAnswer> {
		return this.#feed.answer(poll);
	}

	/** Follows for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		await this.#begin();
		if (this.#disposed) {
			return;
		}

		this.#snapshot?.follow(this.#parts.table);
		await Promise.all([this.#watcher.run(), this.#peers.run()]);
	}

	dispose(): void {
		this.#disposed = true;
		this.#stop();
		this.#watcher.dispose();
		this.#peers.dispose();
		this.#feed.dispose();
		this.#snapshot?.dispose();
	}

	get #place(): ConfigPosition {
		const entries = this.#parts.entries();
		if (this.#placed?.entries !== entries) {
			this.#placed = {entries, place: positionOfEntry(entries.filter(({state}) => state === 'live'), this.#parts.vm)};
		}

		return this.#placed.place;
	}

	async #begin() {
		const {vm, table, log} = this.#parts;
		const snapshot = await this.#snapshot?.read();
		const first = await loadInitialConfig({
			...this.#parts,
			node: vm,
			peers: () => this.#place.upstreams,
			readApi: async () => this.#readApi(snapshot),
			prefersApi: () => this.#place.isWatcher,
			snapshot,
		}, () => this.#disposed);
		if (first && !this.#disposed) {
			table.apply(first.changes);
			this.#isReady = true;
			log.emit(configEvents.ready, {source: first.source, revision: table.revision});
		}
	}

	async #readApi(snapshot: ConfigChanges | undefined) {
		const read = await readConfig(this.#parts.api, configKinds);
		read.ifRight(({revision}) => {
			if (snapshot && revision < snapshot.revision) {
				this.#parts.log.emit(configEvents.versionsWentBack, {from: snapshot.revision, revision});
			}
		});
		return read;
	}

	#onLost() {
		if (!this.isConnected) {
			this.#feed.answerPendingPolls();
		}
	}

	#logChange({kind, name, version, type}: WatchEvent) {
		if (this.#isReady) {
			this.#parts.log.emit(configEvents.changed, {
				kind, name, version, type,
			});
		}
	}
}
