/**
The agent's part in batch jobs: it holds a few chunks granted by coordinators, works them off in the room that online work leaves, and drops those whose grant lapses.
*/
import type {ChunkGrant, ChunkReport} from '../common/protocol.js';
import type {Fence, JobId} from '../common/ids.js';
import type {Disposable} from '../common/services.js';
import {ChunkRun, type ChunkSurroundings} from './chunk-run.js';
import type {ResultWriter} from './result-writer.js';

/** Names a grant. */
export type GrantKey = {readonly jobId: JobId; readonly chunk: number};

/** What a coordinator asks when it renews its grants at this agent. */
export type RenewRequest = {
	/** The coordinator's name; grants of others are left alone. */
	readonly holder: string;
	readonly expiresInMs: number;
	/** The grants that stay; all others of this holder are taken back. */
	readonly keep: readonly GrantKey[];
};

/** A grant, as a coordinator sends it. */
export type GrantRequest = {readonly holder: string; readonly grant: ChunkGrant};

/** Whether a grant was taken. */
export type GrantAnswer = {readonly accepted: boolean; readonly reason?: 'draining' | 'full' | 'staleFence'};

type Held = {readonly run: ChunkRun; holder: string; fence: Fence; ended: boolean};

const sweepMs = 250;
const nameOf = (key: GrantKey) => `${key.jobId}/${key.chunk}`;

/** Holds the chunks of one agent. */
export class BatchWorker implements Disposable {
	readonly #around: ChunkSurroundings;
	readonly #makeWriter: (isGranted: () => boolean) => ResultWriter;
	readonly #maxChunks: number;
	readonly #held = new Map<string, Held>();
	readonly #timer: NodeJS.Timeout;
	#draining = false;
	#runs = 0;

	/** @param maxChunks - Chunks held at once, finished ones that wait for the object API included; this bounds memory. */
	constructor(around: ChunkSurroundings, makeWriter: (isGranted: () => boolean) => ResultWriter, maxChunks: number) {
		this.#around = around;
		this.#makeWriter = makeWriter;
		this.#maxChunks = maxChunks;
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepMs);
	}

	/** Chunks that would be taken now. */
	get room(): number {
		return this.#draining ? 0 : Math.max(0, this.#maxChunks - this.#openCount());
	}

	/** Takes no new chunks, and gives back those that are not being committed: their coordinator grants them elsewhere. */
	drain(): void {
		this.#draining = true;
		[...this.#held.values()].filter(held => held.run.report.state === 'running').forEach(held => {
			held.run.cancel();
		});
	}

	/** True while a result is being committed. */
	get isCommitting(): boolean {
		return [...this.#held.values()].some(held => held.run.isGranted && held.run.report.state === 'committing');
	}

	/** Takes a chunk. A grant that repeats one already held is taken again; one from a coordinator whose lease has passed on is refused. */
	grant({holder, grant}: GrantRequest): GrantAnswer {
		const known = this.#held.get(nameOf(grant));
		if (known?.run.isGranted) {
			return this.#grantAgain(known, holder, grant);
		}

		if (this.room === 0) {
			return {accepted: false, reason: this.#draining ? 'draining' : 'full'};
		}

		this.#runs += 1;
		const run = new ChunkRun(`${nameOf(grant)}/${this.#runs}`, grant, this.#around, this.#makeWriter);
		const held: Held = {
			run, holder, fence: grant.fence, ended: false,
		};
		this.#held.set(nameOf(grant), held);
		void run.run().then(() => {
			held.ended = true;
		});
		return {accepted: true};
	}

	/** Renews the grants that the coordinator still wants, takes back its others, and reports. */
	renew({holder, expiresInMs, keep}: RenewRequest): ChunkReport[] {
		const kept = new Set(keep.map(key => nameOf(key)));
		const own = [...this.#held].filter(([, held]) => held.holder === holder);
		own.filter(([name]) => !kept.has(name)).forEach(([name, held]) => {
			held.run.cancel();
			this.#held.delete(name);
		});
		return own.filter(([name, held]) => kept.has(name) && held.run.isGranted).map(([, held]) => {
			held.run.renew(expiresInMs);
			return held.run.report;
		});
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#held.forEach(held => {
			held.run.cancel();
		});
	}

	#grantAgain(known: Held, holder: string, grant: ChunkGrant): GrantAnswer {
		if (grant.fence < known.fence) {
			return {accepted: false, reason: 'staleFence'};
		}

		// The job's shard has a new coordinator: the work goes on under it.
		known.holder = holder;
		known.fence = grant.fence;
		known.run.renew(grant.expiresInMs);
		return {accepted: true};
	}

	#openCount() {
		return [...this.#held.values()].filter(held => !held.ended).length;
	}

	// A grant lapses when its coordinator is gone or has cancelled the job while it could not reach us; either way the work must stop.
	#sweep() {
		[...this.#held].filter(([, held]) => !held.run.isGranted).forEach(([name, held]) => {
			held.run.cancel();
			this.#held.delete(name);
		});
	}
}
