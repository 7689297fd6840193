/**
Prompts and texts of batch jobs: written once under a name that no other writer uses, read by name, and kept in memory for a while, since what was written or read is often asked for again soon.
*/
import {randomUUID} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import type {ObjectApi} from '../../common/services.js';
import type {ApiError} from '../../common/types.js';
import type {BatchJobId} from '../types.js';
import {readContent, type BatchContent} from './batch-records.js';

/** Contents that are kept, in characters: some hundred results, a small part of what a front may use. */
const maxKeptCharacters = 6_000_000;

type Kept = {readonly content: BatchContent; readonly size: number};

const textSizes: {readonly [K in BatchContent['type']]: (content: Extract<BatchContent, {type: K}>) => number} = {
	items: ({items}) => items.reduce((sum, {body}) => sum + body.length, 0),
	results: ({results}) => results.reduce((sum, {output}) => sum + output.length, 0),
	progress: ({items}) => items.reduce((sum, {events}) => sum + events.reduce((length, event) => length + event.length, 0), 0),
};

const sizeOf = (content: BatchContent): number => (textSizes[content.type] as (content: BatchContent) => number)(content);

/** See the module's head. */
export class ContentStore {
	readonly #api: ObjectApi;
	/** The least recently used first. */
	readonly #kept = new Map<string, Kept>();
	#size = 0;

	constructor(api: ObjectApi) {
		this.#api = api;
	}

	/** A name that no other process gives. */
	newName(job: BatchJobId): string {
		return `${job}-${randomUUID()}`;
	}

	/** Writes a content. Under a name of its own the same write may be made again when its answer was lost. */
	async write(name: string, content: BatchContent): Promise<Either<ApiError, void>> {
		const created = await this.#api.create('BatchContent', name, content);
		const err = errorOf(created);
		if (err && err.kind !== 'conflict') {
			return Left(err);
		}

		this.#keep(name, content);
		return Right(undefined);
	}

	/** Keeps a content that is to be written later by others. */
	keep(name: string, content: BatchContent): void {
		this.#keep(name, content);
	}

	async read<T extends BatchContent['type']>(type: T, name: string): Promise<Either<ApiError, Extract<BatchContent, {type: T}>>> {
		const kept = this.#kept.get(name);
		if (kept) {
			this.#keep(name, kept.content);
			return Right(kept.content as Extract<BatchContent, {type: T}>);
		}

		// A content never changes, so a copy that lags can at most lack it.
		const copy = await this.#api.get('BatchContent', name, {mayLag: true});
		const found = copy.isLeft() ? await this.#api.get('BatchContent', name) : copy;
		return found.chain<ApiError, Extract<BatchContent, {type: T}>>(({value}) => {
			const content = readContent(type, value);
			if (!content) {
				return Left({kind: 'unavailable', reason: 'a content that can not be read'});
			}

			this.#keep(name, content);
			return Right(content);
		});
	}

	/** Removes a content that no record names. One that stays behind costs room until its job is removed. */
	async drop(name: string): Promise<void> {
		this.#forget(name);
		await this.#api.remove('BatchContent', name);
	}

	#keep(name: string, content: BatchContent) {
		this.#forget(name);
		const size = sizeOf(content);
		this.#kept.set(name, {content, size});
		this.#size += size;
		while (this.#size > maxKeptCharacters && this.#kept.size > 1) {
			this.#forget(this.#kept.keys().next().value!);
		}
	}

	#forget(name: string) {
		this.#size -= this.#kept.get(name)?.size ?? 0;
		this.#kept.delete(name);
	}
}
