/**
The configuration in force at this node: the newest version of each object, deletions included. Versions only grow, so nothing that arrives late, twice or out of order can bring an old version back.

The table is complete up to its revision: no object in it is newer, and no change up to it is missing. A batch of changes says from which revision it starts; one that would leave a gap is refused, and one that is not newer changes nothing.
*/
import type {Revision} from './ids.js';
import type {ObjectKind, StoredObject, WatchEvent} from './types.js';
import {h64ToString} from './xxhash.js';

/** Called after an object changed. */
export type ConfigListener = (event: WatchEvent) => void;

/** What a node needs to come from `since` to `revision`. */
export type ConfigChanges = {
	/** True when the events are all there is: objects not named are deleted, and `since` does not count. */
	readonly full: boolean;
	/** The changes are whole from here on. */
	readonly since: Revision;
	readonly revision: Revision;
	/** The version of the newest change of any configuration object, in the reader's scope or not. */
	readonly head: Revision;
	readonly events: readonly WatchEvent[];
};

/** Which objects a reader wants; without a part, all. */
export type ConfigScope = {
	readonly kinds?: readonly ObjectKind[];
	readonly name?: string;
};

// Deletions remembered; a peer further behind receives the whole table.
const maxTombstones = 2000;

const keyOf = (kind: ObjectKind, name: string) => `${kind}/${name}`;
const inScope = (event: WatchEvent, {kinds, name}: ConfigScope) => (kinds?.includes(event.kind) ?? true) && (name === undefined || event.name === name);

/** Checks an object before it is put in force. */
export type ConfigCheck = {
	/** What is wrong with the value; undefined when nothing is. */
	readonly faultOf: (kind: ObjectKind, name: string, value: unknown) => string | undefined;
	/** Called for each object that is not put in force. */
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
	#deletionsKnownFrom = 0;
	#tombstones = 0;

	/** @param check - Objects that it finds fault with are passed over; by default all are taken. */
	constructor(check?: ConfigCheck) {
		this.#check = check;
	}

	/** Everything up to this version is in force here. 0: nothing was read yet. */
	get revision(): Revision {
		return this.#revision as Revision;
	}

	/** The version of the newest change in force here. Unlike the revision it stands still while the configuration does. */
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

	/** Calls the listener after each batch that was put in force, until the returned function is called. */
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
	Puts changes in force.

	@returns False when they were refused: they start after this table's revision, so that something between would be missing.
	*/
	apply(changes: ConfigChanges): boolean {
		// Applying a batch that starts later would raise the revision over changes never seen, and they would never be asked for again.
		if (!changes.full && changes.since > this.#revision) {
			return false;
		}

		// What is not newer as a whole brings nothing: every change up to our revision is here, or was overtaken, or its deletion is already forgotten. Taking it object by object would raise the forgotten ones from the dead.
		if (changes.revision > this.#revision) {
			this.#putInForce(changes);
		}

		return true;
	}

	/** What a peer at `since` lacks. */
	changesSince(since: Revision, scope: ConfigScope = {}): ConfigChanges {
		// The deletions before this node's first list, and those forgotten since, are not in the table.
		const full = since < this.#deletionsKnownFrom || since === 0;
		const isWanted = (event: WatchEvent) => inScope(event, scope) && (full ? event.type === 'put' : event.version > since);
		const events = !full && since >= this.#head ? [] : [...this.#entries.values()].filter(isWanted);
		return {
			full, since, revision: this.revision, head: this.head, events,
		};
	}

	#putInForce(changes: ConfigChanges) {
		const oldRevision = this.#revision;
		const events = [...changes.events, ...(changes.full ? this.#missingFrom(changes) : [])].filter(({version}) => version > oldRevision);
		const changed = events.filter(event => this.#applyOne(event));
		this.#revision = changes.revision;
		this.#head = changed.reduce((newest, {version}) => Math.max(newest, version), Math.max(this.#head, changes.head));
		this.#deletionsKnownFrom = changes.full ? changes.revision : this.#deletionsKnownFrom;
		changed.forEach(event => {
			this.#listeners.forEach(listener => {
				listener(event);
			});
		});
		this.#batchListeners.forEach(listener => {
			listener();
		});
	}

	#missingFrom(changes: ConfigChanges): WatchEvent[] {
		const present = new Set(changes.events.map(({kind, name}) => keyOf(kind, name)));
		return [...this.#entries.values()]
			.filter(({type, kind, name}) => type === 'put' && !present.has(keyOf(kind, name)))
			.map(({kind, name}) => ({
				type: 'delete', kind, name, version: changes.revision,
			}));
	}

	#applyOne(event: WatchEvent): boolean {
		const key = keyOf(event.kind, event.name);
		const known = this.#entries.get(key);
		if (known && known.version >= event.version) {
			return false;
		}

		// One malformed object would end every process that reads its fields, and again after each restart. The last good one stays in force; as an object of the same name was seen, a whole list does not delete it either.
		const fault = event.type === 'put' ? this.#check?.faultOf(event.kind, event.name, event.value) : undefined;
		if (fault !== undefined) {
			this.#check?.onRefused(event, fault);
			return false;
		}

		this.#entries.set(key, event);
		this.#countTombstone(known, event);
		return true;
	}

	#countTombstone(known: WatchEvent | undefined, event: WatchEvent) {
		this.#tombstones += (event.type === 'delete' ? 1 : 0) - (known?.type === 'delete' ? 1 : 0);
		if (this.#tombstones <= maxTombstones) {
			return;
		}

		// Half at once: sorting for each single one would cost a full pass a deletion.
		const deletions = [...this.#entries].filter(([, entry]) => entry.type === 'delete').toSorted(([, a], [, b]) => a.version - b.version);
		deletions.slice(0, maxTombstones / 2).forEach(([oldKey, entry]) => {
			this.#entries.delete(oldKey);
			this.#tombstones -= 1;
			this.#deletionsKnownFrom = Math.max(this.#deletionsKnownFrom, entry.version);
		});
	}
}
