/**
The items of one job that this process runs: which ones wait, which ones run, their texts so far, and which ones have failed too often.
*/
import type {Clock, Disposable, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {
	BatchItemId, GatewayRoute, ReplicaId, SoftwareVersion,
} from '../types.js';
import type {TrackedItem} from '../quarantine/tracked-item.js';
import type {BatchJob} from './batch-job.js';
import type {BatchItem, ItemProgress} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import type {FailedRuns} from './failed-runs.js';
import type {ItemRun, ItemRunEnd} from './item-run.js';
import type {JobHandover} from './job-handover.js';
import type {ResultWriter} from './result-writer.js';

/** The state of an item across its runs. */
export type ItemState = {
	readonly item: BatchItem;
	/** The data of its events so far: one text, each run of which was asked to continue after those before it. */
	events: string[];
	/** The version of the replicas that generated them: only these may continue the text. */
	softwareVersion: SoftwareVersion | undefined;
	/** Since when no slot was found at a replica of this version, in milliseconds on the monotonic clock. */
	blockedSince: number | undefined;
	/** The earliest time of its next run, in milliseconds on the monotonic clock. */
	notBefore: number;
	run: ItemRun | undefined;
	/** The outcome of its last run here. */
	lastEnd: ItemRunEnd | undefined;
	/** Created when the item is first considered for a slot. */
	tracked: TrackedItem | undefined;
	/** When its first run here started, in milliseconds on the monotonic clock. */
	firstStartedAt: number | undefined;
	/** The total milliseconds of its runs here. */
	ranMs: number;
	/** How often a run here was cut for an online call. */
	timesCut: number;
	/** Since when its run has been let finish although a call needs its slot, in milliseconds on the monotonic clock. */
	sparedSince: number | undefined;
};

/** After a run that did not succeed, milliseconds until the next one: a replica that fails at once must not be retried without a delay. */
const retryDelaysMs: Readonly<Partial<Record<ItemRunEnd, number>>> = {
	failed: 200, endless: 200, declined: 150, unreachable: 100, misdirected: 100, lost: 50, broken: 50,
};

/** Dependencies of a run. */
export type JobRunParts = {
	/** The current state of the job in the index. */
	readonly job: () => BatchJob | undefined;
	readonly writer: ResultWriter;
	readonly contents: ContentStore;
	readonly failedRuns: FailedRuns;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** See the module's head. */
export class JobRun implements Disposable {
	readonly #parts: JobRunParts;
	readonly #states = new Map<BatchItemId, ItemState>();
	#receivedHandovers: JobHandover[] = [];
	#loading: Promise<void> | undefined;

	constructor(parts: JobRunParts) {
		this.#parts = parts;
	}

	get job(): BatchJob | undefined {
		return this.#parts.job();
	}

	get writer(): ResultWriter {
		return this.#parts.writer;
	}

	/** Items with a run in progress. */
	get running(): ItemState[] {
		return [...this.#states.values()].filter(({run}) => run !== undefined);
	}

	/** Reads the items in full, and the progress that earlier processes have written. Until then no item waits. To be called again while it fails. */
	async load(): Promise<void> {
		if (this.#states.size === 0) {
			this.#loading ??= this.#load();
			await this.#loading;
			this.#loading = undefined;
		}
	}

	/** Merges what the former holder of the job has handed over. */
	receive(handover: JobHandover): void {
		this.#receivedHandovers.push(handover);
		if (this.#states.size > 0) {
			this.#mergeReceived();
		}
	}

	/** Items that may be sent now. */
	waiting(): ItemState[] {
		const {job} = this;
		if (!job?.isOpen) {
			return [];
		}

		const now = this.#parts.clock.now();
		return [...this.#states.values()].filter(({item, run, notBefore}) => run === undefined && notBefore <= now && this.#isUnfinished(job, item.id));
	}

	/** The progress from which the next process can resume the job. */
	progress(): ItemProgress[] {
		const {job} = this;
		return job
			? [...this.#states.values()]
				.map(({item, events, softwareVersion}) => ({
					id: item.id, events: [...events], softwareVersion, failedRuns: this.#parts.failedRuns.of(item.id),
				}))
				.filter(({id, events, failedRuns}) => this.#isUnfinished(job, id) && (events.length > 0 || failedRuns.length > 0))
			: [];
	}

	/** Records the end of an item's run. */
	recordRunEnd(state: ItemState, end: ItemRunEnd, {replica, route}: {replica: ReplicaId; route: Pick<GatewayRoute, 'maxRuns'>}): void {
		state.run = undefined;
		state.lastEnd = end;
		state.notBefore = this.#parts.clock.now() + (retryDelaysMs[end] ?? 0);
		if (this.writer.has(state.item.id)) {
			// The former holder of the job has handed over the result.
			return;
		}

		if (end === 'finished') {
			this.writer.add({id: state.item.id, state: 'completed', output: state.events.join('\n')});
			return;
		}

		if (end === 'failed' || end === 'endless') {
			this.#parts.failedRuns.addOwn(state.item.id, replica);
		}

		if (end === 'hopeless' || this.#hasFailedTooOften(state, route)) {
			this.#giveUp(state.item.id);
		}
	}

	/** Gives up items that have failed as often as their route allows, at whichever process. Their results are `errored`. */
	giveUpFailed(route: Pick<GatewayRoute, 'maxRuns'>): void {
		this.waiting().filter(state => this.#hasFailedTooOften(state, route)).forEach(({item}) => {
			this.#giveUp(item.id);
		});
	}

	/** Gives up all items that have no result. Their results are `errored`. */
	giveUpAll(): void {
		const {job} = this;
		this.cancelRuns();
		job?.record.items.filter(({id}) => this.#isUnfinished(job, id)).forEach(({id}) => {
			this.#giveUp(id);
		});
	}

	/** Cancels all runs and writes no more results. */
	dispose(): void {
		this.cancelRuns();
		this.writer.dispose();
	}

	/** Cancels all runs; the events received so far are retained. */
	cancelRuns(): void {
		this.running.forEach(({run}) => {
			run?.dispose();
		});
	}

	#mergeReceived() {
		const received = this.#receivedHandovers;
		this.#receivedHandovers = [];
		received.flatMap(({items}) => items).forEach(handedOver => {
			const state = this.#states.get(handedOver.id);
			if (state) {
				this.#mergeProgress(state, handedOver);
			}
		});
		received.flatMap(({results}) => results).filter(({id}) => this.job && this.#isUnfinished(this.job, id)).forEach(result => {
			this.writer.add(result);
			this.#states.get(result.id)?.run?.dispose();
		});
	}

	/**
	Continues from the longer text, and from all of it: the two come from different runs, which need not agree in any event. If the item already runs here, from an earlier event, the run is cancelled: it would generate again what has been received, and what was handed over would be dropped while the item is late.
	*/
	#mergeProgress(state: ItemState, progress: ItemProgress) {
		const {events, softwareVersion, failedRuns} = progress;
		const isLonger = canContinue(progress) && state.events.length < events.length;
		this.#parts.log.emit(gatewayEvents.itemTextReceived, {
			job: this.job?.id, item: state.item.id, ownEvents: state.events.length, handedOverEvents: events.length, isRunning: state.run !== undefined, from: isLonger ? 'handover' : 'own',
		});
		if (isLonger) {
			state.run?.dispose();
			state.events = [...events];
			state.softwareVersion = softwareVersion;
		}

		this.#parts.failedRuns.addReceived(failedRuns);
	}

	#hasFailedTooOften({item}: ItemState, {maxRuns}: Pick<GatewayRoute, 'maxRuns'>): boolean {
		return this.#parts.failedRuns.countOf(item.id) >= maxRuns;
	}

	#giveUp(id: BatchItemId) {
		this.writer.add({id, state: 'errored', output: ''});
	}

	#isUnfinished(job: BatchJob, id: BatchItemId): boolean {
		return !job.isCommitted(id) && !this.writer.has(id);
	}

	async #load() {
		const {job} = this;
		if (!job) {
			return;
		}

		const {contents, failedRuns} = this.#parts;
		const [items, ...handovers] = await Promise.all([
			contents.read('items', job.record.content),
			...job.handoverContents.map(async name => contents.read('progress', name)),
		]);
		const handedOver = handovers.flatMap(handover => handover.toMaybe().extract()?.items ?? []);
		handedOver.forEach(progress => {
			failedRuns.addReceived(progress.failedRuns);
		});
		items.ifRight(content => {
			content.items.forEach(item => {
				this.#states.set(item.id, stateOf(item, handedOver.filter(({id}) => id === item.id)));
			});
			this.#mergeReceived();
		});
	}
}

/** Whether a text can be continued: not if the version that generated it is not known. */
const canContinue = ({events, softwareVersion}: ItemProgress): boolean => events.length > 0 && softwareVersion !== undefined;

/** Starts from the longest text alone; texts of different runs are never combined. */
const stateOf = (item: BatchItem, handedOver: readonly ItemProgress[]): ItemState => {
	const longest = handedOver.filter(progress => canContinue(progress)).toSorted((a, b) => b.events.length - a.events.length)[0];
	return {
		item,
		events: [...longest?.events ?? []],
		softwareVersion: longest?.softwareVersion,
		blockedSince: undefined,
		notBefore: 0,
		run: undefined,
		lastEnd: undefined,
		tracked: undefined,
		firstStartedAt: undefined,
		ranMs: 0,
		timesCut: 0,
		sparedSince: undefined,
	};
};
