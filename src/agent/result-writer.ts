/**
Commits the result of a chunk to the object API. The commit is one conditional create under a name made of job and chunk: whoever comes first wins, so neither a paused agent, nor a second coordinator, nor an answer that was lost can put an item into the results twice.
*/
import {Buffer} from 'node:buffer';
import {
	resultName, type ChunkResult, type ItemResult, type ResultPart,
} from '../common/batch-types.js';
import type {ChunkGrant} from '../common/protocol.js';
import type {Clock, ObjectApi, RandomSource} from '../common/services.js';
import type {ApiError, ObjectKind} from '../common/types.js';

/** How a commit ended. `lapsed`: the grant ended first and nothing was committed by this writer, as far as is known. */
export type CommitOutcome = 'committed' | 'lostRace' | 'lapsed';

/** What a commit needs. */
export type CommitSurroundings = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** False once the grant has lapsed or was taken back. */
	readonly isGranted: () => boolean;
};

// Leaves room for the frame around the items below the object API's limit of 1 MiB.
const maxItemsBytes = 900_000;
const firstRetryMs = 200;
const maxRetryMs = 5000;

/** Writes results of one chunk run. */
export class ResultWriter {
	readonly #around: CommitSurroundings;
	readonly #writer: string;

	/** @param writer - Unique for this run of the chunk. */
	constructor(writer: string, around: CommitSurroundings) {
		this.#writer = writer;
		this.#around = around;
	}

	/** Commits the items of a chunk; retries through outages of the object API for as long as the grant holds. */
	async commit(grant: ChunkGrant, results: readonly ItemResult[], failedBefore: number): Promise<CommitOutcome> {
		const items = results.map(item => this.#fitting(item));
		const failed = failedBefore + items.filter((item, index) => item !== results[index]).length;
		const pieces = this.#pieces(items);
		const parts = pieces.length > 1 ? pieces.map((_, index) => `${resultName(grant.results, grant.chunk)}/${this.#writer}/${index}`) : [];
		for (const [index, name] of parts.entries()) {
			const part: ResultPart = {items: pieces[index] ?? []};
			if (await this.#createOnce('ResultPart', name, part) === 'lapsed') {
				return 'lapsed';
			}
		}

		const result: ChunkResult = {
			writer: this.#writer,
			fence: grant.fence,
			completed: items.length - failed,
			failed,
			items: parts.length > 0 ? [] : items,
			parts,
		};
		return this.#createOnce('Result', resultName(grant.results, grant.chunk), result);
	}

	async #createOnce(kind: ObjectKind, name: string, value: ChunkResult | ResultPart): Promise<CommitOutcome> {
		let delayMs = firstRetryMs;
		while (this.#around.isGranted()) {
			const created = await this.#around.api.create(kind, name, value);
			if (created.isRight()) {
				return 'committed';
			}

			const err = created.extract() as ApiError;
			if (err.kind === 'conflict') {
				return this.#whoWon(err);
			}

			// `unknown` may have taken effect: the next create then conflicts with our own writer token, and `whoWon` recognises it.
			await this.#around.clock.sleep(delayMs * (0.5 + (this.#around.random.next() / 2)));
			delayMs = Math.min(delayMs * 2, maxRetryMs);
		}

		return 'lapsed';
	}

	#whoWon(err: Extract<ApiError, {kind: 'conflict'}>): CommitOutcome {
		const current = err.current?.value as ChunkResult | undefined;
		return current?.writer === this.#writer ? 'committed' : 'lostRace';
	}

	// A single answer above the object API's limit could never be committed: the chunk would be run again and again, and hold its neighbours back.
	#fitting(item: ItemResult): ItemResult {
		const isTooLarge = Buffer.byteLength(JSON.stringify(item)) > maxItemsBytes;
		return isTooLarge
			? {...item, response: null, error: {code: 'result_too_large', message: `the answer has more than ${maxItemsBytes} bytes`}}
			: item;
	}

	#pieces(items: readonly ItemResult[]): ItemResult[][] {
		return items.reduce<{pieces: ItemResult[][]; bytes: number}>((packed, item) => {
			const bytes = Buffer.byteLength(JSON.stringify(item));
			const last = packed.pieces.at(-1);
			if (!last || packed.bytes + bytes > maxItemsBytes) {
				packed.pieces.push([item]);
				return {pieces: packed.pieces, bytes};
			}

			last.push(item);
			return {pieces: packed.pieces, bytes: packed.bytes + bytes};
		}, {pieces: [], bytes: 0}).pieces;
	}
}
