/**
One batch job as its records tell it.
*/
import type {Revision} from '../../common/ids.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import {
	tokensOf, type BatchItem, type ItemProgress, type ItemResult, type JobRecord, type PageRecord,
} from './batch-records.js';

/** Mutable: the book of jobs writes it, everything else reads. */
export class BatchJob {
	readonly record: JobRecord;
	/** The object API's version at which the job was created. */
	readonly revision: Revision;
	/** Whether it fitted when it was created. */
	readonly isAdmitted: boolean;
	readonly tokens: number;
	readonly #items: ReadonlyMap<BatchItemId, BatchItem>;
	readonly #listed = new Set<BatchItemId>();
	readonly #results: ItemResult[] = [];
	readonly #progress = new Map<BatchItemId, ItemProgress>();
	#pages = 0;
	#listedTokens = 0;
	#hasEnded = false;

	constructor(record: JobRecord, revision: Revision, isAdmitted: boolean) {
		this.record = record;
		this.revision = revision;
		this.isAdmitted = isAdmitted;
		this.tokens = tokensOf(record.items);
		this.#items = new Map(record.items.map(item => [item.id, item]));
	}

	get id(): BatchJobId {
		return this.record.job;
	}

	/** Its results so far, by position. */
	get results(): readonly ItemResult[] {
		return this.#results;
	}

	/** How many pages there are, which is the number of the next. */
	get pages(): number {
		return this.#pages;
	}

	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Whether results are still to come. */
	get isOpen(): boolean {
		return this.isAdmitted && !this.#hasEnded && this.#listed.size < this.#items.size;
	}

	/** Tokens of its items that have no result. */
	get waitingTokens(): number {
		return this.isAdmitted && !this.#hasEnded ? this.tokens - this.#listedTokens : 0;
	}

	item(id: BatchItemId): BatchItem | undefined {
		return this.#items.get(id);
	}

	isListed(id: BatchItemId): boolean {
		return this.#listed.has(id);
	}

	/** What a process that shut down had of an item. */
	progressOf(id: BatchItemId): ItemProgress | undefined {
		return this.#progress.get(id);
	}

	end(): void {
		this.#hasEnded = true;
	}

	/** @returns Whether the page is the next one; any other is known already or not a page of this job. */
	addPage({number, results}: PageRecord): boolean {
		if (number !== this.#pages) {
			return false;
		}

		this.#pages += 1;
		results.forEach(result => {
			this.#add(result);
		});
		return true;
	}

	/** The longer progress of an item counts; each is a prefix of the same text or belongs to a run that failed before. */
	addProgress(items: readonly ItemProgress[]): void {
		items.filter(({id}) => this.#items.has(id)).forEach(progress => {
			const known = this.#progress.get(progress.id);
			if (!known || progress.events.length > known.events.length) {
				this.#progress.set(progress.id, progress);
			}
		});
	}

	/** An item has one position: a second result for it, which no writer makes, would be left out. */
	#add(result: ItemResult) {
		const item = this.#items.get(result.id);
		if (item && !this.#listed.has(result.id)) {
			this.#listed.add(result.id);
			this.#listedTokens += item.tokens;
			this.#results.push(result);
			this.#progress.delete(result.id);
		}
	}
}
