/**
Works off one chunk of a batch job: reads its items, runs each until it has a result, and commits the results together.
*/
import type {InputChunk, ItemResult} from '../common/batch-types.js';
import type {ChunkGrant, ChunkReport} from '../common/protocol.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {ApiError, StoredObject} from '../common/types.js';
import {ItemRun, type ItemOutcome, type ItemSurroundings} from './item-run.js';
import type {CommitOutcome, ResultWriter} from './result-writer.js';
import type {SoloGate} from './solo-gate.js';

/** What the run of a chunk needs. */
export type ChunkSurroundings = ItemSurroundings & {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly gate: SoloGate;
	/** Items of this chunk that are submitted at once. */
	readonly window: number;
	/** Called for each item that has its result. */
	readonly onItem?: () => void;
};

const stateAfter: Record<CommitOutcome, ChunkReport['state']> = {committed: 'committed', lostRace: 'superseded', lapsed: 'running'};
const maxSoloCrashes = 3;
const retryMs = 200;
const tokensPerCharacter = 0.25;
const defaultAnswerTokens = 64;

/** One chunk at this agent. */
export class ChunkRun {
	readonly grant: ChunkGrant;
	readonly #name: string;
	readonly #around: ChunkSurroundings;
	readonly #writer: ResultWriter;
	readonly #results = new Map<string, ItemResult>();
	readonly #live = new Set<ItemRun>();
	readonly #suspects: ItemRun[] = [];
	#state: ChunkReport['state'] = 'running';
	#total: number | undefined;
	#done = 0;
	#failed = 0;
	#cancelled = false;
	#expiresAt: number;
	#announceCancelled!: () => void;
	readonly #whenCancelled: Promise<ItemOutcome>;

	/** @param name - Unique among the runs of this agent process. */
	constructor(name: string, grant: ChunkGrant, around: ChunkSurroundings, makeWriter: (isGranted: () => boolean) => ResultWriter) {
		this.#name = name;
		this.grant = grant;
		this.#around = around;
		this.#expiresAt = around.clock.now() + grant.expiresInMs;
		this.#writer = makeWriter(() => this.isGranted);
		this.#whenCancelled = new Promise(resolve => {
			this.#announceCancelled = () => {
				resolve({kind: 'cancelled'});
			};
		});
	}

	/** False once the grant lapsed or was cancelled: nothing may be run or committed any more. */
	get isGranted(): boolean {
		return !this.#cancelled && this.#around.clock.now() < this.#expiresAt;
	}

	get report(): ChunkReport {
		return {
			jobId: this.grant.jobId,
			chunk: this.grant.chunk,
			results: this.grant.results,
			state: this.#state,
			completed: this.#done - this.#failed,
			failed: this.#failed,
		};
	}

	/** Items without a result; 1 until the items have been read. */
	get remaining(): number {
		return this.#total === undefined ? 1 : this.#total - this.#done;
	}

	/** Extends the grant, as its coordinator asks. */
	renew(expiresInMs: number): void {
		this.#expiresAt = this.#around.clock.now() + expiresInMs;
	}

	/** Stops the chunk; what was not committed is dropped. */
	cancel(): void {
		this.#cancelled = true;
		this.#announceCancelled();
		this.#live.forEach(run => {
			this.#around.runner.cancel(run.key);
		});
	}

	/** Runs the chunk to its end. Resolves when it is committed or cancelled; never rejects. */
	async run(): Promise<void> {
		const items = await this.#readItems();
		this.#total = items.length;
		await this.#runShared(items);
		await this.#runSuspects();
		if (!this.isGranted) {
			return;
		}

		this.#state = 'committing';
		const ordered = items.map(run => this.#results.get(run.item.custom_id)!);
		const outcome = await this.#writer.commit(this.grant, ordered, this.#failed);
		this.#state = stateAfter[outcome];
		// The run is kept until its coordinator has heard of its end; the answers must not stay in memory that long.
		this.#results.clear();
	}

	async #readItems(): Promise<ItemRun[]> {
		while (this.isGranted) {
			const read = await this.#around.api.get<InputChunk>('InputChunk', this.grant.inputName);
			if (read.isRight()) {
				const {items} = (read.extract()).value;
				return items.map((item, index) => new ItemRun(item, this.#ticket(JSON.stringify(item.body), index), this.#around));
			}

			if ((read.extract() as ApiError).kind === 'notFound') {
				this.cancel();
			}

			await this.#around.clock.sleep(retryMs);
		}

		return [];
	}

	#ticket(body: string, index: number) {
		const {account, share} = this.grant;
		return {
			key: `${this.#name}/${index}`,
			workClass: 'batch' as const,
			account,
			share,
			costTokens: (body.length * tokensPerCharacter) + defaultAnswerTokens,
			promptTokens: body.length * tokensPerCharacter,
			deadlineAt: Number.POSITIVE_INFINITY,
		};
	}

	async #runShared(items: readonly ItemRun[]) {
		const waiting = [...items];
		if (this.grant.isolate) {
			this.#suspects.push(...waiting.splice(0));
		}

		const lane = async () => {
			while (waiting.length > 0 && this.isGranted) {
				await this.#runOneShared(waiting.shift()!, waiting);
			}
		};

		await Promise.all(Array.from({length: Math.min(this.#around.window, waiting.length)}, lane));
	}

	async #runOneShared(run: ItemRun, waiting: ItemRun[]) {
		await this.#around.gate.enterShared();
		const outcome = await this.#outcomeOf(run);
		this.#around.gate.leaveShared();
		const handlers: Record<ItemOutcome['kind'], () => Promise<void> | void> = {
			result: () => {
				this.#keep(run, outcome);
			},
			crashed: () => {
				this.#suspects.push(run);
			},
			unreachable: async () => {
				waiting.push(run);
				await this.#around.clock.sleep(retryMs);
			},
			cancelled: () => undefined,
		};
		await handlers[outcome.kind]();
	}

	// Each suspect runs alone, so that a crash can be put down to it; after some crashes it is given up, and its neighbours have not been held back by it.
	async #runSuspects() {
		while (this.#suspects.length > 0 && this.isGranted) {
			await this.#runSolo(this.#suspects[0]!);
		}
	}

	async #runSolo(run: ItemRun) {
		await this.#around.gate.enterSolo();
		const outcome = await this.#outcomeOf(run);
		this.#around.gate.leaveSolo();
		const handlers: Record<ItemOutcome['kind'], () => Promise<void> | void> = {
			result: () => {
				this.#suspects.shift();
				this.#keep(run, outcome);
			},
			crashed: () => {
				this.#countCrash(run);
			},
			unreachable: async () => this.#around.clock.sleep(retryMs),
			cancelled: () => undefined,
		};
		await handlers[outcome.kind]();
	}

	#countCrash(run: ItemRun) {
		run.soloCrashes += 1;
		if (run.soloCrashes < maxSoloCrashes) {
			return;
		}

		this.#suspects.shift();
		const result = run.failure('backend_crashed', `the backend server went away ${run.soloCrashes} times while this item ran alone`);
		this.#keep(run, {kind: 'result', result, failed: true});
	}

	async #outcomeOf(run: ItemRun): Promise<ItemOutcome> {
		if (!this.isGranted) {
			return {kind: 'cancelled'};
		}

		this.#live.add(run);
		const outcome = await Promise.race([run.run(), this.#whenCancelled]);
		this.#live.delete(run);
		return outcome;
	}

	#keep(run: ItemRun, outcome: ItemOutcome) {
		if (outcome.kind !== 'result') {
			return;
		}

		this.#results.set(run.item.custom_id, outcome.result);
		this.#done += 1;
		this.#around.onItem?.();
		this.#failed += outcome.failed ? 1 : 0;
	}
}
