/**
What a coordinator knows of one job: which chunks are committed, which are granted to which agent, and which still have to be. It is rebuilt from the object API whenever a coordinator takes a job over, so nothing of it needs to last.
*/
import type {BatchJobSpec} from '../../typings/resources.js';
import type {FileRecord, JobState, JobStatus} from './batch-types.js';
import type {Fence, JobId, VmName} from './ids.js';
import type {ChunkReport} from './protocol.js';

/** A chunk that an agent holds. */
export type GrantedChunk = {readonly chunk: number; readonly vm: VmName; readonly report?: ChunkReport};

/** What a job's run begins from. */
export type JobStart = {
	readonly jobId: JobId;
	readonly spec: BatchJobSpec;
	readonly file: FileRecord;
	/** Chunks whose results exist already. */
	readonly committed: readonly number[];
	/** Seconds since 1970. */
	readonly startedAt: number;
};

type Counts = {readonly completed: number; readonly failed: number};

// After this many agents were lost with a chunk, its items run one by one, to find the one that takes them down.
const lossesBeforeIsolation = 2;
const noCounts: Counts = {completed: 0, failed: 0};

/** One job at its coordinator. */
export class JobRun {
	readonly jobId: JobId;
	readonly file: FileRecord;
	spec: BatchJobSpec;
	readonly #committed = new Map<number, Counts | undefined>();
	readonly #granted = new Map<number, GrantedChunk>();
	readonly #losses = new Map<number, number>();
	readonly #startedAt: number;
	#nextChunk = 0;
	readonly #returned: number[] = [];

	constructor(start: JobStart) {
		this.jobId = start.jobId;
		this.spec = start.spec;
		this.file = start.file;
		this.#startedAt = start.startedAt;
		start.committed.forEach(chunk => {
			this.#committed.set(chunk, undefined);
		});
	}

	get target(): string {
		return `model:${this.file.model}`;
	}

	get granted(): readonly GrantedChunk[] {
		return [...this.#granted.values()];
	}

	get isComplete(): boolean {
		return this.#committed.size === this.file.chunks.length;
	}

	/** Committed chunks whose counts are not known here: results written under an earlier coordinator. */
	get uncounted(): readonly number[] {
		return [...this.#committed].filter(([, counts]) => counts === undefined).map(([chunk]) => chunk);
	}

	get committedChunks(): readonly number[] {
		return [...this.#committed.keys()];
	}

	/** The next chunk to grant; undefined when all are granted or committed. */
	takeChunk(): {readonly chunk: number; readonly isolate: boolean} | undefined {
		const chunk = this.#returned.shift() ?? this.#nextFresh();
		return chunk === undefined ? undefined : {chunk, isolate: (this.#losses.get(chunk) ?? 0) >= lossesBeforeIsolation};
	}

	/** Puts a chunk back that no agent took. */
	putBack(chunk: number): void {
		this.#returned.unshift(chunk);
	}

	grantedTo(chunk: number, vm: VmName): void {
		this.#granted.set(chunk, {chunk, vm});
	}

	reported(report: ChunkReport): void {
		const granted = this.#granted.get(report.chunk);
		if (!granted) {
			return;
		}

		if (report.state === 'committed') {
			this.committed(report.chunk, report);
			return;
		}

		this.#granted.set(report.chunk, {...granted, report});
	}

	committed(chunk: number, counts: Counts | undefined): void {
		this.#granted.delete(chunk);
		this.#committed.set(chunk, counts);
	}

	/** Takes a chunk back whose agent was lost or gave it up. */
	lost(chunk: number, isFault: boolean): void {
		this.#granted.delete(chunk);
		this.#losses.set(chunk, (this.#losses.get(chunk) ?? 0) + (isFault ? 1 : 0));
		this.#returned.push(chunk);
	}

	/** Drops all grants, of a job that was cancelled. */
	dropGrants(): void {
		this.#granted.clear();
	}

	/** The job's status; chunks under way count with what their agents reported. */
	status(state: JobState, fence: Fence, now: number): JobStatus {
		const isSealed = state === 'completed' || state === 'cancelled' || state === 'expired';
		const open = isSealed ? [] : this.granted.map(({report}) => report);
		const counts = [...this.#committed.values(), ...open].map(known => known ?? noCounts);
		const completed = counts.reduce((sum, count) => sum + count.completed, 0);
		const failed = counts.reduce((sum, count) => sum + count.failed, 0);
		return {
			jobId: this.jobId,
			state,
			total: this.file.items,
			completed,
			failed,
			fence,
			startedAt: this.#startedAt,
			...(isSealed ? {endedAt: now, sealedChunks: this.committedChunks.toSorted((a, b) => a - b)} : {estimatedEndAt: this.#estimate(completed + failed, now)}),
		};
	}

	#nextFresh(): number | undefined {
		while (this.#nextChunk < this.file.chunks.length && this.#committed.has(this.#nextChunk)) {
			this.#nextChunk += 1;
		}

		if (this.#nextChunk >= this.file.chunks.length) {
			return undefined;
		}

		this.#nextChunk += 1;
		return this.#nextChunk - 1;
	}

	#estimate(done: number, now: number): number | undefined {
		const elapsed = now - this.#startedAt;
		return done > 0 && elapsed > 0 ? Math.round(now + (elapsed / done * (this.file.items - done))) : undefined;
	}
}
