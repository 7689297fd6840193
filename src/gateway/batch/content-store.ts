/**
Stores prompts and outputs of batch jobs in the object API, each written once under a unique name. Contents that were written or read are cached in memory, since they are often requested again soon.
*/
import {randomUUID} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import {jsonBytes} from '../../common/json-size.js';
import type {ObjectApi} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import type {BatchJobId} from '../types.js';
import {readContent, type BatchContent} from './batch-records.js';

/** The size limit of the cache, in bytes of memory: some hundred results, a small part of the memory that a front may use. */
const maxCachedBytes = 12_000_000;

/** The most memory that one unit of a string's length takes, in bytes. */
const memoryBytesPerUnit = 2;

/** The largest value that the object API stores unless its settings say otherwise, in bytes. */
const defaultValueBytes = 1_048_576;

/** What the object API adds to a content: its name, its kind and the fields of its metadata, in bytes. */
const metadataBytes = 1024;

type CachedContent = {readonly content: BatchContent; readonly size: number};

const lengthOf = (texts: readonly string[]): number => texts.reduce((sum, text) => sum + text.length, 0);

const textLengths: {readonly [K in BatchContent['type']]: (content: Extract<BatchContent, {type: K}>) => number} = {
	items: ({items}) => lengthOf(items.map(({body}) => body)),
	results: ({results}) => lengthOf(results.map(result => 'output' in result ? result.output : '')),
	text: ({text}) => lengthOf([text]),
	progress: ({items}) => lengthOf(items.flatMap(({events}) => events)),
};

const memoryOf = (content: BatchContent): number => memoryBytesPerUnit * (textLengths[content.type] as (content: BatchContent) => number)(content);

/** See the module's head. */
export class ContentStore {
	/** The maximum size of a content, in bytes of JSON. */
	readonly maxBytes: number;
	readonly #api: ObjectApi;
	/** In the order of last use, the least recently used first. */
	readonly #cache = new Map<string, CachedContent>();
	#size = 0;

	/** @param maxValueBytes - The largest value that the object API stores, in bytes. */
	constructor(api: ObjectApi, maxValueBytes = defaultValueBytes) {
		this.#api = api;
		this.maxBytes = maxValueBytes - metadataBytes;
	}

	/** Whether a content is small enough for the object API, whether that can be reached or not. */
	fits(content: BatchContent): boolean {
		return jsonBytes(content) <= this.maxBytes;
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
		const size = memoryOf(content);
		this.#cache.set(name, {content, size});
		this.#size += size;
		while (this.#size > maxCachedBytes && this.#cache.size > 1) {
			this.#evict(this.#cache.keys().next().value!);
		}
	}

	#evict(name: string) {
		this.#size -= this.#cache.get(name)?.size ?? 0;
		this.#cache.delete(name);
	}
}
