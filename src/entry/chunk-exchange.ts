/**
A coordinator's exchanges with the agents: renews the grants they hold, learns how far they are, and grants them more chunks. Nothing here waits for the object API, so that an outage of it lets no grant lapse.
*/
import {isLate, selectJob, weightOf} from '../common/job-order.js';
import type {Fence, JobId, VmName} from '../common/ids.js';
import type {JobRun} from '../common/job-run.js';
import type {
	ChunkGrant, ChunkKey, ChunkReport, GrantAnswer, RenewAnswer, RenewRequest,
} from '../common/protocol.js';
import type {ReplicaTable, ReplicaView} from '../common/replica-table.js';
import type {Clock, EventLog} from '../common/services.js';
import type {RpcClient} from '../io/rpc-client.js';
import {batchEvents} from './batch-log-events.js';
import {claimOf, type TrackedJob} from './tracked-job.js';

/** What the exchange needs of its entry. */
export type ExchangeSurroundings = {
	readonly rpc: Pick<RpcClient, 'call'>;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaTable;
	/** The share of an account. */
	readonly shareOf: (account: string) => number;
	/** Milliseconds after which a grant lapses unless renewed. */
	readonly grantMs: number;
	/** Milliseconds that an agent may take to answer. */
	readonly rpcTimeoutMs: number;
};

/** A chunk that an agent held before this coordinator took the shard over. */
export type InheritedChunk = {readonly vm: VmName; readonly report: ChunkReport};

type PlannedGrant = {readonly run: JobRun; readonly grant: ChunkGrant; readonly replica: ReplicaView};

const maxGrantWaves = 8;

/** Talks to agents on behalf of one shard. */
export class ChunkExchange {
	readonly #shard: string;
	readonly #jobs: ReadonlyMap<JobId, TrackedJob>;
	readonly #around: ExchangeSurroundings;
	readonly #inherited = new Map<JobId, InheritedChunk[]>();
	readonly #toTell = new Set<VmName>();
	readonly #rooms = new Map<VmName, {readonly room: number; readonly at: number}>();
	#round = 0;

	/** @param jobs - The coordinator's jobs, kept by it. */
	constructor(shard: string, jobs: ReadonlyMap<JobId, TrackedJob>, around: ExchangeSurroundings) {
		this.#shard = shard;
		this.#jobs = jobs;
		this.#around = around;
	}

	/** Tells all agents of the shard's new fencing number, and learns which chunks they hold. */
	async takeOver(fence: Fence): Promise<void> {
		this.#inherited.clear();
		this.#toTell.clear();
		await Promise.all(this.#around.replicas.all.map(async ({vm}) => {
			const answer = await this.#renew(vm, fence, 'all');
			answer?.reports.forEach(report => {
				this.#inherited.set(report.jobId, [...(this.#inherited.get(report.jobId) ?? []), {vm, report}]);
			});
		}));
	}

	/** Hands over the chunks of a job that agents held before. */
	claimInherited(jobId: JobId): readonly InheritedChunk[] {
		const chunks = this.#inherited.get(jobId) ?? [];
		this.#inherited.delete(jobId);
		return chunks;
	}

	/** Forgets inherited chunks of jobs that are not among these: their agents drop them. */
	keepInherited(jobs: ReadonlySet<JobId>): void {
		[...this.#inherited.keys()].filter(jobId => !jobs.has(jobId)).forEach(jobId => {
			this.#inherited.delete(jobId);
		});
	}

	/** Takes back what agents hold of a job that has ended, with the next renewal. */
	takeBack(run: JobRun): void {
		run.granted.forEach(({vm}) => {
			this.#toTell.add(vm);
		});
	}

	/** Renews all grants, one call an agent, whatever the number of jobs and chunks. */
	async renewAll(fence: Fence): Promise<void> {
		const keepByVm = new Map<VmName, ChunkKey[]>([...this.#toTell].map(vm => [vm, []]));
		this.#toTell.clear();
		const keep = (vm: VmName, keys: readonly ChunkKey[]) => {
			keepByVm.set(vm, [...(keepByVm.get(vm) ?? []), ...keys]);
		};

		this.#jobs.forEach(({run}) => {
			// An agent with a cancelled job's chunks is asked with a list that lacks them.
			run.granted.forEach(({vm, chunk}) => {
				keep(vm, run.spec.cancelled ? [] : [{jobId: run.jobId, chunk}]);
			});
		});
		this.#inherited.forEach(chunks => {
			chunks.forEach(({vm, report: {jobId, chunk}}) => {
				keep(vm, [{jobId, chunk}]);
			});
		});
		await Promise.all([...keepByVm].map(async ([vm, keys]) => this.#renewAt(vm, fence, keys)));
	}

	/** Grants chunks to agents with room, one a wave to each, until either are used up. */
	async handOut(fence: Fence): Promise<void> {
		for (let wave = 0; wave < maxGrantWaves; wave += 1) {
			const planned = this.#planWave(fence);
			if (planned.length === 0) {
				return;
			}

			await Promise.all(planned.map(async plan => this.#grant(plan)));
		}
	}

	async #renew(vm: VmName, fence: Fence, keep: RenewRequest['keep']): Promise<RenewAnswer | undefined> {
		const {rpc, replicas, clock, grantMs, rpcTimeoutMs} = this.#around;
		const replica = replicas.get(vm);
		if (!replica) {
			return undefined;
		}

		this.#round += 1;
		const req: RenewRequest = {
			shard: this.#shard, fence, round: this.#round, expiresInMs: grantMs, keep,
		};
		const answer = await rpc.call<RenewAnswer>({address: replica.address, timeoutMs: rpcTimeoutMs}, 'batch.renew', req);
		answer.ifRight(({room}) => {
			this.#rooms.set(vm, {room, at: clock.now()});
		});
		return answer.toMaybe().extract();
	}

	async #renewAt(vm: VmName, fence: Fence, keep: readonly ChunkKey[]) {
		const answer = await this.#renew(vm, fence, keep);
		const replica = this.#around.replicas.get(vm);
		const wasHeard = replica !== undefined && this.#around.clock.now() - replica.heardAt < this.#around.grantMs;
		if (!answer && wasHeard && keep.length === 0) {
			this.#toTell.add(vm);
		}

		if (answer ? !answer.accepted : wasHeard) {
			// Another coordinator has the shard, and this one will learn of it; or the grants have not lapsed yet, and the agent may be about to commit.
			return;
		}

		const reports = new Map((answer?.reports ?? []).map(report => [`${report.jobId}/${report.chunk}`, report]));
		keep.forEach(key => {
			this.#settle(vm, key, reports.get(`${key.jobId}/${key.chunk}`), answer === undefined);
		});
	}

	#settle(vm: VmName, {jobId, chunk}: ChunkKey, report: ChunkReport | undefined, isSilent: boolean) {
		const run = this.#jobs.get(jobId)?.run;
		const granted = run?.granted.find(held => held.chunk === chunk && held.vm === vm);
		if (!run || !granted) {
			return;
		}

		const ownReport = report?.results === run.results ? report : undefined;
		if (ownReport) {
			run.applyReport(ownReport);
			return;
		}

		// The chunk may be what took the agent down: an agent that came back as another incarnation counts as lost.
		const incarnation = this.#around.replicas.get(vm)?.load?.incarnation;
		run.missed(chunk, isSilent || (granted.incarnation !== undefined && incarnation !== granted.incarnation));
	}

	#planWave(fence: Fence): PlannedGrant[] {
		const {shareOf, clock} = this.#around;
		const now = clock.wall();
		const rooms = this.#roomsByTarget();
		const used = new Set<VmName>();
		const planned: PlannedGrant[] = [];
		const open = new Map([...this.#jobs].filter(([, {run}]) => !run.spec.cancelled && run.hasGrantableChunk));
		while (open.size > 0) {
			const claims = [...open.values()].map(tracked => claimOf(tracked, shareOf, now));
			const claim = selectJob(claims, account => this.#itemsOf(account), now)!;
			const tracked = open.get(claim.jobId)!;
			const replica = rooms.get(tracked.run.target)?.find(({vm}) => !used.has(vm));
			if (!replica) {
				open.delete(claim.jobId);
				continue;
			}

			used.add(replica.vm);
			this.#noteLate(tracked, isLate(claim, now));
			planned.push(this.#plan(tracked.run, replica, {fence, share: weightOf(claim, now)}));
			if (!tracked.run.hasGrantableChunk) {
				open.delete(claim.jobId);
			}
		}

		return planned;
	}

	#plan(run: JobRun, replica: ReplicaView, {fence, share}: {fence: Fence; share: number}): PlannedGrant {
		const {chunk, isolate} = run.takeChunk()!;
		this.#round += 1;
		run.recordGrant({
			chunk, vm: replica.vm, incarnation: replica.load?.incarnation, at: this.#around.clock.now(),
		});
		const grant: ChunkGrant = {
			jobId: run.jobId,
			chunk,
			results: run.results,
			inputName: run.file.chunks[chunk]!.name,
			fileId: run.file.id,
			endpoint: run.spec.endpoint,
			model: run.file.model,
			account: run.file.account,
			share,
			fence,
			expiresInMs: this.#around.grantMs,
			isolate,
			round: this.#round,
		};
		return {run, grant, replica};
	}

	async #grant({run, grant, replica}: PlannedGrant) {
		const {rpc, rpcTimeoutMs, log} = this.#around;
		const answer = await rpc.call<GrantAnswer>({address: replica.address, timeoutMs: rpcTimeoutMs}, 'batch.grant', {shard: this.#shard, grant});
		const refusal = answer.map(({accepted, reason}) => accepted ? undefined : reason).orDefault(undefined);
		log.emit(refusal === undefined ? batchEvents.chunkGranted : batchEvents.chunkNotTaken, {
			jobId: run.jobId, chunk: grant.chunk, vm: replica.vm, fence: grant.fence, isolate: grant.isolate, room: replica.load?.batchRoom, share: grant.share, reason: refusal,
		});
		if (refusal !== undefined) {
			// Without an answer it may have been taken: the next renewal tells.
			run.returnChunk(grant.chunk);
			this.#rooms.set(replica.vm, {room: 0, at: this.#around.clock.now()});
		}
	}

	#noteLate(tracked: TrackedJob, late: boolean) {
		if (late && !tracked.wasLate) {
			this.#around.log.emit(batchEvents.jobLate, {jobId: tracked.run.jobId, dueTime: tracked.run.spec.dueTime});
		}

		tracked.wasLate = late;
	}

	#itemsOf(account: string): number {
		return [...this.#jobs.values()]
			.filter(({run}) => run.spec.account === account)
			.reduce((sum, {run}) => sum + run.grantedItems, 0);
	}

	/** Replicas with room, by target, those with the most room first. */
	#roomsByTarget(): Map<string, ReplicaView[]> {
		const grantedSince = this.#grantTimes();
		const targets = new Set([...this.#jobs.values()].map(({run}) => run.target));
		return new Map([...targets].map(target => {
			const replicas = this.#around.replicas.routable(target)
				.map(replica => ({replica, room: this.#roomAt(replica, grantedSince)}))
				.filter(({room}) => room > 0)
				.toSorted((a, b) => b.room - a.room)
				.map(({replica}) => replica);
			return [target, replicas];
		}));
	}

	// The newest figure stands, less what was granted after it: the agent's own report counts what came before.
	#roomAt(replica: ReplicaView, grantTimes: ReadonlyMap<VmName, readonly number[]>): number {
		const told = this.#rooms.get(replica.vm);
		const isToldLater = told !== undefined && told.at >= replica.heardAt;
		const {room, at} = isToldLater ? told : {room: replica.load?.batchRoom ?? 0, at: replica.heardAt};
		const since = (grantTimes.get(replica.vm) ?? []).filter(grantedAt => grantedAt >= at).length;
		return room - since;
	}

	#grantTimes(): Map<VmName, number[]> {
		return [...this.#jobs.values()].flatMap(({run}) => run.granted).reduce((times, {vm, at}) => {
			const known = times.get(vm) ?? [];
			known.push(at);
			return times.set(vm, known);
		}, new Map<VmName, number[]>());
	}
}
