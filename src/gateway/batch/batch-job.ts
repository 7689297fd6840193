/**
The state of one batch job, derived from its records.
*/
import type {Revision} from '../../common/ids.js';
import type {BatchItemId, BatchJobId, ClientAccountName} from '../types.js';
import {
	tokensOf, type ItemSummary, type JobRecord, type PageRecord, type ResultSummary,
} from './batch-records.js';

/** A result on a page, with the content that holds its text. */
export type CommittedResult = ResultSummary & {
	/** The name of the page's content. */
	readonly content: string;
};

/** Mutable: only the job index modifies it, all other code reads it. */
export class BatchJob {
	readonly record: JobRecord;
	/** The object API's version at which the job was created. */
	readonly revision: Revision;
	/** Whether its record is not in the object API yet; nothing that refers to it may be written before. */
	readonly isHeld: boolean;
	readonly tokens: number;
	readonly #items: ReadonlyMap<BatchItemId, ItemSummary>;
	readonly #committed = new Set<BatchItemId>();
	readonly #results: CommittedResult[] = [];
	readonly #partContents: string[] = [];
	readonly #handoverContents: string[] = [];
	readonly #handoverRecords: string[] = [];
	#pageCount = 0;
	#committedTokens = 0;
	#isAdmitted: boolean;
	#hasEnded = false;
	#isEndRequested = false;

	constructor(record: JobRecord, revision: Revision, {isAdmitted, isHeld = false}: {isAdmitted: boolean; isHeld?: boolean}) {
		this.record = record;
		this.revision = revision;
		this.#isAdmitted = isAdmitted;
		this.isHeld = isHeld;
		this.tokens = tokensOf(record.items);
		this.#items = new Map(record.items.map(item => [item.id, item]));
	}

	get id(): BatchJobId {
		return this.record.job;
	}

	/** Whether it fitted under the limit of waiting tokens when it was created, by the records that precede it. */
	get isAdmitted(): boolean {
		return this.#isAdmitted;
	}

	/** Its committed results, by position. */
	get results(): readonly CommittedResult[] {
		return this.#results;
	}

	/** The number of pages, which is also the number of the next page. */
	get pageCount(): number {
		return this.#pageCount;
	}

	/** Names of the contents of its pages, and of the parts of its results. */
	get pageContents(): readonly string[] {
		return [...new Set([...this.#results.map(({content}) => content), ...this.#partContents])];
	}

	/** Names of its handover records. */
	get handoverRecords(): readonly string[] {
		return this.#handoverRecords;
	}

	/** Whether a record of its end exists. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Whether the job was admitted, has not ended, was not asked to end here, and lacks results. */
	get isOpen(): boolean {
		return this.isAdmitted && !this.#hasEnded && !this.#isEndRequested && this.#committed.size < this.#items.size;
	}

	/** Tokens of its items that have no result, by its records alone; 0 if it was not admitted or has ended. */
	get waitingTokens(): number {
		return this.isAdmitted && !this.#hasEnded ? this.tokens - this.#committedTokens : 0;
	}

	/** The part of its waiting tokens that become free once the record of its end exists. */
	get endingTokens(): number {
		return this.#isEndRequested ? this.waitingTokens : 0;
	}

	/** Names of the contents with the progress from processes that shut down. */
	get handoverContents(): readonly string[] {
		return this.#handoverContents;
	}

	/** Whether the account may read, end and resubmit the job. A job that was accepted without an account is accessible to all. */
	isAccessibleTo(account: ClientAccountName | undefined): boolean {
		return this.record.account === undefined || this.record.account === account;
	}

	has(id: BatchItemId): boolean {
		return this.#items.has(id);
	}

	isCommitted(id: BatchItemId): boolean {
		return this.#committed.has(id);
	}

	/** Only admitted jobs have further records, so any of them shows that the job was admitted. */
	admit(): void {
		this.#isAdmitted = true;
	}

	/** The record of its end exists. */
	end(): void {
		this.#hasEnded = true;
	}

	/** Its caller has asked this process to end it; the record of the end may not exist yet. */
	requestEnd(): void {
		this.#isEndRequested = true;
	}

	/**
	Adds a page if it is the next one.

	@returns Whether it was added; any other page has been added before or is not a page of this job.
	*/
	addPage({number, results, content, parts = []}: PageRecord): boolean {
		if (number !== this.#pageCount) {
			return false;
		}

		this.#pageCount += 1;
		this.#partContents.push(...parts);
		results.forEach(result => {
			this.#add({...result, content});
		});
		return true;
	}

	/**
	@param content - The name of the content with the progress.
	@param record - The name of the handover record.
	*/
	addHandover(content: string, record: string): void {
		this.#handoverContents.push(content);
		this.#handoverRecords.push(record);
	}

	/** An item has one position: a second result for it, which no writer creates, would be ignored. */
	#add(result: CommittedResult) {
		const item = this.#items.get(result.id);
		if (item && !this.#committed.has(result.id)) {
			this.#committed.add(result.id);
			this.#committedTokens += item.tokens;
			this.#results.push(result);
		}
	}
}
