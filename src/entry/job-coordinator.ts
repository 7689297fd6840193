/**
Coordinates the batch jobs of one shard while this entry holds the shard's lease: takes the jobs up, has chunks granted to agents, settles chunks that agents lost, and writes each job's status.

Nothing here is needed for exactly-once: that is the conditional create of each chunk's result. Two coordinators at once would waste work, not double it.
*/
import type {BatchJob} from '../../typings/resources.js';
import {resultName, type ChunkResult, type JobState} from '../common/batch-types.js';
import {ConcurrencyLimit} from '../common/concurrency-limit.js';
import type {Fence, JobId, Revision} from '../common/ids.js';
import {JobRun, type MissingChunk} from '../common/job-run.js';
import type {LeaseClient} from '../common/lease-client.js';
import type {ObjectApi} from '../common/services.js';
import {batchEvents} from './batch-log-events.js';
import {ChunkExchange, type ExchangeSurroundings} from './chunk-exchange.js';
import {JobReader, type JobRecord, type OpenJob} from './job-reader.js';
import {JobStatusWriter} from './job-status-writer.js';
import type {TrackedJob} from './tracked-job.js';

/** What a coordinator needs of its entry. */
export type CoordinatorSurroundings = ExchangeSurroundings & {
	readonly api: ObjectApi;
};

/** Called when there is something to do before the next round is due. */
export type WorkListener = () => void;

// One slow call must not hold up the other jobs, and a thousand jobs must not send a thousand calls at once.
const maxCalls = 16;
const retryMs = 500;

/** The jobs of one shard. */
export class JobCoordinator {
	readonly #around: CoordinatorSurroundings;
	readonly #shard: string;
	readonly #lease: LeaseClient;
	readonly #reader: JobReader;
	readonly #calls = new ConcurrencyLimit(maxCalls);
	readonly #jobs = new Map<JobId, TrackedJob>();
	readonly #waiting = new Map<JobId, OpenJob & {busy: boolean}>();
	readonly #exchange: ChunkExchange;
	readonly #onWork: WorkListener;
	#fence = 0 as Fence;
	#isReady = false;

	/** @param shard - The first character of the hash in the ids of its jobs. */
	constructor(shard: string, lease: LeaseClient, around: CoordinatorSurroundings, onWork: WorkListener) {
		this.#shard = shard;
		this.#onWork = onWork;
		this.#lease = lease;
		this.#around = around;
		this.#reader = new JobReader(around.api, around.log);
		this.#exchange = new ChunkExchange(shard, this.#jobs, around);
	}

	/** The fencing number under which the jobs were taken up; 0 when they are not. */
	get fence(): Fence {
		return this.#fence;
	}

	/**
	Takes the shard up under a new fencing number.

	@returns The version from which changes of jobs have to be followed; undefined when the lease passed on meanwhile.
	*/
	async takeOver(fence: Fence): Promise<Revision | undefined> {
		this.forget();
		this.#fence = fence;
		await this.#exchange.takeOver(fence);
		while (this.#fence === fence) {
			const open = await this.#reader.openJobs(this.#shard);
			if (open && this.#fence === fence) {
				open.jobs.forEach(job => {
					this.#learn(job);
				});
				this.#exchange.keepInherited(new Set(this.#waiting.keys()));
				this.#isReady = true;
				return open.version;
			}

			await this.#around.clock.sleep(retryMs);
		}

		return undefined;
	}

	/** Takes over a change of one of the shard's jobs. */
	changed(jobId: JobId, job: BatchJob | undefined, version: Revision): void {
		if (job) {
			this.#learn({jobId, job, version});
			this.#onWork();
			return;
		}

		this.#jobs.delete(jobId);
		this.#waiting.delete(jobId);
	}

	/**
	One round: renews, and while the lease is held grants chunks and sees to the jobs' objects.

	In an outage of the object API the lease lapses, but nobody else can take it either: the grants are renewed all the same, so that finished chunks wait at their agents for the end of the outage, and nothing new is granted. Should another coordinator have come after all, agents know its higher fencing number and refuse.
	*/
	async round(): Promise<void> {
		await this.#exchange.renewAll(this.#fence);
		if (!this.#isReady || !this.#lease.isHeld || this.#lease.fence !== this.#fence) {
			return;
		}

		await this.#exchange.handOut(this.#fence);
		this.#waiting.forEach(job => {
			void this.#adopt(job);
		});
		this.#jobs.forEach(tracked => {
			void this.#attend(tracked);
		});
	}

	/** Forgets everything, once the lease has passed on. */
	forget(): void {
		this.#fence = 0 as Fence;
		this.#isReady = false;
		this.#jobs.clear();
		this.#waiting.clear();
	}

	#learn(job: OpenJob) {
		const tracked = this.#jobs.get(job.jobId);
		if (tracked) {
			if (job.version > tracked.version) {
				tracked.run.spec = job.job.spec;
				tracked.version = job.version;
			}

			return;
		}

		const waiting = this.#waiting.get(job.jobId);
		if (!waiting || job.version > waiting.version) {
			this.#waiting.set(job.jobId, {...job, busy: false});
		}
	}

	async #adopt(waiting: OpenJob & {busy: boolean}) {
		if (waiting.busy) {
			return;
		}

		waiting.busy = true;
		const record = await this.#calls.run(async () => this.#reader.record(waiting));
		waiting.busy = false;
		if (record === undefined || this.#waiting.get(waiting.jobId) !== waiting) {
			return;
		}

		this.#waiting.delete(waiting.jobId);
		const inherited = this.#exchange.claimInherited(waiting.jobId);
		if (record !== 'ended') {
			this.#track(waiting, record, inherited);
			this.#onWork();
		}
	}

	#track({jobId, job, version}: OpenJob, {file, committed, status}: JobRecord, inherited: ReturnType<ChunkExchange['claimInherited']>) {
		const {api, clock, log, replicas} = this.#around;
		const known = status?.value.jobCreatedTime === job.spec.createdTime ? status.value : undefined;
		const run = new JobRun({
			jobId, spec: job.spec, file, committed, counted: known?.counted, startedAt: known?.startedAt ?? Math.floor(clock.wall() / 1000),
		});
		inherited.filter(({report}) => report.results === run.results).forEach(({vm, report}) => {
			run.recordGrant({
				chunk: report.chunk, vm, incarnation: replicas.get(vm)?.load?.incarnation, at: clock.now(), report,
			});
		});
		this.#jobs.set(jobId, {
			run, version, status: new JobStatusWriter(api, clock, status?.version), busy: false, wasLate: false,
		});
		log.emit(batchEvents.jobAdopted, {
			jobId, shard: this.#shard, fence: this.#fence, chunks: file.chunks.length, committed: committed.length, inherited: inherited.length,
		});
	}

	// All calls of the object API for one job, one after the other; those of other jobs go on beside it.
	async #attend(tracked: TrackedJob) {
		if (tracked.busy) {
			return;
		}

		const task = this.#taskFor(tracked);
		if (!task) {
			return;
		}

		tracked.busy = true;
		await task();
		tracked.busy = false;
	}

	#taskFor(tracked: TrackedJob): (() => Promise<unknown>) | undefined {
		const {run, status} = tracked;
		const tasks: ReadonlyArray<[boolean, () => Promise<unknown>]> = [
			[run.spec.cancelled === true, async () => this.#finishCancelled(tracked)],
			[run.missing.length > 0, async () => Promise.all(run.missing.map(async missing => this.#settleMissing(run, missing)))],
			[run.isComplete, async () => this.#finish(tracked, 'completed')],
			[status.isDue(run.startedAt), async () => this.#report(tracked, 'in_progress')],
		];
		return tasks.find(([isNeeded]) => isNeeded)?.[1];
	}

	// The agent may have committed the chunk before it went away.
	async #settleMissing(run: JobRun, missing: MissingChunk) {
		const {api, log} = this.#around;
		const result = await this.#calls.run(async () => api.get<ChunkResult>('Result', resultName(run.results, missing.chunk)));
		result
			.ifRight(({value}) => {
				run.committed(missing.chunk, value);
			})
			.ifLeft(err => {
				if (err.kind === 'notFound') {
					log.emit(batchEvents.chunkLost, {jobId: run.jobId, ...missing});
					run.lost(missing);
				}
			});
	}

	async #finishCancelled(tracked: TrackedJob) {
		const {run} = tracked;
		const committed = await this.#calls.run(async () => this.#reader.committedChunks(run.results));
		committed?.forEach(chunk => {
			run.committed(chunk, undefined);
		});
		if (committed) {
			await this.#finish(tracked, 'cancelled');
		}
	}

	async #finish(tracked: TrackedJob, state: JobState) {
		const {run} = tracked;
		await Promise.all(run.uncountedChunks.map(async chunk => this.#count(run, chunk)));
		if (run.uncountedChunks.length > 0 || !await this.#report(tracked, state) || this.#jobs.get(run.jobId) !== tracked) {
			return;
		}

		this.#exchange.takeBack(run);
		this.#jobs.delete(run.jobId);
		this.#around.log.emit(batchEvents.jobEnded, {jobId: run.jobId, state});
	}

	async #count(run: JobRun, chunk: number) {
		const result = await this.#calls.run(async () => this.#around.api.get<ChunkResult>('Result', resultName(run.results, chunk)));
		result.ifRight(({value}) => {
			run.committed(chunk, value);
		});
	}

	async #report({run, status}: TrackedJob, state: JobState): Promise<boolean> {
		return this.#calls.run(async () => status.write(run.status(state, this.#fence, Math.floor(this.#around.clock.wall() / 1000))));
	}
}
