/**
The items of one job that this process runs: which wait, which run, what is known of their texts, and which have failed too often.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {BatchItemId, GatewayRoute} from '../types.js';
import type {BatchJob} from './batch-job.js';
import type {BatchItem, ItemProgress} from './batch-records.js';
import type {ItemRun, ItemRunEnd} from './item-run.js';
import type {ResultWriter} from './result-writer.js';

/** What is known of an item between its runs. */
export type ItemState = {
	readonly item: BatchItem;
	/** The data of its events so far. */
	readonly events: string[];
	/** Runs that the replica ended with a failure. */
	failures: number;
	/** Not to be sent before, in milliseconds on the monotonic clock. */
	notBefore: number;
	run: ItemRun | undefined;
};

/** After a run that did not succeed, milliseconds until the next: a replica that fails at once must not be asked without a pause. */
const pauseMs: Readonly<Partial<Record<ItemRunEnd, number>>> = {
	failed: 200, declined: 150, unreachable: 100, broken: 50,
};

/** See the module's head. */
export class JobRun implements Disposable {
	readonly #job: () => BatchJob | undefined;
	readonly #writer: ResultWriter;
	readonly #clock: Clock;
	readonly #states = new Map<BatchItemId, ItemState>();

	/** @param job - The job as the book has it now. */
	constructor(job: () => BatchJob | undefined, writer: ResultWriter, clock: Clock) {
		this.#job = job;
		this.#writer = writer;
		this.#clock = clock;
	}

	get job(): BatchJob | undefined {
		return this.#job();
	}

	get writer(): ResultWriter {
		return this.#writer;
	}

	/** Runs under way. */
	get running(): ItemState[] {
		return [...this.#states.values()].filter(({run}) => run !== undefined);
	}

	/** Items that may be sent now. */
	waiting(): ItemState[] {
		const job = this.#job();
		if (!job?.isOpen) {
			return [];
		}

		const now = this.#clock.now();
		return job.record.items
			.filter(({id}) => !job.isListed(id) && !this.#writer.has(id))
			.map(item => this.#stateOf(job, item))
			.filter(({run, notBefore}) => run === undefined && notBefore <= now);
	}

	/** Items without a result, running or not. */
	unfinished(): ItemState[] {
		const job = this.#job();
		return job
			? job.record.items.filter(({id}) => !job.isListed(id) && !this.#writer.has(id)).map(item => this.#stateOf(job, item))
			: [];
	}

	/** What the next process to run the job can go on from. */
	progress(): ItemProgress[] {
		return this.unfinished()
			.filter(({events, failures}) => events.length > 0 || failures > 0)
			.map(({item, events, failures}) => ({id: item.id, events: [...events], failures}));
	}

	/** Takes over the end of an item's run. */
	noteEnd(state: ItemState, end: ItemRunEnd, route: Pick<GatewayRoute, 'maxRuns'>): void {
		state.run = undefined;
		state.notBefore = this.#clock.now() + (pauseMs[end] ?? 0);
		if (end === 'finished') {
			this.#writer.add({id: state.item.id, state: 'completed', output: state.events.join('\n')});
			return;
		}

		if (end === 'failed') {
			state.failures += 1;
		}

		if (end === 'hopeless' || state.failures >= route.maxRuns) {
			this.giveUp(state);
		}
	}

	/** Lists the item as one that has not been done. */
	giveUp(state: ItemState): void {
		state.run?.dispose();
		this.#writer.add({id: state.item.id, state: 'errored', output: ''});
	}

	/** Cuts all runs off and writes no more. */
	dispose(): void {
		this.cutAll();
		this.#writer.dispose();
	}

	/** Cuts all runs off; what they have brought stays. */
	cutAll(): void {
		this.running.forEach(({run}) => {
			run?.dispose();
		});
	}

	#stateOf(job: BatchJob, item: BatchItem): ItemState {
		const known = this.#states.get(item.id);
		if (known) {
			return known;
		}

		const left = job.progressOf(item.id);
		const state: ItemState = {
			item, events: [...left?.events ?? []], failures: left?.failures ?? 0, notBefore: 0, run: undefined,
		};
		this.#states.set(item.id, state);
		return state;
	}
}
