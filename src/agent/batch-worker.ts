/**
The agent's part in batch jobs: it holds a few chunks granted by coordinators, works them off in the room that online work leaves, and drops those whose grant lapses.
*/
import type {Fence, JobId} from '../common/ids.js';
import type {
	ChunkReport, GrantAnswer, GrantRequest, RenewAnswer, RenewRequest,
} from '../common/protocol.js';
import type {Disposable} from '../common/services.js';
import {ChunkRun, type ChunkSurroundings} from './chunk-run.js';
import type {ResultWriter} from './result-writer.js';

/** Bounds of what an agent holds. */
export type BatchLimits = {
	/** Chunks held at once, finished ones that wait for the object API included; this bounds memory. */
	readonly maxChunks: number;
	/** Items without a result below which another chunk is taken, over and above what is completed in a second. */
	readonly minItemsAhead: number;
};

type Held = {readonly run: ChunkRun; readonly shard: string; fence: Fence; round: number; ended: boolean};

const sweepMs = 250;
const sweepsPerSecond = 1000 / sweepMs;
// Weight of the latest sweep in the moving average of items a second.
const rateWeight = 0.25;
const nameOf = (key: {readonly jobId: JobId; readonly chunk: number}) => `${key.jobId}/${key.chunk}`;

/** Holds the chunks of one agent. */
export class BatchWorker implements Disposable {
	readonly #around: ChunkSurroundings;
	readonly #makeWriter: (isGranted: () => boolean) => ResultWriter;
	readonly #limits: BatchLimits;
	readonly #held = new Map<string, Held>();
	readonly #fences = new Map<string, Fence>();
	readonly #timer: NodeJS.Timeout;
	#draining = false;
	#runs = 0;
	#itemsPerSecond = 0;
	#itemsSinceSweep = 0;

	constructor(around: ChunkSurroundings, makeWriter: (isGranted: () => boolean) => ResultWriter, limits: BatchLimits) {
		this.#around = around;
		this.#makeWriter = makeWriter;
		this.#limits = limits;
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepMs);
	}

	/** Chunks that would be taken now. */
	get room(): number {
		const open = [...this.#held.values()].filter(held => !held.ended);
		const itemsAhead = open.reduce((sum, {run}) => sum + run.remaining, 0);
		// The next grants come after an exchange or two; until then there must be work.
		const wanted = this.#limits.minItemsAhead + this.#itemsPerSecond;
		return this.#draining || itemsAhead >= wanted ? 0 : Math.max(0, this.#limits.maxChunks - open.length);
	}

	/** Chunks in memory. */
	get size(): number {
		return this.#held.size;
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
	grant({shard, grant}: GrantRequest): GrantAnswer {
		if (!this.#admits(shard, grant.fence)) {
			return {accepted: false, reason: 'staleFence'};
		}

		const known = this.#held.get(nameOf(grant));
		if (known && known.run.report.results !== grant.results) {
			// The job was cleaned away and submitted anew under the same key.
			known.run.cancel();
			this.#held.delete(nameOf(grant));
		} else if (known?.run.isGranted && !known.ended) {
			this.#grantAgain(known, grant);
			return {accepted: true};
		}

		if (this.#draining || this.room === 0) {
			return {accepted: false, reason: this.#draining ? 'draining' : 'full'};
		}

		this.#begin(shard, grant);
		return {accepted: true};
	}

	/** Renews the grants that the coordinator still wants, takes back its others, and reports. Chunks that have ended are reported once. */
	renew({shard, fence, round, expiresInMs, keep}: RenewRequest): RenewAnswer {
		if (!this.#admits(shard, fence)) {
			return {accepted: false, reports: [], room: this.room};
		}

		const own = [...this.#held].filter(([, held]) => held.shard === shard && held.run.isGranted);
		const kept = keep === 'all' ? new Set(own.map(([name]) => name)) : new Set(keep.map(key => nameOf(key)));
		own.filter(([name, held]) => !kept.has(name) && held.round <= round).forEach(([name, held]) => {
			held.run.cancel();
			this.#held.delete(name);
		});
		const reports = own.filter(([name]) => kept.has(name)).map(([name, held]) => this.#renewOne(name, held, {fence, expiresInMs}));
		return {accepted: true, reports, room: this.room};
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#held.forEach(held => {
			held.run.cancel();
		});
	}

	// A coordinator that was paused, or is cut off from the object API, does not know that another has its shard. Were it obeyed, it would keep the chunks of a cancelled job alive, or take back what the other granted. The highest fencing number seen decides.
	#admits(shard: string, fence: Fence): boolean {
		if (fence < (this.#fences.get(shard) ?? 0)) {
			return false;
		}

		this.#fences.set(shard, fence);
		return true;
	}

	#begin(shard: string, grant: GrantRequest['grant']) {
		this.#runs += 1;
		const run = new ChunkRun(`${nameOf(grant)}/${this.#runs}`, grant, {
			...this.#around,
			onItem: () => {
				this.#itemsSinceSweep += 1;
			},
		}, this.#makeWriter);
		const held: Held = {
			run, shard, fence: grant.fence, round: grant.round, ended: false,
		};
		this.#held.set(nameOf(grant), held);
		void run.run().then(() => {
			held.ended = true;
		});
	}

	#renewOne(name: string, held: Held, {fence, expiresInMs}: Pick<RenewRequest, 'fence' | 'expiresInMs'>): ChunkReport {
		held.fence = fence;
		held.run.renew(expiresInMs);
		if (held.ended) {
			// Should this answer be lost, the coordinator finds the result in the object API.
			this.#held.delete(name);
		}

		return held.run.report;
	}

	// The job's shard has a new coordinator, or the answer to the first grant was lost: the work goes on.
	#grantAgain(known: Held, grant: GrantRequest['grant']) {
		known.fence = grant.fence;
		known.round = grant.round;
		known.run.renew(grant.expiresInMs);
	}

	// A grant lapses when its coordinator is gone or has cancelled the job while it could not reach us; either way the work must stop.
	#sweep() {
		[...this.#held].filter(([, held]) => !held.run.isGranted).forEach(([name, held]) => {
			held.run.cancel();
			this.#held.delete(name);
		});
		this.#itemsPerSecond += rateWeight * ((this.#itemsSinceSweep * sweepsPerSecond) - this.#itemsPerSecond);
		this.#itemsSinceSweep = 0;
	}
}
