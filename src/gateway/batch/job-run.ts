/**
The items of one job that this process runs: which wait, which run, what is known of their texts, and which have failed too often.
*/
import type {Clock, Disposable, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {BatchItemId, GatewayRoute, ReplicaId} from '../types.js';
import type {TrackedContent} from '../quarantine/tracked-content.js';
import type {BatchJob} from './batch-job.js';
import type {BatchItem, ItemProgress} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import type {FailedRuns} from './failed-runs.js';
import type {ItemRun, ItemRunEnd} from './item-run.js';
import type {JobHandover} from './job-handover.js';
import type {ResultWriter} from './result-writer.js';

/** What is known of an item between its runs. */
export type ItemState = {
	readonly item: BatchItem;
	/** The data of its events so far: one text, each run of which was asked to go on behind those before it. */
	events: string[];
	/** Not to be sent before, in milliseconds on the monotonic clock. */
	notBefore: number;
	run: ItemRun | undefined;
	/** How its last run here ended. */
	lastEnd: ItemRunEnd | undefined;
	/** Made when the item is first looked at for a place. */
	trackedContent: TrackedContent | undefined;
	/** When its first run here began, in milliseconds on the monotonic clock. */
	firstStartedAt: number | undefined;
	/** Milliseconds that its runs here have taken together. */
	ranMs: number;
};

/** After a run that did not succeed, milliseconds until the next: a replica that fails at once must not be asked without a pause. */
const pauseMs: Readonly<Partial<Record<ItemRunEnd, number>>> = {
	failed: 200, declined: 150, unreachable: 100, misdirected: 100, lost: 50, broken: 50,
};

/** What a run of a job needs. */
export type JobRunParts = {
	/** The job as the book has it now. */
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
	#received: JobHandover[] = [];
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

	/** Runs under way. */
	get running(): ItemState[] {
		return [...this.#states.values()].filter(({run}) => run !== undefined);
	}

	/** Reads the items in full, and what earlier processes have left of them. Until then none waits. Call it again while it fails. */
	async load(): Promise<void> {
		if (this.#states.size === 0) {
			this.#loading ??= this.#load();
			await this.#loading;
			this.#loading = undefined;
		}
	}

	/** Takes over what the former holder of the job has left. */
	receive(handover: JobHandover): void {
		this.#received.push(handover);
		if (this.#states.size > 0) {
			this.#takeReceived();
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

	/** What the next process to run the job can go on from. */
	progress(): ItemProgress[] {
		const {job} = this;
		return job
			? [...this.#states.values()]
				.map(({item, events}) => ({id: item.id, events: [...events], failedRuns: this.#parts.failedRuns.of(item.id)}))
				.filter(({id, events, failedRuns}) => this.#isUnfinished(job, id) && (events.length > 0 || failedRuns.length > 0))
			: [];
	}

	/** Takes over the end of an item's run. */
	noteEnd(state: ItemState, end: ItemRunEnd, {replica, route}: {replica: ReplicaId; route: Pick<GatewayRoute, 'maxRuns'>}): void {
		state.run = undefined;
		state.lastEnd = end;
		state.notBefore = this.#parts.clock.now() + (pauseMs[end] ?? 0);
		if (this.writer.has(state.item.id)) {
			// The former holder of the job has handed its result over.
			return;
		}

		if (end === 'finished') {
			this.writer.add({id: state.item.id, state: 'completed', output: state.events.join('\n')});
			return;
		}

		if (end === 'failed') {
			this.#parts.failedRuns.addOwn(state.item.id, replica);
		}

		if (end === 'hopeless' || this.#hasFailedTooOften(state, route)) {
			this.#giveUp(state.item.id);
		}
	}

	/** Lists items as not done that have failed as often as their route allows, wherever that was. */
	giveUpFailed(route: Pick<GatewayRoute, 'maxRuns'>): void {
		this.waiting().filter(state => this.#hasFailedTooOften(state, route)).forEach(({item}) => {
			this.#giveUp(item.id);
		});
	}

	/** Lists all items that have no result as not done. */
	giveUpAll(): void {
		const {job} = this;
		this.cancelRuns();
		job?.record.items.filter(({id}) => this.#isUnfinished(job, id)).forEach(({id}) => {
			this.#giveUp(id);
		});
	}

	/** Cuts all runs off and writes no more. */
	dispose(): void {
		this.cancelRuns();
		this.writer.dispose();
	}

	/** Cuts all runs off; what they have brought stays. */
	cancelRuns(): void {
		this.running.forEach(({run}) => {
			run?.dispose();
		});
	}

	#takeReceived() {
		const received = this.#received;
		this.#received = [];
		received.flatMap(({items}) => items).forEach(left => {
			const state = this.#states.get(left.id);
			if (state) {
				this.#takeProgress(state, left);
			}
		});
		received.flatMap(({results}) => results).filter(({id}) => this.job && this.#isUnfinished(this.job, id)).forEach(result => {
			this.writer.add(result);
			this.#states.get(result.id)?.run?.dispose();
		});
	}

	/**
	Goes on from the longer text, and from all of it: the two are of different runs, which need not agree in any event. Where the item runs here already, from an earlier event, the run is cut off: it would make again what is known, and what was handed over would be dropped while the item is late.
	*/
	#takeProgress(state: ItemState, {events, failedRuns}: ItemProgress) {
		const isLonger = state.events.length < events.length;
		this.#parts.log.emit(gatewayEvents.itemTextReceived, {
			job: this.job?.id, item: state.item.id, ownEvents: state.events.length, handedOverEvents: events.length, isRunning: state.run !== undefined, from: isLonger ? 'handover' : 'own',
		});
		if (isLonger) {
			state.run?.dispose();
			state.events = [...events];
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
		const left = handovers.flatMap(handover => handover.toMaybe().extract()?.items ?? []);
		left.forEach(progress => {
			failedRuns.addReceived(progress.failedRuns);
		});
		items.ifRight(content => {
			content.items.forEach(item => {
				this.#states.set(item.id, stateOf(item, left.filter(({id}) => id === item.id)));
			});
			this.#takeReceived();
		});
	}
}

/** The longest text counts, as a whole. */
const stateOf = (item: BatchItem, left: readonly ItemProgress[]): ItemState => {
	const longest = left.toSorted((a, b) => b.events.length - a.events.length)[0];
	return {
		item,
		events: [...longest?.events ?? []],
		notBefore: 0,
		run: undefined,
		lastEnd: undefined,
		trackedContent: undefined,
		firstStartedAt: undefined,
		ranMs: 0,
	};
};
