/**
A fleet in virtual time: entries with their late views, replicas with the agents' admission before stand-in engines, and one-way delays between them. The decisions are the system's own classes; connections, processes and HTTP are left out.
*/
import {branded, type AccountName, type BlockHash} from '../../src/common/ids.js';
import type {AdmissionLimits} from '../../src/common/admission-types.js';
import {blockHashes} from '../../src/common/prefix-blocks.js';
import {h32} from '../../src/common/xxhash.js';
import {ReplicaTable, type ReplicaView} from '../../src/common/replica-table.js';
import {fullJitterMs, RetryBudget} from '../../src/common/retry-budget.js';
import type {RandomSource} from '../../src/common/services.js';
import type {EngineSettings} from '../../src/standins/engine-settings.js';
import {ReplicaModel} from './replica-model.js';
import {VirtualTime} from './virtual-time.js';

/** An online request. */
export type ModelRequest = {
	readonly id: string;
	readonly account: AccountName;
	readonly share: number;
	readonly session: string;
	readonly promptText: string;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** The answer's length as the entry estimates it. */
	readonly expectedTokens: number;
	readonly deadlineMs: number;
	/** Called when the answer is whole at the entry. */
	readonly onWhole?: () => void;
};

/** What became of a request, in milliseconds. */
export type ModelOutcome = {
	readonly account: AccountName;
	readonly arrivedAt: number;
	/** From the caller's view at its entry. */
	firstTokenMs?: number;
	endMs?: number;
	/** The time between tokens, one value each. */
	readonly gaps: number[];
	refused?: {readonly reason: string; readonly afterMs: number; readonly retryAfterMs: number};
	attempts: number;
};

/** What a policy chooses from. */
export type ModelQuestion = {
	readonly request: ModelRequest;
	readonly blocks: readonly BlockHash[];
	readonly replicas: readonly ReplicaView[];
	readonly tried: ReadonlySet<string>;
	readonly random: RandomSource;
	/** The index of the entry that asks. */
	readonly entry: number;
};

/** Chooses a replica. */
export type ModelPolicy = {
	choose(question: ModelQuestion): ReplicaView | undefined;
	/** Hears which blocks of a prompt a replica holds. */
	confirmed?(entry: number, vm: string, blocks: readonly BlockHash[]): void;
};

/** The fleet's sizes. */
export type FleetModelSettings = {
	readonly replicas: number;
	readonly entries: number;
	readonly failureDomains: readonly string[];
	/** One-way delay between failure domains. */
	readonly betweenDomainsMs: number;
	readonly engine: EngineSettings;
	readonly limits: AdmissionLimits;
	readonly policy: ModelPolicy;
	readonly random: RandomSource;
	readonly loadPollMs?: number;
};

type EntryModel = {readonly failureDomain: string; readonly table: ReplicaTable; readonly budget: RetryBudget};

const tokensPerBlock = 16;
const withinDomainMs = 0.05;
const defaultPollMs = 250;
const silenceMs = 1000;
const maxAttempts = 5;

/** Runs requests on modelled replicas. */
export class FleetModel {
	readonly time = new VirtualTime();
	readonly replicas: readonly ReplicaModel[];
	readonly outcomes: ModelOutcome[] = [];
	retries = 0;
	readonly #settings: FleetModelSettings;
	readonly #entries: readonly EntryModel[];
	readonly #byVm = new Map<string, ReplicaModel>();

	constructor(settings: FleetModelSettings) {
		this.#settings = settings;
		const {failureDomains, engine, limits} = settings;
		const domainOf = (index: number) => failureDomains[index % failureDomains.length]!;
		this.replicas = Array.from({length: settings.replicas}, (_, i) => new ReplicaModel(this.time, {
			vm: `vm-${i}`, failureDomain: domainOf(i), engine, limits,
		}));
		this.replicas.forEach(replica => {
			this.#byVm.set(replica.vm, replica);
		});
		this.#entries = Array.from({length: settings.entries}, (_, i) => ({
			failureDomain: domainOf(i), table: new ReplicaTable(this.time, silenceMs), budget: new RetryBudget({perSuccess: 0.1, max: 100}),
		}));
		this.#entries.forEach(entry => {
			this.#poll(entry);
		});
	}

	/** A request arrives at an entry drawn by chance. */
	arrive(request: ModelRequest): void {
		const outcome: ModelOutcome = {
			account: request.account, arrivedAt: this.time.now(), gaps: [], attempts: 0,
		};
		this.outcomes.push(outcome);
		// A caller keeps its connection, and with it its entry.
		const index = h32(request.session) % this.#entries.length;
		this.#attempt({
			request, outcome, index, tried: new Set(), blocks: blockHashes(request.promptText), deadlineAt: this.time.now() + request.deadlineMs,
		});
	}

	#poll(entry: EntryModel) {
		entry.table.applyVmList(this.replicas.map(({vm, failureDomain}) => ({
			name: vm, role: 'backend', address: '', failureDomain, state: 'live',
		})));
		this.replicas.forEach(replica => {
			entry.table.applyReport(replica.vm, replica.load());
			this.time.repeat(this.#settings.loadPollMs ?? defaultPollMs, () => {
				const load = replica.load();
				this.time.after(this.#delay(entry, replica), () => {
					entry.table.applyReport(replica.vm, load);
				});
			});
		});
	}

	#delay(entry: EntryModel, replica: ReplicaModel) {
		return entry.failureDomain === replica.failureDomain ? withinDomainMs : this.#settings.betweenDomainsMs;
	}

	#attempt(run: Run) {
		const entry = this.#entries[run.index]!;
		const {request, outcome} = run;
		const chosen = this.#settings.policy.choose({
			request, blocks: run.blocks, replicas: entry.table.routable('model:model'), tried: run.tried, random: this.#settings.random, entry: run.index,
		});
		if (!chosen) {
			outcome.refused = {reason: 'noReplica', afterMs: this.time.now() - outcome.arrivedAt, retryAfterMs: 1000};
			return;
		}

		run.tried.add(chosen.vm);
		outcome.attempts += 1;
		const replica = this.#byVm.get(chosen.vm)!;
		entry.table.began(replica.vm, request.promptTokens + request.expectedTokens);
		this.time.after(this.#delay(entry, replica), () => {
			this.#submit(run, entry, replica);
		});
	}

	#submit(run: Run, entry: EntryModel, replica: ReplicaModel) {
		const {request, outcome} = run;
		const back = (act: () => void) => {
			this.time.after(this.#delay(entry, replica), act);
		};

		// The agent knows what its engine holds.
		const promptTokens = request.promptTokens - (replica.cachedBlocks(run.blocks).length * tokensPerBlock);
		let lastAt = 0;
		replica.submit({
			ticket: {
				key: `${request.id}/${outcome.attempts}`,
				workClass: 'online',
				account: request.account,
				share: request.share,
				costTokens: promptTokens + request.expectedTokens,
				promptTokens,
				deadlineAt: run.deadlineAt,
			},
			generation: {promptText: request.promptText, promptTokens: request.promptTokens, answerTokens: request.answerTokens},
			onToken: () => {
				back(() => {
					const now = this.time.now();
					if (outcome.firstTokenMs === undefined) {
						outcome.firstTokenMs = now - outcome.arrivedAt;
					} else {
						outcome.gaps.push(now - lastAt);
					}

					lastAt = now;
				});
			},
			onEnd: () => {
				const load = replica.load();
				const held = replica.cachedBlocks(run.blocks);
				back(() => {
					outcome.endMs = this.time.now() - outcome.arrivedAt;
					entry.budget.succeeded();
					entry.table.applyReport(replica.vm, load);
					entry.table.ended(replica.vm);
					this.#confirm(run.index, replica, held);
					request.onWhole?.();
				});
			},
			onRefused: (reason, retryAfterMs) => {
				const load = replica.load();
				back(() => {
					entry.table.applyReport(replica.vm, load);
					entry.table.ended(replica.vm);
					this.#refused(run, entry, {reason, retryAfterMs});
				});
			},
		});
		// The stream opens with the agent's load, this request counted.
		const begun = replica.load();
		back(() => {
			entry.table.applyReport(replica.vm, begun);
		});
	}

	// The entry that asked hears at once, the others with their next report.
	#confirm(index: number, {vm}: ReplicaModel, held: readonly BlockHash[]) {
		const {policy, loadPollMs = defaultPollMs} = this.#settings;
		policy.confirmed?.(index, vm, held);
		this.time.after(loadPollMs, () => {
			this.#entries.forEach((_, other) => {
				policy.confirmed?.(other, vm, held);
			});
		});
	}

	#refused(run: Run, entry: EntryModel, refusal: {readonly reason: string; readonly retryAfterMs: number}) {
		const {outcome} = run;
		if (outcome.attempts < maxAttempts && entry.budget.spend()) {
			this.retries += 1;
			const backoffMs = outcome.attempts < 2 ? 0 : fullJitterMs(outcome.attempts - 2, 20, 500, this.#settings.random.next());
			this.time.after(backoffMs, () => {
				this.#attempt(run);
			});
			return;
		}

		outcome.refused = {...refusal, afterMs: this.time.now() - outcome.arrivedAt};
	}
}

type Run = {
	readonly request: ModelRequest;
	readonly outcome: ModelOutcome;
	readonly index: number;
	readonly tried: Set<string>;
	readonly blocks: readonly BlockHash[];
	readonly deadlineAt: number;
};

/** A client account's name. */
export const accountOf = (name: string): AccountName => branded(name);
