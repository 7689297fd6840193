/**
The configuration in force at this node: the newest version of each object, including deletions. Versions only grow, so changes that arrive late, twice or out of order can not restore an old version.

The table is complete up to its revision: it holds no newer object, and lacks no change up to it. A batch of changes states the revision from which it starts; one that would leave a gap is rejected, and one that is not newer changes nothing.
*/
import type {Revision} from './ids.js';
import type {ObjectKind, StoredObject, WatchEvent} from './types.js';
import {h64ToString} from './xxhash.js';

/** Called after an object changed. */
export type ConfigListener = (event: WatchEvent) => void;

/** The changes that bring a node from `since` to `revision`. */
export type ConfigChanges = {
	/** True when the events are the complete table: objects not named are deleted, and `since` is ignored. */
	readonly full: boolean;
	/** The changes are complete from this revision on. */
	readonly since: Revision;
	readonly revision: Revision;
	/** The version of the newest change of any configuration object, in the reader's scope or not. */
	readonly head: Revision;
	readonly events: readonly WatchEvent[];
};

/** The objects that a reader requests; a criterion that is left out matches all. */
export type ConfigScope = {
	readonly kinds?: readonly ObjectKind[];
	readonly name?: string;
};

// Deletions retained; a peer further behind receives the complete table.
const maxTombstones = 2000;

const keyOf = (kind: ObjectKind, name: string) => `${kind}/${name}`;
const inScope = (event: WatchEvent, {kinds, name}: ConfigScope) => (kinds?.includes(event.kind) ?? true) && (name === undefined || event.name === name);

/** Validates an object before it is applied. */
export type ConfigCheck = {
	/** What is wrong with the value; undefined when nothing is. */
	readonly faultOf: (kind: ObjectKind, name: string, value: unknown) => string | undefined;
	/** Called for each object that is rejected. */
	readonly onRefused: (event: WatchEvent, fault: string) => void;
};

/** Holds configuration objects by kind and name. */
export class ConfigTable {
	readonly #check: ConfigCheck | undefined;
	readonly #entries = new Map<string, WatchEvent>();
	readonly #listeners = new Set<ConfigListener>();
	readonly #batchListeners = new Set<() => void>();
	#revision = 0;
	#head = 0;
	#deletionsCompleteFrom = 0;
	#tombstones = 0;

	/** @param check - Objects that it rejects are skipped; by default all are accepted. */
	constructor(check?: ConfigCheck) {
		this.#check = check;
	}

	/** The version up to which all changes are in force; 0 before the first read. */
	get revision(): Revision {
		return this.#revision as Revision;
	}

	/** The version of the newest change in force. Unlike the revision, it stays the same while the configuration does not change. */
	get head(): Revision {
		return this.#head as Revision;
	}

	/** Calls the listener after each change of an object, until the returned function is called. */
	onChange(listener: ConfigListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls the listener after each batch that was applied, until the returned function is called. */
	onBatch(listener: () => void): () => void {
		this.#batchListeners.add(listener);
		return () => {
			this.#batchListeners.delete(listener);
		};
	}

	/** The object's value, or undefined when it does not exist. */
	get<T>(kind: ObjectKind, name: string): T | undefined {
		return this.#entries.get(keyOf(kind, name))?.value as T | undefined;
	}

	/** The object's version, or 0 when it does not exist. */
	versionOf(kind: ObjectKind, name: string): Revision {
		const entry = this.#entries.get(keyOf(kind, name));
		return entry?.type === 'put' ? entry.version : 0 as Revision;
	}

	/** All objects of a kind that exist. */
	list<T>(kind: ObjectKind): Array<StoredObject<T>> {
		return [...this.#entries.values()]
			.filter(entry => entry.kind === kind && entry.type === 'put')
			.map(({name, version, value}) => ({
				kind, name, version, value: value as T,
			}));
	}

	/** A hash of the names and versions of all objects that exist: tables with equal objects have equal digests. */
	digest(scope: ConfigScope = {}): string {
		const rows = [...this.#entries.values()]
			.filter(event => event.type === 'put' && inScope(event, scope))
			.map(({kind, name, version}) => `${kind}/${name}@${version}`);
		return h64ToString(rows.toSorted().join('\n'));
	}

	/**
	Applies changes.

	@returns False when they were rejected because they start after this table's revision, so that changes in between would be missing.
	*/
	apply(changes: ConfigChanges): boolean {
		// Applying a batch that starts later would raise the revision above changes that were never received, and they would never be requested again.
		if (!changes.full && changes.since > this.#revision) {
			return false;
		}

		// A batch that is not newer brings nothing: every change up to this table's revision has been applied, has been superseded, or was a deletion that is no longer retained. Applying it object by object would restore objects whose deletions were discarded.
		if (changes.revision > this.#revision) {
			this.#applyBatch(changes);
		}

		return true;
	}

	/** Returns the changes that a peer at `since` lacks. */
	changesSince(since: Revision, scope: ConfigScope = {}): ConfigChanges {
		// The deletions before this node's first list, and those discarded since, are not in the table.
		const full = since < this.#deletionsCompleteFrom || since === 0;
		const isWanted = (event: WatchEvent) => inScope(event, scope) && (full ? event.type === 'put' : event.version > since);
		const events = !full && since >= this.#head ? [] : [...this.#entries.values()].filter(isWanted);
		return {
			full, since, revision: this.revision, head: this.head, events,
		};
	}

	#applyBatch(changes: ConfigChanges) {
		const previousRevision = this.#revision;
		const events = [...changes.events, ...(changes.full ? this.#impliedDeletions(changes) : [])].filter(({version}) => version > previousRevision);
		const changed = events.filter(event => this.#applyOne(event));
		this.#revision = changes.revision;
		this.#head = changed.reduce((newest, {version}) => Math.max(newest, version), Math.max(this.#head, changes.head));
		this.#deletionsCompleteFrom = changes.full ? changes.revision : this.#deletionsCompleteFrom;
		changed.forEach(event => {
			this.#listeners.forEach(listener => {
				listener(event);
			});
		});
		this.#batchListeners.forEach(listener => {
			listener();
		});
	}

	#impliedDeletions(changes: ConfigChanges): WatchEvent[] {
		const present = new Set(changes.events.map(({kind, name}) => keyOf(kind, name)));
		return [...this.#entries.values()]
			.filter(({type, kind, name}) => type === 'put' && !present.has(keyOf(kind, name)))
			.map(({kind, name}) => ({
				type: 'delete', kind, name, version: changes.revision,
			}));
	}

	#applyOne(event: WatchEvent): boolean {
		const key = keyOf(event.kind, event.name);
		const existing = this.#entries.get(key);
		if (existing && existing.version >= event.version) {
			return false;
		}

		// One malformed object would crash every process that reads its fields, and again after each restart. The last valid version stays in force; a complete list does not delete it either, since it names the object.
		const fault = event.type === 'put' ? this.#check?.faultOf(event.kind, event.name, event.value) : undefined;
		if (fault !== undefined) {
			this.#check?.onRefused(event, fault);
			return false;
		}

		this.#entries.set(key, event);
		this.#countTombstone(existing, event);
		return true;
	}

	#countTombstone(existing: WatchEvent | undefined, event: WatchEvent) {
		this.#tombstones += (event.type === 'delete' ? 1 : 0) - (existing?.type === 'delete' ? 1 : 0);
		if (this.#tombstones <= maxTombstones) {
			return;
		}

		// Half of them are discarded at once: discarding each one separately would sort all of them for every deletion.
		const deletions = [...this.#entries].filter(([, entry]) => entry.type === 'delete').toSorted(([, a], [, b]) => a.version - b.version);
		deletions.slice(0, maxTombstones / 2).forEach(([oldKey, entry]) => {
			this.#entries.delete(oldKey);
			this.#tombstones -= 1;
			this.#deletionsCompleteFrom = Math.max(this.#deletionsCompleteFrom, entry.version);
		});
	}
}
