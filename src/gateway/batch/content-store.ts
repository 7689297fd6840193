/**
Stores prompts and outputs of batch jobs in the object API, each written once under a unique name. Contents that were written or read are cached in memory, since they are often requested again soon.
*/
import {randomUUID} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {ObjectApi} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import type {BatchJobId} from '../types.js';
import {readContent, type BatchContent} from './batch-records.js';

/** The size limit of the cache, in characters: some hundred results, a small part of the memory that a front may use. */
const maxCachedCharacters = 6_000_000;

type CachedContent = {readonly content: BatchContent; readonly size: number};

const textSizes: {readonly [K in BatchContent['type']]: (content: Extract<BatchContent, {type: K}>) => number} = {
	items: ({items}) => items.reduce((sum, {body}) => sum + body.length, 0),
	results: ({results}) => results.reduce((sum, {output}) => sum + output.length, 0),
	progress: ({items}) => items.reduce((sum, {events}) => sum + events.reduce((length, event) => length + event.length, 0), 0),
};

const sizeOf = (content: BatchContent): number => (textSizes[content.type] as (content: BatchContent) => number)(content);

/** See the module's head. */
export class ContentStore {
	readonly #api: ObjectApi;
	/** In the order of last use, the least recently used first. */
	readonly #cache = new Map<string, CachedContent>();
	#size = 0;

	constructor(api: ObjectApi) {
		this.#api = api;
	}

	/** Generates a name that no other process uses. */
	newName(job: BatchJobId): string {
		return `${job}-${randomUUID()}`;
	}

	/** Writes a content. Since its name is unique, a write whose answer was lost can be repeated: a conflict means that it succeeded. */
	async write(name: string, content: BatchContent): Promise<Either<ApiError, void>> {
		const created = await this.#api.create('BatchContent', name, content);
		const err = errorOf(created);
		if (err && err.kind !== 'conflict') {
			return Left(err);
		}

		this.#addToCache(name, content);
		return Right(undefined);
	}

	/** Caches a content that keepers will write later. */
	cache(name: string, content: BatchContent): void {
		this.#addToCache(name, content);
	}

	async read<T extends BatchContent['type']>(type: T, name: string): Promise<Either<ApiError, Extract<BatchContent, {type: T}>>> {
		const cached = this.#cache.get(name);
		if (cached) {
			this.#addToCache(name, cached.content);
			return Right(cached.content as Extract<BatchContent, {type: T}>);
		}

		// A content never changes, so a lagging copy can at most lack it.
		const copy = await this.#api.get('BatchContent', name, {mayLag: true});
		const found = copy.isLeft() ? await this.#api.get('BatchContent', name) : copy;
		return found.chain<ApiError, Extract<BatchContent, {type: T}>>(({value}) => {
			const content = readContent(type, value);
			if (!content) {
				return Left({kind: 'unavailable', reason: 'stored content is invalid'});
			}

			this.#addToCache(name, content);
			return Right(content);
		});
	}

	/** Removes a content that no record names. If the removal fails, the content takes up storage until its job is removed. */
	async remove(name: string): Promise<void> {
		this.#evict(name);
		await this.#api.remove('BatchContent', name);
	}

	#addToCache(name: string, content: BatchContent) {
		this.#evict(name);
		const size = sizeOf(content);
		this.#cache.set(name, {content, size});
		this.#size += size;
		while (this.#size > maxCachedCharacters && this.#cache.size > 1) {
			this.#evict(this.#cache.keys().next().value!);
		}
	}

	#evict(name: string) {
		this.#size -= this.#cache.get(name)?.size ?? 0;
		this.#cache.delete(name);
	}
}
