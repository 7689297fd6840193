/**
The agent's copy of its engine's prefix cache, built from the engine's numbered events. The events arrive late and with gaps; after a gap the copy is cleared and filled again as blocks are stored: omitting a block that the engine holds is better than announcing one that it does not.
*/
import type {BlockHash} from './ids.js';
import type {CacheDrops} from './prefix-index.js';

/** One event of the engine's cache. */
export type CacheEvent = {
	readonly seq: number;
	readonly type: 'stored' | 'removed' | 'cleared';
	readonly blocks: readonly BlockHash[];
};

type Numbered = {readonly seq: number; readonly blocks: readonly BlockHash[]};

// Reports are sent several times a second; an entry that has missed more than this many events starts over with an empty index.
const maxRetainedEvents = 256;

/** The engine's blocks, and the changes that entries may not have received yet. */
export class CacheMirror {
	readonly #blocks = new Set<BlockHash>();
	readonly #handlers: Record<CacheEvent['type'], (event: CacheEvent) => void> = {
		stored: event => {
			event.blocks.forEach(block => {
				this.#blocks.add(block);
			});
		},
		removed: event => {
			event.blocks.forEach(block => {
				this.#blocks.delete(block);
			});
			this.#drops.push(event);
		},
		cleared: event => {
			this.#clear(event.seq);
		},
	};

	#drops: Numbered[] = [];
	#answers: Numbered[] = [];
	#seq = 0;
	/** Changes are complete from this number on. */
	#completeFrom = 0;

	/** The number of the last event. */
	get seq(): number {
		return this.#seq;
	}

	/** Blocks known to be held. */
	get size(): number {
		return this.#blocks.size;
	}

	/** Applies events in the order of their numbers. */
	apply(events: readonly CacheEvent[]): void {
		events.forEach(event => {
			if (event.seq !== this.#seq + 1) {
				this.#clear(event.seq);
			}

			this.#seq = event.seq;
			this.#handlers[event.type](event);
		});
		this.#trim();
	}

	/** Clears the copy, for instance when the engine did not answer and may have been restarted. */
	reset(): void {
		this.#clear(0);
		this.#seq = 0;
	}

	/** The longest prefix of a prompt's blocks that the engine is known to hold. */
	heldPrefix(prompt: readonly BlockHash[]): readonly BlockHash[] {
		const missing = prompt.findIndex(block => !this.#blocks.has(block));
		return missing === -1 ? prompt : prompt.slice(0, missing);
	}

	/** Retains the last held block of an answered prompt for the next reports; it implies all blocks before it. */
	recordAnsweredPrompt(held: readonly BlockHash[]): void {
		const tail = held.at(-1);
		if (tail) {
			this.#answers.push({seq: this.#seq, blocks: [tail]});
			this.#trim();
		}
	}

	/** The blocks dropped and the prompts answered after event `since`. */
	changesSince(since: number): CacheDrops {
		const isNew = ({seq}: Numbered) => seq > since;
		return {
			from: Math.max(since, this.#completeFrom),
			to: this.#seq,
			blocks: this.#drops.filter(isNew).flatMap(({blocks}) => blocks),
			// Answered prompts whose blocks have been dropped since are left out.
			stored: this.#answers.filter(({seq}) => seq >= since).flatMap(({blocks}) => blocks).filter(block => this.#blocks.has(block)),
		};
	}

	#clear(seq: number) {
		this.#blocks.clear();
		this.#drops = [];
		this.#answers = [];
		this.#completeFrom = seq;
	}

	#trim() {
		const excess = this.#drops.splice(0, Math.max(0, this.#drops.length - maxRetainedEvents));
		this.#completeFrom = Math.max(this.#completeFrom, excess.at(-1)?.seq ?? 0);
		this.#answers.splice(0, Math.max(0, this.#answers.length - maxRetainedEvents));
	}
}
