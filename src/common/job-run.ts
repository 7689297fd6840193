/**
A coordinator's state of one job: which chunks are committed, which are granted to which agent, and which are still to be granted. It is rebuilt from the object API whenever a coordinator takes over a job, so none of it is persisted. It takes a few bytes per chunk, whatever the number of items.
*/
import type {BatchJobSpec} from '../../typings/resources.js';
import {
	resultPrefix, type CommittedCounts, type FileRecord, type JobState, type JobStatus, type ResultPrefix,
} from './batch-types.js';
import type {Fence, JobId, VmName} from './ids.js';
import type {ChunkReport, Incarnation} from './protocol.js';

/** A chunk that an agent holds. */
export type GrantedChunk = {
	readonly chunk: number;
	readonly vm: VmName;
	/** The agent's incarnation when it was granted. */
	readonly incarnation: Incarnation | undefined;
	/** The clock's `now` when it was granted. */
	readonly at: number;
	readonly report?: ChunkReport;
};

/** A chunk that its agent no longer has; it may have been committed before. */
export type MissingChunk = {readonly chunk: number; readonly vm: VmName; readonly isFault: boolean};

/** The initial state of a job's run. */
export type JobStart = {
	readonly jobId: JobId;
	readonly spec: BatchJobSpec;
	readonly file: FileRecord;
	/** Chunks whose results exist already. */
	readonly committed: readonly number[];
	/** Those of them that an earlier coordinator has already counted. */
	readonly counted?: CommittedCounts;
	/** Seconds since 1970. */
	readonly startedAt: number;
};

type Counts = {readonly completed: number; readonly failed: number};

// After this many agents were lost while they held a chunk, its items run one by one, to identify the one that crashes them.
const lossesBeforeIsolation = 2;
const noCounts: Counts = {completed: 0, failed: 0};
const sumOf = (counts: ReadonlyArray<Counts | undefined>): Counts => ({
	completed: counts.reduce((sum, entry) => sum + (entry?.completed ?? 0), 0),
	failed: counts.reduce((sum, entry) => sum + (entry?.failed ?? 0), 0),
});

/** One job at its coordinator. */
export class JobRun {
	readonly jobId: JobId;
	readonly file: FileRecord;
	spec: BatchJobSpec;
	readonly #earlierTotals: Counts;
	readonly #committed = new Map<number, Counts | undefined>();
	readonly #granted = new Map<number, GrantedChunk>();
	readonly #missing = new Map<number, MissingChunk>();
	readonly #losses = new Map<number, number>();
	readonly #startedAt: number;
	readonly #returned: number[] = [];
	#nextChunk: number;

	constructor(start: JobStart) {
		this.jobId = start.jobId;
		this.spec = start.spec;
		this.file = start.file;
		this.#startedAt = start.startedAt;
		this.#earlierTotals = start.counted ?? noCounts;
		this.#nextChunk = start.file.chunks.length - 1;
		const counted = new Set(start.counted?.chunks);
		start.committed.forEach(chunk => {
			// Chunks counted by an earlier coordinator are included in its totals.
			this.#committed.set(chunk, counted.has(chunk) ? noCounts : undefined);
		});
	}

	/** The prefix of the names of its results. */
	get results(): ResultPrefix {
		return resultPrefix(this.jobId, this.spec);
	}

	get target(): string {
		return `model:${this.file.model}`;
	}

	/** Seconds since 1970. */
	get startedAt(): number {
		return this.#startedAt;
	}

	get granted(): readonly GrantedChunk[] {
		return [...this.#granted.values()];
	}

	get missing(): readonly MissingChunk[] {
		return [...this.#missing.values()];
	}

	/** Number of items in the chunks that agents hold. */
	get grantedItems(): number {
		return this.granted.reduce((sum, {chunk}) => sum + (this.file.chunks[chunk]?.items ?? 0), 0);
	}

	get isComplete(): boolean {
		return this.#committed.size === this.file.chunks.length;
	}

	/** True when there is a chunk to grant. */
	get hasGrantableChunk(): boolean {
		return this.#returned.some(chunk => !this.#committed.has(chunk)) || this.#peekUngranted() >= 0;
	}

	/** Committed chunks whose counts have not been read yet: their results were written under an earlier coordinator. */
	get uncountedChunks(): readonly number[] {
		return [...this.#committed].filter(([, counts]) => counts === undefined).map(([chunk]) => chunk);
	}

	get committedChunks(): readonly number[] {
		return [...this.#committed.keys()];
	}

	/**
	Takes the next chunk to grant; undefined when all are granted or committed.

	The last chunks come first: chunks grow along a file, so the small ones remain for the end, when many agents share the few that are left.
	*/
	takeChunk(): {readonly chunk: number; readonly isolate: boolean} | undefined {
		const chunk = this.#takeReturned() ?? this.#takeUngranted();
		return chunk === undefined ? undefined : {chunk, isolate: (this.#losses.get(chunk) ?? 0) >= lossesBeforeIsolation};
	}

	/** Returns a chunk that no agent accepted. */
	returnChunk(chunk: number): void {
		this.#granted.delete(chunk);
		this.#returned.unshift(chunk);
	}

	recordGrant(granted: GrantedChunk): void {
		if (!this.#committed.has(granted.chunk)) {
			this.#granted.set(granted.chunk, granted);
		}
	}

	applyReport(report: ChunkReport): void {
		const granted = this.#granted.get(report.chunk);
		if (!granted) {
			return;
		}

		const handlers: Record<ChunkReport['state'], () => void> = {
			running: () => {
				this.#granted.set(report.chunk, {...granted, report});
			},
			committing: () => {
				this.#granted.set(report.chunk, {...granted, report});
			},
			committed: () => {
				this.committed(report.chunk, report);
			},
			superseded: () => {
				this.committed(report.chunk, undefined);
			},
		};
		handlers[report.state]();
	}

	/** @param counts - Undefined when they still have to be read. */
	committed(chunk: number, counts: Counts | undefined): void {
		this.#granted.delete(chunk);
		this.#missing.delete(chunk);
		this.#committed.set(chunk, this.#committed.get(chunk) ?? counts);
	}

	/** Records that the agent no longer has a chunk. */
	missed(chunk: number, isFault: boolean): void {
		const granted = this.#granted.get(chunk);
		if (granted) {
			this.#granted.delete(chunk);
			this.#missing.set(chunk, {chunk, vm: granted.vm, isFault});
		}
	}

	/** Records that a missing chunk has no result and must be granted again. */
	lost({chunk, isFault}: MissingChunk): void {
		this.#missing.delete(chunk);
		this.#losses.set(chunk, (this.#losses.get(chunk) ?? 0) + (isFault ? 1 : 0));
		this.#returned.push(chunk);
	}

	/** Estimated end in milliseconds since 1970; undefined while no item has completed or failed. */
	estimatedEnd(nowMs: number): number | undefined {
		const {completed, failed} = this.#counts();
		const done = completed + failed;
		const elapsed = nowMs - (this.#startedAt * 1000);
		return done > 0 && elapsed > 0 ? nowMs + (elapsed / done * (this.file.items - done)) : undefined;
	}

	/**
	Returns the job's status. Only committed items are counted: those of a chunk in progress are not readable yet, and may never be if the job is cancelled.

	@param now - Seconds since 1970.
	*/
	status(state: JobState, fence: Fence, now: number): JobStatus {
		const isSealed = state === 'completed' || state === 'cancelled';
		const estimated = this.estimatedEnd(now * 1000);
		return {
			jobId: this.jobId,
			jobCreatedTime: this.spec.createdTime,
			state,
			total: this.file.items,
			...this.#committedCounts(),
			fence,
			startedAt: this.#startedAt,
			...(isSealed
				? {endedAt: now, sealedChunks: this.committedChunks.toSorted((a, b) => a - b)}
				: {counted: this.#counted(), ...(estimated !== undefined && {estimatedEndAt: Math.round(estimated / 1000)})}),
		};
	}

	#committedCounts(): Counts {
		return sumOf([this.#earlierTotals, ...this.#committed.values()]);
	}

	#counts(): Counts {
		return sumOf([this.#committedCounts(), ...this.granted.map(({report}) => report)]);
	}

	#counted(): CommittedCounts {
		const chunks = [...this.#committed].filter(([, counts]) => counts !== undefined).map(([chunk]) => chunk);
		return {chunks, ...this.#committedCounts()};
	}

	// A lost chunk may have been committed after all by the agent that was unreachable.
	#takeReturned(): number | undefined {
		const index = this.#returned.findIndex(chunk => !this.#committed.has(chunk));
		return index === -1 ? undefined : this.#returned.splice(0, index + 1).at(-1);
	}

	#peekUngranted(): number {
		while (this.#nextChunk >= 0 && (this.#committed.has(this.#nextChunk) || this.#granted.has(this.#nextChunk))) {
			this.#nextChunk -= 1;
		}

		return this.#nextChunk;
	}

	#takeUngranted(): number | undefined {
		const chunk = this.#peekUngranted();
		if (chunk < 0) {
			return undefined;
		}

		this.#nextChunk -= 1;
		return chunk;
	}
}
