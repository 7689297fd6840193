/**
Brings the engine beside this agent to what its assignment says. Level-triggered: each round compares what is loaded with what is wanted, so a lost answer, a restart of either, or a missed change needs nothing of its own.
*/
import type {ConfigTable} from '../common/config-table.js';
import type {Revision} from '../common/ids.js';
import {
	ordersFor, type Assignment, type ModelOrder, type PlacedModel,
} from '../common/placement.js';
import type {
	Clock, Disposable, EventLog, RandomSource,
} from '../common/services.js';
import {agentConfigEvents} from './config-log-events.js';
import type {ModelControl} from './model-control.js';
import type {OrderFence} from './order-fence.js';

/** What the reconciler needs. */
export type ReconcilerParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly table: ConfigTable;
	readonly vm: string;
	readonly control: ModelControl;
	readonly fence: OrderFence;
};

const roundMs = 1000;
const defaultRetryMs = 1000;

/** Reconciles until disposed. */
export class ModelReconciler implements Disposable {
	readonly #parts: ReconcilerParts;
	#loaded: readonly PlacedModel[] | undefined;
	#waitUntil = 0;
	#current = new AbortController();
	#wake: (() => void) | undefined;
	readonly #stop: () => void;
	#disposed = false;

	constructor(parts: ReconcilerParts) {
		this.#parts = parts;
		this.#stop = parts.table.onChange(event => {
			if (event.kind === 'Assignment' && event.name === parts.vm) {
				// What is under way may be a load of minutes that is no longer wanted.
				this.#waitUntil = 0;
				this.#current.abort();
				this.#wake?.();
			}
		});
	}

	/** What the engine had loaded when it was last asked. */
	get loaded(): readonly PlacedModel[] | undefined {
		return this.#loaded;
	}

	/** Reconciles for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await this.#round();
			await this.#pause();
		}
	}

	dispose(): void {
		this.#disposed = true;
		this.#stop();
		this.#current.abort();
		this.#wake?.();
	}

	async #pause() {
		const woken = new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		await Promise.race([woken, this.#parts.clock.sleep(roundMs)]);
	}

	async #round() {
		const {table, vm, control, clock} = this.#parts;
		this.#loaded = await control.loaded();
		const assignment = table.get<Assignment>('Assignment', vm);
		const orders = assignment && this.#loaded ? ordersFor(assignment, this.#loaded) : [];
		if (orders.length > 0 && clock.now() >= this.#waitUntil) {
			await this.#carryOut(assignment!, table.versionOf('Assignment', vm), orders);
			this.#loaded = await control.loaded();
		}
	}

	async #carryOut(assignment: Assignment, version: Revision, orders: readonly ModelOrder[]) {
		const {fence, log, vm, table} = this.#parts;
		const verdict = await fence.judge(assignment, version);
		if (verdict !== 'current') {
			log.emit(agentConfigEvents.orderHeldBack, {
				vm, verdict, fence: assignment.fence, version,
			});
			return;
		}

		if (table.versionOf('Assignment', vm) !== version) {
			// A newer one came while this was judged: its orders may take minutes, and the next round gives the right ones.
			return;
		}

		this.#current = new AbortController();
		for (const order of orders) {
			const done = await this.#give(order, assignment);
			if (!done) {
				return;
			}
		}
	}

	async #give(order: ModelOrder, {fence}: Assignment): Promise<boolean> {
		const {control, log, clock, random} = this.#parts;
		const given = await control.order(order, fence, this.#current.signal);
		given
			.ifRight(() => {
				log.emit(agentConfigEvents.orderDone, {...order, fence});
			})
			.ifLeft(({reason, retryAfterMs = defaultRetryMs}) => {
				// Spread out: the weight store refuses many at once, and all would come back at once.
				this.#waitUntil = this.#current.signal.aborted ? 0 : clock.now() + (retryAfterMs * (1 + (random.next() / 2)));
				log.emit(agentConfigEvents.orderFailed, {
					...order, fence, reason, retryAfterMs,
				});
			});
		return given.isRight();
	}
}
