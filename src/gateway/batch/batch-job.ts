/**
One batch job as its records tell it.
*/
import type {Revision} from '../../common/ids.js';
import type {BatchItemId, BatchJobId, ClientAccountName} from '../types.js';
import {
	tokensOf, type ItemSummary, type JobRecord, type PageRecord, type ResultSummary,
} from './batch-records.js';

/** Where the text of a result stands. */
export type CommittedResult = ResultSummary & {
	/** The name of the page's content. */
	readonly content: string;
};

/** Mutable: the book of jobs writes it, everything else reads. */
export class BatchJob {
	readonly record: JobRecord;
	/** The object API's version at which the job was created. */
	readonly revision: Revision;
	/** Whether it fitted when it was created. */
	readonly isAdmitted: boolean;
	/** Whether its record is still to come to stand in the object API: nothing that refers to it may be written before. */
	readonly isHeld: boolean;
	readonly tokens: number;
	readonly #items: ReadonlyMap<BatchItemId, ItemSummary>;
	readonly #listed = new Set<BatchItemId>();
	readonly #results: CommittedResult[] = [];
	readonly #handovers: string[] = [];
	readonly #handoverRecords: string[] = [];
	#pages = 0;
	#listedTokens = 0;
	#hasEnded = false;

	constructor(record: JobRecord, revision: Revision, {isAdmitted, isHeld = false}: {isAdmitted: boolean; isHeld?: boolean}) {
		this.record = record;
		this.revision = revision;
		this.isAdmitted = isAdmitted;
		this.isHeld = isHeld;
		this.tokens = tokensOf(record.items);
		this.#items = new Map(record.items.map(item => [item.id, item]));
	}

	get id(): BatchJobId {
		return this.record.job;
	}

	/** Its results so far, by position. */
	get results(): readonly CommittedResult[] {
		return this.#results;
	}

	/** How many pages there are, which is the number of the next. */
	get pageCount(): number {
		return this.#pages;
	}

	/** Names of the contents of its pages. */
	get pageContents(): readonly string[] {
		return [...new Set(this.#results.map(({content}) => content))];
	}

	/** Names of its hand-over records. */
	get handoverRecords(): readonly string[] {
		return this.#handoverRecords;
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

	/** Names of the contents that processes which shut down have left. */
	get handoverContents(): readonly string[] {
		return this.#handovers;
	}

	/** Whether the account may read, end and resubmit the job. A job that was accepted without an account is open to all. */
	isAccessibleTo(account: ClientAccountName | undefined): boolean {
		return this.record.account === undefined || this.record.account === account;
	}

	has(id: BatchItemId): boolean {
		return this.#items.has(id);
	}

	isCommitted(id: BatchItemId): boolean {
		return this.#listed.has(id);
	}

	end(): void {
		this.#hasEnded = true;
	}

	/** @returns Whether the page is the next one; any other is known already or not a page of this job. */
	addPage({number, results, content}: PageRecord): boolean {
		if (number !== this.#pages) {
			return false;
		}

		this.#pages += 1;
		results.forEach(result => {
			this.#add({...result, content});
		});
		return true;
	}

	/**
	@param content - The name of what was left.
	@param record - The name of the record that says so.
	*/
	addHandover(content: string, record: string): void {
		this.#handovers.push(content);
		this.#handoverRecords.push(record);
	}

	/** An item has one position: a second result for it, which no writer makes, would be left out. */
	#add(result: CommittedResult) {
		const item = this.#items.get(result.id);
		if (item && !this.#listed.has(result.id)) {
			this.#listed.add(result.id);
			this.#listedTokens += item.tokens;
			this.#results.push(result);
		}
	}
}
