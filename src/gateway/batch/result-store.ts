/**
Stores results of batch items in the object API and reads them back. A result that alone exceeds the size of an object is stored in parts, each in a content of its own, which the page's content names; a build that does not know parts rejects such a page, and so never returns a part of a text as the text.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../../common/error-of.js';
import {jsonBytes, maxJsonBytesPerUnit} from '../../common/json-size.js';
import type {ApiError} from '../../common/types.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import type {ItemResult, SplitResult, StoredResult} from './batch-records.js';
import type {ContentStore} from './content-store.js';

/** Names of the contents that hold a page of results. */
export type StoredPage = {
	/** The content that lists the results. */
	readonly content: string;
	/** The contents that hold the parts of a result that is too large for one. */
	readonly parts: readonly string[];
};

/** The separator between two results of a list, in bytes. */
const separatorBytes = 1;

const sizes = new WeakMap<ItemResult, number>();

/** The size of a result within a list, in bytes of JSON. */
export const resultBytes = (result: ItemResult): number => {
	const known = sizes.get(result);
	if (known !== undefined) {
		return known;
	}

	const size = jsonBytes(result) + separatorBytes;
	sizes.set(result, size);
	return size;
};

/** @returns The first results that fit together, one at least if there is any. */
export const firstFitting = (results: readonly ItemResult[], maxBytes: number): ItemResult[] => {
	let bytes = 0;
	const end = results.findIndex((result, i) => {
		bytes += resultBytes(result);
		return i > 0 && bytes > maxBytes;
	});
	return end === -1 ? [...results] : results.slice(0, end);
};

/** See the module's head. */
export class ResultStore {
	readonly #contents: ContentStore;
	/** Names of the parts of results that are being written: a repeated write uses the same names, so none is written twice. */
	readonly #partNames = new WeakMap<ItemResult, readonly string[]>();

	constructor(contents: ContentStore) {
		this.#contents = contents;
	}

	/**
	Writes results that fit together, or one that exceeds the size of a page. A write that failed can be repeated under the same name.

	@param maxBytes - The size of a page, in bytes of JSON.
	*/
	async write({job, name, results}: {readonly job: BatchJobId; readonly name: string; readonly results: readonly ItemResult[]}, maxBytes: number): Promise<Either<ApiError, StoredPage>> {
		const [first] = results;
		const split = first && resultBytes(first) > maxBytes ? await this.#writeParts(job, first, maxBytes) : undefined;
		if (split?.isLeft()) {
			return Left(split.extract());
		}

		const partsOfFirst = split?.unsafeCoerce();
		const stored: readonly StoredResult[] = partsOfFirst ? [partsOfFirst] : results;
		const written = await this.#contents.write(name, {type: 'results', results: stored});
		return written.map(() => ({content: name, parts: partsOfFirst?.outputParts ?? []}));
	}

	/** @returns The result, or nothing if a content that holds it cannot be read. */
	async read(content: string, id: BatchItemId): Promise<ItemResult | undefined> {
		const read = await this.#contents.read('results', content);
		const stored = read.toMaybe().extract()?.results.find(result => result.id === id);
		return stored && ('output' in stored ? stored : this.#readParts(stored));
	}

	async #writeParts(job: BatchJobId, result: ItemResult, maxBytes: number): Promise<Either<ApiError, SplitResult>> {
		const {id, state, output} = result;
		const length = Math.floor(maxBytes / maxJsonBytesPerUnit);
		const count = Math.ceil(output.length / length);
		const known = this.#partNames.get(result);
		const names = known?.length === count ? known : Array.from({length: count}, () => this.#contents.newName(job));
		this.#partNames.set(result, names);
		for (const [i, name] of names.entries()) {
			const written = await this.#contents.write(name, {type: 'text', text: output.slice(i * length, (i + 1) * length)});
			const err = errorOf(written);
			if (err) {
				return Left(err);
			}
		}

		return Right({id, state, outputParts: names});
	}

	async #readParts({id, state, outputParts}: SplitResult): Promise<ItemResult | undefined> {
		const parts: string[] = [];
		for (const name of outputParts) {
			const read = await this.#contents.read('text', name);
			const part = read.toMaybe().extract();
			if (!part) {
				return undefined;
			}

			parts.push(part.text);
		}

		return {id, state, output: parts.join('')};
	}
}
