/**
An in-memory object API that can simulate faults of the real one: an outage, and an answer that is lost after the change took effect.
*/
import {EventEmitter} from 'node:events';
import {Left, Right, type Either} from 'purify-ts/Either';
import {branded, type Revision} from '../ids.js';
import {jsonBytes} from '../json-size.js';
import type {ObjectApi} from '../services.js';
import type {
	ApiError, ListQuery, ObjectKind, ObjectPage, StoredObject, WatchBatch, WatchEvent,
} from '../types.js';

type Answer<T> = Either<ApiError, T>;

const defaultPageSize = 500;
const defaultValueLimitBytes = 1_000_000;

/** Values are copied when stored and returned, as they would be on a network. */
const copyOf = <T>(value: T): T => structuredClone(value);

/** An {@link ObjectApi} for tests. Versions start at 1. */
export class FakeObjectApi implements ObjectApi {
	/** While true, every call fails as `unavailable` and changes nothing. */
	down = false;

	/** The largest value that is stored, in bytes of JSON. */
	valueLimitBytes = defaultValueLimitBytes;

	/** Runs before each call takes effect, so that a test can insert another writer's change. */
	beforeCall: ((call: string, kind: ObjectKind, name: string) => void | Promise<void>) | undefined;

	/** Calls so far, by method. */
	readonly calls: Record<'get' | 'create' | 'update' | 'remove' | 'list' | 'watch', number> = {
		get: 0, create: 0, update: 0, remove: 0, list: 0, watch: 0,
	};

	readonly #objects = new Map<string, StoredObject>();
	readonly #history: WatchEvent[] = [];
	readonly #changes = new EventEmitter().setMaxListeners(0);
	#answersToLose = 0;
	#version = 0;
	#oldestWatchable = 0;

	/** The next `count` changes take effect, but their writers receive only `unknown`. */
	loseNextAnswer(count = 1): void {
		this.#answersToLose += count;
	}

	/** Discards the history, so that a watch from an older version fails as `expired`. */
	compact(): void {
		this.#oldestWatchable = this.#version;
		this.#history.length = 0;
	}

	/** The objects of a kind, by name; for assertions. */
	all<T = unknown>(kind: ObjectKind): Array<StoredObject<T>> {
		return [...this.#objects.values()]
			.filter(object => object.kind === kind)
			.toSorted((a, b) => (a.name < b.name ? -1 : 1)) as Array<StoredObject<T>>;
	}

	async get<T>(kind: ObjectKind, name: string): Promise<Answer<StoredObject<T>>> {
		return this.#call('get', kind, name, () => {
			const found = this.#find<T>(kind, name);
			return found ? Right(copyOf(found)) : Left({kind: 'notFound'});
		});
	}

	async create<T>(kind: ObjectKind, name: string, value: T): Promise<Answer<StoredObject<T>>> {
		return this.#call('create', kind, name, () => {
			const current = this.#find(kind, name);
			return current ? Left({kind: 'conflict', current: copyOf(current)}) : this.#put(kind, name, value);
		});
	}

	async update<T>(kind: ObjectKind, name: string, value: T, version: Revision): Promise<Answer<StoredObject<T>>> {
		return this.#call('update', kind, name, () => {
			const current = this.#find(kind, name);
			if (!current) {
				return Left({kind: 'notFound'});
			}

			return current.version === version ? this.#put(kind, name, value) : Left({kind: 'conflict', current: copyOf(current)});
		});
	}

	async remove(kind: ObjectKind, name: string, version?: Revision): Promise<Answer<Revision>> {
		return this.#call('remove', kind, name, () => {
			const current = this.#find(kind, name);
			if (!current) {
				return Left({kind: 'notFound'});
			}

			if (version !== undefined && current.version !== version) {
				return Left({kind: 'conflict', current: copyOf(current)});
			}

			this.#objects.delete(`${kind}/${name}`);
			return this.#changed(Right(this.#record({type: 'delete', kind, name})));
		});
	}

	async list<T>(kind: ObjectKind, query: ListQuery = {}): Promise<Answer<ObjectPage<T>>> {
		return this.#call('list', kind, query.prefix ?? '', () => {
			const matching = this.all<T>(kind)
				.filter(({name}) => name.startsWith(query.prefix ?? '') && (query.after === undefined || name > query.after));
			const items = matching.slice(0, query.limit ?? defaultPageSize)
				.map(object => query.values === false ? {...object, value: undefined as T} : copyOf(object));
			return Right({items, version: branded<Revision>(this.#version), more: items.length < matching.length});
		});
	}

	async watch(kinds: readonly ObjectKind[], since: Revision, waitMs: number): Promise<Answer<WatchBatch>> {
		return this.#call('watch', kinds[0] ?? 'Lease', '', async () => {
			const batch = () => this.#history.filter(event => event.version > since && kinds.includes(event.kind));
			if (batch().length === 0 && since >= this.#oldestWatchable) {
				await this.#waitForChange(kinds, waitMs);
			}

			return since < this.#oldestWatchable
				? Left({kind: 'expired'})
				: Right({version: branded<Revision>(this.#version), events: copyOf(batch())});
		});
	}

	async #call<T>(method: keyof FakeObjectApi['calls'], kind: ObjectKind, name: string, effect: () => Answer<T> | Promise<Answer<T>>): Promise<Answer<T>> {
		this.calls[method]++;
		await this.beforeCall?.(method, kind, name);
		return this.down ? Left({kind: 'unavailable', reason: 'the object API is unavailable'}) : effect();
	}

	#find<T = unknown>(kind: ObjectKind, name: string): StoredObject<T> | undefined {
		return this.#objects.get(`${kind}/${name}`) as StoredObject<T> | undefined;
	}

	#put<T>(kind: ObjectKind, name: string, value: T): Answer<StoredObject<T>> {
		if (jsonBytes(value) > this.valueLimitBytes) {
			return Left({kind: 'tooLarge', limitBytes: this.valueLimitBytes});
		}

		const stored = copyOf(value);
		const version = this.#record({
			type: 'put', kind, name, value: stored,
		});
		const object: StoredObject<T> = {
			kind, name, version, value: stored,
		};
		this.#objects.set(`${kind}/${name}`, object);
		return this.#changed(Right(copyOf(object)));
	}

	#record(event: Omit<WatchEvent, 'version'>): Revision {
		this.#version++;
		const version = branded<Revision>(this.#version);
		this.#history.push({...event, version});
		this.#changes.emit('change', event.kind);
		return version;
	}

	#changed<T>(answer: Answer<T>): Answer<T> {
		if (this.#answersToLose === 0) {
			return answer;
		}

		this.#answersToLose--;
		return Left({kind: 'unknown', reason: 'the answer was lost'});
	}

	async #waitForChange(kinds: readonly ObjectKind[], waitMs: number): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#changes.off('change', listener);
				resolve();
			};

			const listener = (kind: ObjectKind) => {
				if (kinds.includes(kind)) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			this.#changes.on('change', listener);
		});
	}
}
