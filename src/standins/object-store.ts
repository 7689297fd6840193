/**
What the object API stand-in holds, in memory only: objects with versions, and a bounded log of changes for watches. One counter numbers every change of any object, as the real object API does.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {SortedNames} from './sorted-names.js';

/** An object; its value is kept as JSON text. */
export type StoredText = {
	readonly kind: string;
	readonly name: string;
	readonly version: number;
	readonly text: string;
};

/** What a change requires: `absent` that there is no such object, a number that it is at this version. */
export type Precondition = 'none' | 'absent' | number;

/** The precondition did not hold; `current` is the object as it is, if it exists. */
export type Conflict = {readonly current?: StoredText};

/** A change, without its value. */
export type ChangeRecord = {
	readonly type: 'put' | 'delete';
	readonly kind: string;
	readonly name: string;
	readonly version: number;
};

/** A page of a list. */
export type StoredPage = {
	readonly items: readonly StoredText[];
	readonly version: number;
	readonly more: boolean;
};

type Waiter = {
	readonly kinds: ReadonlySet<string>;
	readonly wake: () => void;
};

const holds = (precondition: Precondition, current: StoredText | undefined): boolean => {
	if (precondition === 'none') {
		return true;
	}

	return precondition === 'absent' ? current === undefined : current?.version === precondition;
};

/** Objects, their versions and the log of changes. */
export class ObjectStore {
	readonly #objects = new Map<string, Map<string, StoredText>>();
	readonly #names = new Map<string, SortedNames>();
	readonly #waiters = new Set<Waiter>();
	readonly #logLength: number;
	#log: ChangeRecord[] = [];
	#version = 0;

	/** @param logLength - How many of the latest changes a watch can ask for. */
	constructor(logLength: number) {
		this.#logLength = logLength;
	}

	/** The number of the latest change; 0 at first. */
	get version(): number {
		return this.#version;
	}

	get(kind: string, name: string): StoredText | undefined {
		return this.#objects.get(kind)?.get(name);
	}

	/** Creates or replaces an object. */
	put(kind: string, name: string, text: string, precondition: Precondition): Either<Conflict, StoredText> {
		const current = this.get(kind, name);
		if (!holds(precondition, current)) {
			return Left({current});
		}

		const stored = {
			kind, name, version: ++this.#version, text,
		};
		this.#kind(kind).set(name, stored);
		this.#namesOf(kind).add(name);
		this.#record('put', kind, name);
		return Right(stored);
	}

	/** Removes an object that exists; returns the version of the removal. */
	remove(kind: string, name: string, precondition: Precondition): Either<Conflict, number> {
		const current = this.get(kind, name);
		if (!current || !holds(precondition, current)) {
			return Left({current});
		}

		this.#version++;
		this.#kind(kind).delete(name);
		this.#namesOf(kind).remove(name);
		this.#record('delete', kind, name);
		return Right(this.#version);
	}

	/** Lists objects sorted by name. */
	list(kind: string, prefix: string, after: string, limit: number): StoredPage {
		const {names, more} = this.#namesOf(kind).page(prefix, after, limit);
		const objects = this.#kind(kind);
		return {items: names.flatMap(name => objects.get(name) ?? []), version: this.#version, more};
	}

	/**
	The changes after `since`, of each object only the latest: its value is looked up when the watch answers, and an older change could not be given the value it had.

	@returns Undefined when `since` is older than the log, or a version that is yet to come (the store was started anew).
	*/
	changes(kinds: ReadonlySet<string>, since: number): ChangeRecord[] | undefined {
		const firstLogged = this.#version - this.#log.length + 1;
		if (since < firstLogged - 1 || since > this.#version) {
			return undefined;
		}

		const latest = new Map<string, ChangeRecord>();
		this.#log.slice(since - firstLogged + 1).filter(change => kinds.has(change.kind)).forEach(change => {
			const key = `${change.kind}/${change.name}`;
			latest.delete(key);
			latest.set(key, change);
		});
		return [...latest.values()];
	}

	/**
	Calls `wake` at the next change of one of the kinds.

	@returns Stops waiting.
	*/
	onNextChange(kinds: ReadonlySet<string>, wake: () => void): () => void {
		const waiter = {kinds, wake};
		this.#waiters.add(waiter);
		return () => {
			this.#waiters.delete(waiter);
		};
	}

	#record(type: ChangeRecord['type'], kind: string, name: string): void {
		this.#log.push({
			type, kind, name, version: this.#version,
		});
		// Cutting the log only when it has grown by half keeps the cost of a change constant.
		if (this.#log.length > this.#logLength * 1.5) {
			this.#log = this.#log.slice(-this.#logLength);
		}

		[...this.#waiters].filter(waiter => waiter.kinds.has(kind)).forEach(waiter => {
			this.#waiters.delete(waiter);
			waiter.wake();
		});
	}

	#kind(kind: string): Map<string, StoredText> {
		const known = this.#objects.get(kind);
		if (known) {
			return known;
		}

		const objects = new Map<string, StoredText>();
		this.#objects.set(kind, objects);
		return objects;
	}

	#namesOf(kind: string): SortedNames {
		const known = this.#names.get(kind);
		if (known) {
			return known;
		}

		const names = new SortedNames();
		this.#names.set(kind, names);
		return names;
	}
}
