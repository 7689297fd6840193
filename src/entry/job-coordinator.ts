/**
Coordinates the batch jobs of one shard while this entry holds the shard's lease: grants chunks to agents with room, renews the grants, and writes each job's status.

Nothing here is needed for exactly-once: that is the conditional create of each chunk's result. Two coordinators at once would waste work, not double it.
*/
import type {BatchJob} from '../../typings/resources.js';
import {
	chunkOfResultName, resultName, type ChunkResult, type FileRecord, type JobState, type JobStatus,
} from '../common/batch-types.js';
import {branded, type JobId, type VmName} from '../common/ids.js';
import {JobRun} from '../common/job-run.js';
import type {LeaseKeeper} from '../common/lease-keeper.js';
import type {ChunkGrant, ChunkReport} from '../common/protocol.js';
import type {ReplicaTable, ReplicaView} from '../common/replica-table.js';
import type {Clock, EventLog, ObjectApi} from '../common/services.js';
import type {ApiError, ObjectPage, StoredObject} from '../common/types.js';
import type {GrantAnswer} from '../agent/batch-worker.js';
import type {RpcClient} from '../platform/rpc-client.js';
import {batchEvents} from './batch-log-events.js';

/** What a coordinator needs of its entry. */
export type CoordinatorSurroundings = {
	readonly api: ObjectApi;
	readonly rpc: RpcClient;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaTable;
	/** Names this process towards agents. */
	readonly holder: string;
	/** The share of an account. */
	readonly shareOf: (account: string) => number;
};

const grantTtlMs = 6000;
const rpcTimeoutMs = 1000;
const statusIntervalMs = 2000;
const endedStates: ReadonlySet<JobState> = new Set(['completed', 'cancelled', 'expired', 'failed']);

type Tracked = {readonly run: JobRun; statusAt: number; lastStatus: string};

/** The jobs of one shard. */
export class JobCoordinator {
	readonly #around: CoordinatorSurroundings;
	readonly #shard: string;
	readonly #lease: LeaseKeeper;
	readonly #jobs = new Map<JobId, Tracked>();
	readonly #ended = new Set<JobId>();

	/** @param shard - The first character of the hash in the ids of its jobs. */
	constructor(shard: string, lease: LeaseKeeper, around: CoordinatorSurroundings) {
		this.#shard = shard;
		this.#lease = lease;
		this.#around = around;
	}

	/** Reads the shard's jobs. To be called when the lease was taken, and every second or two. */
	async refresh(): Promise<void> {
		const page = await this.#around.api.list<BatchJob>('BatchJob', {prefix: `batch_${this.#shard}`, limit: 1000});
		if (page.isLeft()) {
			return;
		}

		const {items} = page.extract() as ObjectPage<BatchJob>;
		for (const {name, value} of items) {
			await this.#refreshJob(branded(name), value);
		}
	}

	/** One round: renew, grant, end what is complete, report. */
	async tick(): Promise<void> {
		await this.#renewAll();
		if (!this.#lease.isHeld) {
			return;
		}

		const byUrgency = [...this.#jobs.values()].toSorted((a, b) => a.run.spec.dueTime < b.run.spec.dueTime ? -1 : 1);
		for (const tracked of byUrgency) {
			await this.#advance(tracked);
		}
	}

	/** Forgets everything, once the lease has passed on. */
	forget(): void {
		this.#jobs.clear();
		this.#ended.clear();
	}

	async #refreshJob(jobId: JobId, job: BatchJob) {
		const known = this.#jobs.get(jobId);
		if (known) {
			known.run.spec = job.spec;
			return;
		}

		if (!this.#ended.has(jobId)) {
			await this.#adopt(jobId, job);
		}
	}

	async #adopt(jobId: JobId, job: BatchJob) {
		const {api, clock, log} = this.#around;
		const status = await api.get<JobStatus>('JobStatus', jobId);
		const known = status.map(({value}) => value).toMaybe().extract();
		if (known && endedStates.has(known.state)) {
			this.#ended.add(jobId);
			return;
		}

		const file = await api.get<FileRecord>('File', job.spec.inputFileId);
		const committed = await this.#committedChunks(jobId);
		const isNew = status.isLeft() && (status.extract()).kind === 'notFound';
		if (file.isLeft() || !committed || (status.isLeft() && !isNew)) {
			return;
		}

		const {value} = file.extract() as StoredObject<FileRecord>;
		const startedAt = known?.startedAt ?? Math.floor(clock.wall() / 1000);
		const run = new JobRun({
			jobId, spec: job.spec, file: value, committed, startedAt,
		});
		this.#jobs.set(jobId, {run, statusAt: Number.NEGATIVE_INFINITY, lastStatus: ''});
		log.emit(batchEvents.jobAdopted, {
			jobId, shard: this.#shard, fence: this.#lease.fence, chunks: value.chunks.length, committed: committed.length,
		});
	}

	async #committedChunks(jobId: JobId): Promise<number[] | undefined> {
		const chunks: number[] = [];
		let after: string | undefined;
		let more = true;
		while (more) {
			const page = await this.#around.api.list('Result', {
				prefix: `${jobId}/`, after, values: false, limit: 1000,
			});
			if (page.isLeft()) {
				return undefined;
			}

			const read = page.extract() as ObjectPage;
			chunks.push(...read.items.map(item => chunkOfResultName(item.name)));
			after = read.items.at(-1)?.name;
			more = read.more;
		}

		return chunks;
	}

	// One call an agent, whatever the number of jobs and chunks.
	async #renewAll() {
		const runs = [...this.#jobs.values()].map(({run}) => run);
		const keepByVm = new Map<VmName, Array<{jobId: JobId; chunk: number}>>();
		runs.flatMap(run => run.granted.map(granted => ({run, granted}))).forEach(({run, granted}) => {
			const keep = keepByVm.get(granted.vm) ?? [];
			keepByVm.set(granted.vm, keep);
			if (!run.spec.cancelled) {
				keep.push({jobId: run.jobId, chunk: granted.chunk});
			}
		});
		await Promise.all([...keepByVm].map(async ([vm, keep]) => this.#renew(vm, keep)));
	}

	async #renew(vm: VmName, keep: ReadonlyArray<{jobId: JobId; chunk: number}>) {
		const replica = this.#around.replicas.get(vm);
		const params = {holder: this.#holder, expiresInMs: grantTtlMs, keep};
		const answer = replica
			? await this.#around.rpc.call<ChunkReport[]>({address: replica.address, timeoutMs: rpcTimeoutMs}, 'batch.renew', params)
			: undefined;
		if (answer?.isLeft() && replica?.load && this.#around.clock.now() - replica.heardAt < grantTtlMs) {
			// Not heard for a moment: the grants have not lapsed yet, and the agent may be about to commit.
			return;
		}

		const reports = answer?.isRight() ? answer.extract() : undefined;
		await this.#settle(vm, keep, reports);
	}

	get #holder() {
		return `${this.#around.holder}/${this.#shard}`;
	}

	async #settle(vm: VmName, keep: ReadonlyArray<{jobId: JobId; chunk: number}>, reports: readonly ChunkReport[] | undefined) {
		const reported = new Map((reports ?? []).map(report => [resultName(report.jobId, report.chunk), report]));
		for (const {jobId, chunk} of keep) {
			const run = this.#jobs.get(jobId)?.run;
			const report = reported.get(resultName(jobId, chunk));
			if (run && report) {
				run.reported(report);
			} else if (run) {
				await this.#settleLost(run, chunk, vm, reports === undefined);
			}
		}
	}

	// The agent no longer has the chunk. It may have committed it before it went away.
	async #settleLost(run: JobRun, chunk: number, vm: VmName, isFault: boolean) {
		const result = await this.#around.api.get<ChunkResult>('Result', resultName(run.jobId, chunk));
		if (result.isRight()) {
			run.committed(chunk, (result.extract()).value);
			return;
		}

		if ((result.extract() as ApiError).kind === 'notFound') {
			this.#around.log.emit(batchEvents.chunkLost, {
				jobId: run.jobId, chunk, vm, isFault,
			});
			run.lost(chunk, isFault);
		}
	}

	async #advance(tracked: Tracked) {
		const {run} = tracked;
		if (run.spec.cancelled) {
			await this.#finishCancelled(tracked);
			return;
		}

		if (run.isComplete) {
			await this.#finish(tracked, 'completed');
			return;
		}

		await this.#grantMore(run);
		await this.#report(tracked, 'in_progress');
	}

	async #grantMore(run: JobRun) {
		const withRoom = this.#around.replicas.routable(run.target)
			.filter(replica => (replica.load?.batchRoom ?? 0) > this.#grantsAt(replica.vm))
			.toSorted((a, b) => (b.load?.batchRoom ?? 0) - (a.load?.batchRoom ?? 0));
		for (const replica of withRoom) {
			const next = run.takeChunk();
			if (!next) {
				return;
			}

			await this.#grant(run, next, replica);
		}
	}

	#grantsAt(vm: VmName): number {
		const held = [...this.#jobs.values()].flatMap(({run}) => run.granted).filter(granted => granted.vm === vm);
		// Those the agent has reported on are counted in its own figure of the room left.
		return held.filter(granted => granted.report === undefined).length;
	}

	async #grant(run: JobRun, {chunk, isolate}: {chunk: number; isolate: boolean}, replica: ReplicaView) {
		const grant: ChunkGrant = {
			jobId: run.jobId,
			chunk,
			inputName: run.file.chunks[chunk]!.name,
			fileId: run.file.id,
			endpoint: run.spec.endpoint,
			model: run.file.model,
			account: run.file.account,
			share: this.#around.shareOf(run.spec.account),
			fence: this.#lease.fence,
			expiresInMs: grantTtlMs,
			isolate,
		};
		const answer = await this.#around.rpc.call<GrantAnswer>({address: replica.address, timeoutMs: rpcTimeoutMs}, 'batch.grant', {holder: this.#holder, grant});
		const accepted = answer.map(({accepted}) => accepted).orDefault(false);
		this.#around.log.emit(accepted ? batchEvents.chunkGranted : batchEvents.chunkNotTaken, {
			jobId: run.jobId, chunk, vm: replica.vm, fence: grant.fence, isolate, room: replica.load?.batchRoom,
		});
		if (answer.isLeft() || accepted) {
			// Without an answer it may have been taken: the next renewal tells.
			run.grantedTo(chunk, replica.vm);
			return;
		}

		run.putBack(chunk);
	}

	async #finishCancelled(tracked: Tracked) {
		const {run} = tracked;
		run.dropGrants();
		const committed = await this.#committedChunks(run.jobId);
		if (!committed) {
			return;
		}

		const known = new Set(run.committedChunks);
		committed.filter(chunk => !known.has(chunk)).forEach(chunk => {
			run.committed(chunk, undefined);
		});
		await this.#finish(tracked, 'cancelled');
	}

	async #finish(tracked: Tracked, state: JobState) {
		const {run} = tracked;
		for (const chunk of run.uncounted) {
			const result = await this.#around.api.get<ChunkResult>('Result', resultName(run.jobId, chunk));
			result.ifRight(({value}) => {
				run.committed(chunk, value);
			});
		}

		if (run.uncounted.length > 0 || !await this.#report(tracked, state)) {
			return;
		}

		this.#jobs.delete(run.jobId);
		this.#ended.add(run.jobId);
		this.#around.log.emit(batchEvents.jobEnded, {jobId: run.jobId, state});
	}

	/** Writes the status when it is due or final. True when it stands. */
	async #report(tracked: Tracked, state: JobState): Promise<boolean> {
		const {api, clock} = this.#around;
		const isFinal = endedStates.has(state);
		if (!isFinal && clock.now() - tracked.statusAt < statusIntervalMs) {
			return true;
		}

		const status = tracked.run.status(state, this.#lease.fence, Math.floor(clock.wall() / 1000));
		const text = JSON.stringify({...status, estimatedEndAt: undefined});
		if (!isFinal && text === tracked.lastStatus) {
			return true;
		}

		const written = await this.#writeStatus(api, status);
		if (written) {
			tracked.statusAt = clock.now();
			tracked.lastStatus = text;
		}

		return written;
	}

	async #writeStatus(api: ObjectApi, status: JobStatus): Promise<boolean> {
		const current = await api.get<JobStatus>('JobStatus', status.jobId);
		if (current.isLeft()) {
			const isNew = (current.extract()).kind === 'notFound';
			if (!isNew) {
				return false;
			}

			const created = await api.create('JobStatus', status.jobId, status);
			return created.isRight();
		}

		const {value, version} = current.extract() as StoredObject<JobStatus>;
		// A status that is final, or of a later holder of the lease, stands: a paused coordinator must not bring an old one back.
		if (endedStates.has(value.state) || value.fence > status.fence) {
			return endedStates.has(value.state);
		}

		const updated = await api.update('JobStatus', status.jobId, status, version);
		return updated.isRight();
	}
}
