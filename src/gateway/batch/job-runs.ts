/**
The jobs that this process runs. A run is opened for each job that it has claimed and closed with the claim; a shutdown hands the jobs over to peers, and jobs of peers that shut down are taken over.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {BatchJobId, ClientAccountName} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {ContentStore} from './content-store.js';
import type {FailedRuns} from './failed-runs.js';
import type {JobClaims} from './job-claims.js';
import {HandoverSender, type JobHandover, type HandoverSenderParts} from './job-handover.js';
import {JobRun} from './job-run.js';
import type {JobRoutePolicy} from './job-route-policy.js';
import {ResultWriter, type ResultWriterParts} from './result-writer.js';

/** Dependencies of the runs. */
export type JobRunsParts = HandoverSenderParts & ResultWriterParts & {
	readonly jobIndex: JobIndex;
	readonly contents: ContentStore;
	readonly claims: JobClaims;
	readonly failedRuns: FailedRuns;
	readonly clock: Clock;
};

/** The maximum number of handovers of jobs that are not in the index yet, because changes in the object API are received late. The oldest is discarded beyond that; a process runs only some dozen jobs. */
const maxReceivedHandovers = 200;

/** See the module's head. */
export class JobRuns implements Disposable {
	readonly #parts: JobRunsParts;
	readonly #routePolicy: JobRoutePolicy;
	readonly #handoverSender: HandoverSender;
	readonly #runs = new Map<BatchJobId, JobRun>();
	/** Handovers by former holders, of jobs that this process does not run yet. */
	readonly #receivedHandovers = new Map<BatchJobId, JobHandover[]>();
	#isLeaving = false;

	constructor(parts: JobRunsParts, routePolicy: JobRoutePolicy) {
		this.#parts = parts;
		this.#routePolicy = routePolicy;
		this.#handoverSender = new HandoverSender(parts);
	}

	get all(): readonly JobRun[] {
		return [...this.#runs.values()];
	}

	/** Numbers of items that are running here, by the account that owns them. */
	get runningByAccount(): ReadonlyMap<ClientAccountName | undefined, number> {
		const counts = new Map<ClientAccountName | undefined, number>();
		this.all.forEach(({job, running}) => {
			if (running.length > 0) {
				const account = job?.record.account;
				counts.set(account, (counts.get(account) ?? 0) + running.length);
			}
		});
		return counts;
	}

	/**
	Opens a run for each claimed job and closes the runs of jobs that are no longer claimed.

	@param onLoaded - Called when a run has loaded its items.
	*/
	review(onLoaded: () => void): void {
		const {claims} = this.#parts;
		claims.review();
		[...this.#runs.keys()].filter(id => !claims.has(id)).forEach(id => {
			this.#close(id);
		});
		claims.claimed.filter(id => !this.#runs.has(id)).forEach(id => {
			this.#open(id);
		});
		this.#runs.forEach((run, id) => {
			this.#deliverReceived(run, id);
			void run.load().then(onLoaded);
		});
	}

	/** Cancels all runs and hands the jobs over to peers, with the progress of their items. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		this.all.forEach(run => {
			run.cancelRuns();
		});
		await Promise.all([...this.#runs].map(async ([id, run]) => {
			await this.#handoverSender.handOver(run);
			this.#parts.claims.release(id);
			this.#close(id);
		}));
	}

	/**
	Takes a job over from a process that shuts down.

	@returns False if this process shuts down itself.
	*/
	takeOver(handover: JobHandover): boolean {
		if (this.#isLeaving) {
			return false;
		}

		this.#receivedHandovers.set(handover.job, [...this.#receivedHandovers.get(handover.job) ?? [], handover]);
		if (this.#receivedHandovers.size > maxReceivedHandovers) {
			const [oldest] = this.#receivedHandovers.keys();
			this.#receivedHandovers.delete(oldest!);
		}

		this.#parts.claims.accept(handover.job);
		return true;
	}

	dispose(): void {
		this.#isLeaving = true;
		[...this.#runs.keys()].forEach(id => {
			this.#close(id);
		});
	}

	#open(id: BatchJobId) {
		const {
			jobIndex, contents, failedRuns, clock, log,
		} = this.#parts;
		const job = () => jobIndex.job(id);
		const writer = new ResultWriter(this.#parts, job, accepted => this.#routePolicy.dueAt(accepted));
		this.#runs.set(id, new JobRun({
			job, writer, contents, failedRuns, clock, log,
		}));
	}

	#close(id: BatchJobId) {
		this.#runs.get(id)?.dispose();
		this.#runs.delete(id);
		this.#routePolicy.discard(id);
	}

	#deliverReceived(run: JobRun, id: BatchJobId) {
		this.#receivedHandovers.get(id)?.forEach(handover => {
			run.receive(handover);
		});
		this.#receivedHandovers.delete(id);
	}
}
