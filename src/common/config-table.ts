/**
The configuration in force at this node: the newest version of each object, deletions included. Versions only grow, so nothing that arrives late, twice or out of order can bring an old version back.
*/
import type {Revision} from './ids.js';
import type {
	ObjectKind, ObjectPage, StoredObject, WatchEvent,
} from './types.js';

/** Called after an object changed. */
export type ConfigListener = (event: WatchEvent) => void;

/** What a peer needs to come up to this node's revision. */
export type ConfigChanges = {
	readonly revision: Revision;
	/** True when the events are all there is: objects not named are deleted. */
	readonly full: boolean;
	readonly events: readonly WatchEvent[];
};

// Deletions remembered; a peer further behind receives the whole table.
const maxTombstones = 2000;

const keyOf = (kind: ObjectKind, name: string) => `${kind}/${name}`;

/** Holds configuration objects by kind and name. */
export class ConfigTable {
	readonly #entries = new Map<string, WatchEvent>();
	readonly #listeners = new Set<ConfigListener>();
	#revision = 0;
	#oldestTombstone = 0;
	#tombstones = 0;

	/** Everything up to this version is in force here. 0: nothing was read yet. */
	get revision(): Revision {
		return this.#revision as Revision;
	}

	/** Calls the listener after each change, until the returned function is called. */
	onChange(listener: ConfigListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** The object's value, or undefined when it does not exist. */
	get<T>(kind: ObjectKind, name: string): T | undefined {
		return this.#entries.get(keyOf(kind, name))?.value as T | undefined;
	}

	/** All objects of a kind that exist. */
	list<T>(kind: ObjectKind): Array<StoredObject<T>> {
		return [...this.#entries.values()]
			.filter(entry => entry.kind === kind && entry.type === 'put')
			.map(({name, version, value}) => ({
				kind, name, version, value: value as T,
			}));
	}

	/**
	Puts changes in force, the newer of two versions winning object by object.

	@param revision - The version up to which the changes are complete.
	*/
	apply(events: readonly WatchEvent[], revision: Revision): void {
		events.forEach(event => {
			this.#applyOne(event);
		});
		this.#revision = Math.max(this.#revision, revision);
	}

	/** Puts a whole list of one kind in force: what is not in it and not newer than it was deleted. */
	applyList(kind: ObjectKind, page: Pick<ObjectPage, 'items' | 'version'>): void {
		const names = new Set(page.items.map(item => item.name));
		const gone = this.list(kind).filter(item => !names.has(item.name) && item.version <= page.version);
		gone.forEach(({name}) => {
			this.#applyOne({
				type: 'delete', kind, name, version: page.version,
			});
		});
		page.items.forEach(item => {
			this.#applyOne({type: 'put', ...item});
		});
	}

	/** What a peer at `since` lacks. */
	changesSince(since: Revision): ConfigChanges {
		const full = since < this.#oldestTombstone || since === 0;
		const events = [...this.#entries.values()].filter(event => full ? event.type === 'put' : event.version > since);
		return {revision: this.revision, full, events};
	}

	/** Puts a peer's answer in force. */
	applyChanges(changes: ConfigChanges, kinds: readonly ObjectKind[]): void {
		if (changes.full) {
			kinds.forEach(kind => {
				const items = changes.events.filter(event => event.kind === kind).map(event => event as StoredObject);
				this.applyList(kind, {items, version: changes.revision});
			});
		}

		this.apply(changes.full ? [] : changes.events, changes.revision);
	}

	#applyOne(event: WatchEvent) {
		const key = keyOf(event.kind, event.name);
		const known = this.#entries.get(key);
		if (known && known.version >= event.version) {
			return;
		}

		this.#entries.set(key, event);
		this.#countTombstone(known, event);
		this.#listeners.forEach(listener => {
			listener(event);
		});
	}

	#countTombstone(known: WatchEvent | undefined, event: WatchEvent) {
		this.#tombstones += (event.type === 'delete' ? 1 : 0) - (known?.type === 'delete' ? 1 : 0);
		if (this.#tombstones <= maxTombstones) {
			return;
		}

		const oldest = [...this.#entries].filter(([, entry]) => entry.type === 'delete').toSorted(([, a], [, b]) => a.version - b.version)[0];
		if (oldest) {
			this.#entries.delete(oldest[0]);
			this.#tombstones -= 1;
			this.#oldestTombstone = oldest[1].version;
		}
	}
}
