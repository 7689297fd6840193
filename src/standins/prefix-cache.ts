/**
The engine's cache of prompt prefixes: a bounded set of block hashes, of which the least recently used are dropped.
*/
import type {BlockHash} from '../common/ids.js';

/** What an insertion changed. */
export type CacheChange = {
	readonly stored: readonly BlockHash[];
	readonly removed: readonly BlockHash[];
};

/** Block hashes in the order of their last use. */
export class PrefixCache {
	readonly #limit: number;
	readonly #blocks = new Set<BlockHash>();

	/** @param limit - The most blocks it holds. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** The number of blocks at the start of a prompt that are cached; marks them as used. */
	match(blocks: readonly BlockHash[]): number {
		const firstMissing = blocks.findIndex(block => !this.#blocks.has(block));
		const count = firstMissing === -1 ? blocks.length : firstMissing;
		this.#touch(blocks.slice(0, count));
		return count;
	}

	/** Adds the blocks of a prompt that was computed. */
	insert(blocks: readonly BlockHash[]): CacheChange {
		const stored = blocks.filter(block => !this.#blocks.has(block));
		this.#touch(blocks);
		const excess = Math.max(0, this.#blocks.size - this.#limit);
		return {stored, removed: this.#removeOldest(excess)};
	}

	clear(): void {
		this.#blocks.clear();
	}

	#removeOldest(count: number): BlockHash[] {
		const removed: BlockHash[] = [];
		for (const block of this.#blocks) {
			if (removed.length === count) {
				break;
			}

			this.#blocks.delete(block);
			removed.push(block);
		}

		return removed;
	}

	// The first block is touched last: dropping a prompt's end first leaves a prefix of use, dropping its start would leave none.
	#touch(blocks: readonly BlockHash[]): void {
		blocks.toReversed().forEach(block => {
			this.#blocks.delete(block);
			this.#blocks.add(block);
		});
	}
}
