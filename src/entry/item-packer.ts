/**
Packs the lines of an uploaded batch file into input chunks and stores them as they fill, so that memory does not grow with the file. A chunk is named by its content: an upload that is repeated, or resumed after a lost answer, writes nothing anew.

Chunks grow along the file: how many items will come is not known while they are packed, and a small job in chunks of the largest size would keep a few agents busy and leave all others idle. Chunks are granted from the end of the file, so that the small ones are left for the end of a large job too.
*/
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {BatchItem, InputChunk} from '../common/batch-types.js';
import {FingerprintSet} from '../common/fingerprint-set.js';
import {isNestedDeeper, maxJsonDepth} from '../common/json-depth.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {ApiError as PlatformError} from '../common/types.js';
import {invalidRequest, unavailable, type ApiError} from './api-error.js';

/** Limits of a file. */
export type PackLimits = {
	readonly maxItems: number;
	/** Items in one chunk at most. */
	readonly chunkItems: number;
	/** Items in the first chunks; at most `chunkItems`. */
	readonly minChunkItems: number;
	/** Bytes of a file at most. Bounds its record, which names every chunk and has to fit one value. */
	readonly maxFileBytes: number;
	/** Bytes of one chunk at most; well below the object API's limit. */
	readonly chunkBytes: number;
};

/** What was packed. */
export type PackedFile = {
	readonly model: string;
	readonly endpoint: string;
	readonly items: number;
	readonly chunks: ReadonlyArray<{readonly name: string; readonly items: number}>;
	/** SHA-256 over the chunks' names, in hex. */
	readonly digest: string;
};

// While this many chunks of the present size have not come, chunks do not grow.
const chunksBeforeGrowth = 64;
const endpoints = new Set(['/v1/chat/completions', '/v1/completions']);
const storeTries = 3;
const storePauseMs = 200;
const comeBackMs = 5000;
const nameLength = 40;

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Takes lines and stores chunks. */
export class ItemPacker {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	readonly #limits: PackLimits;
	readonly #chunks: Array<{name: string; items: number}> = [];
	readonly #ids = new FingerprintSet();
	#items: BatchItem[] = [];
	#bytes = 0;
	#fileBytes = 0;
	#lines = 0;
	#model = '';
	#endpoint = '';

	constructor(api: ObjectApi, clock: Clock, limits: PackLimits) {
		this.#api = api;
		this.#clock = clock;
		this.#limits = limits;
	}

	/** Takes one line, without its line break. Empty lines are passed over. */
	async add(line: string): Promise<Either<ApiError, void>> {
		this.#lines += 1;
		this.#fileBytes += Buffer.byteLength(line);
		if (line.trim() === '') {
			return Right(undefined);
		}

		if (this.#fileBytes > this.#limits.maxFileBytes) {
			return Left(invalidRequest(`the file has more than ${this.#limits.maxFileBytes} bytes`, {param: 'file', status: 413}));
		}

		const parsed = this.#parse(line);
		return parsed.isLeft() ? Left(parsed.extract()) : this.#append(parsed.extract() as BatchItem);
	}

	/** Stores the last chunk. */
	async finish(): Promise<Either<ApiError, PackedFile>> {
		if (this.#ids.size === 0) {
			return Left(invalidRequest('the file holds no items', {param: 'file'}));
		}

		const stored = this.#items.length > 0 ? await this.#store() : Right<void, ApiError>(undefined);
		return stored.map(() => ({
			model: this.#model,
			endpoint: this.#endpoint,
			items: this.#ids.size,
			chunks: this.#chunks,
			digest: createHash('sha256').update(this.#chunks.map(({name}) => name).join(' ')).digest('hex'),
		}));
	}

	async #append(item: BatchItem): Promise<Either<ApiError, void>> {
		// In bytes, not in characters: a character of Bengali is three.
		const bytes = Buffer.byteLength(JSON.stringify(item)) + 1;
		const isFull = this.#items.length >= this.#chunkItems || this.#bytes + bytes > this.#limits.chunkBytes;
		const stored = isFull && this.#items.length > 0 ? await this.#store() : Right<void, ApiError>(undefined);
		this.#items.push(item);
		this.#bytes += bytes;
		return stored;
	}

	get #chunkItems(): number {
		const {minChunkItems, chunkItems} = this.#limits;
		const grown = Math.ceil(this.#ids.size / chunksBeforeGrowth);
		return Math.min(chunkItems, Math.max(minChunkItems, grown));
	}

	#fail(message: string): Either<ApiError, BatchItem> {
		return Left(invalidRequest(`line ${this.#lines}: ${message}`, {param: 'file', code: 'invalid_line'}));
	}

	#parse(line: string): Either<ApiError, BatchItem> {
		let item: unknown;
		try {
			item = JSON.parse(line);
		} catch {
			return this.#fail('is not JSON');
		}

		if (isNestedDeeper(item)) {
			return this.#fail(`is nested more than ${maxJsonDepth} levels deep`);
		}

		if (!isRecord(item) || typeof item.custom_id !== 'string' || !isRecord(item.body) || typeof item.body.model !== 'string') {
			return this.#fail('wants custom_id, url and a body with a model');
		}

		return this.#check(item as BatchItem & {body: {model: string}});
	}

	#check(item: BatchItem & {body: {model: string}}): Either<ApiError, BatchItem> {
		this.#model ||= item.body.model;
		this.#endpoint ||= item.url;
		const faults: ReadonlyArray<[boolean, string]> = [
			[!endpoints.has(item.url), `url must be one of ${[...endpoints].join(', ')}`],
			[item.url !== this.#endpoint, 'all items must have the same url'],
			[item.body.model !== this.#model, 'all items must name the same model'],
			[this.#ids.size >= this.#limits.maxItems, `more than ${this.#limits.maxItems} items`],
			[!this.#ids.add(item.custom_id), `custom_id ${item.custom_id} stands twice`],
		];
		const fault = faults.find(([isFault]) => isFault);
		if (fault) {
			return this.#fail(fault[1]);
		}

		const {stream: _, stream_options: __, ...body} = item.body as Record<string, unknown>;
		return Right({
			custom_id: item.custom_id, method: 'POST', url: item.url, body,
		});
	}

	async #store(): Promise<Either<ApiError, void>> {
		const chunk: InputChunk = {items: this.#items};
		const name = createHash('sha256').update(JSON.stringify(chunk)).digest('hex').slice(0, nameLength);
		for (let tries = 0; tries < storeTries; tries += 1) {
			const created = await this.#api.create('InputChunk', name, chunk);
			const isThere = created.isRight() || (created.extract() as PlatformError).kind === 'conflict';
			if (isThere) {
				this.#chunks.push({name, items: this.#items.length});
				this.#items = [];
				this.#bytes = 0;
				return Right(undefined);
			}

			if ((created.extract() as PlatformError).kind === 'tooLarge') {
				// A chunk with more than one item is below `chunkBytes`.
				return Left(invalidRequest(`line ${this.#lines}: the item is too large`, {param: 'file'}));
			}

			await this.#clock.sleep(storePauseMs);
		}

		return Left(unavailable('the file could not be stored, try again', comeBackMs));
	}
}
