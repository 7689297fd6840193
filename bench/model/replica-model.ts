/**
One replica in virtual time: the agent's admission before an engine. It carries out the admission's steps as the agent's work runner does.
*/
import {Admission} from '../../src/common/admission.js';
import type {AdmissionLimits, AdmissionStep, Ticket} from '../../src/common/admission-types.js';
import {
	branded, type BlockHash, type FailureDomain, type Revision, type VmName,
} from '../../src/common/ids.js';
import type {LoadReport, RefusalReason} from '../../src/common/protocol.js';
import type {EngineSettings} from '../../src/standins/engine-settings.js';
import type {Sequence} from '../../src/standins/sequence.js';
import {EngineModel, type Generation} from './engine-model.js';
import type {VirtualTime} from './virtual-time.js';

/** Work and what its owner wants to hear. */
export type ModelWork = {
	readonly ticket: Ticket;
	readonly generation: Omit<Generation, 'key' | 'resumedTokens'>;
	readonly onToken: () => void;
	readonly onEnd: () => void;
	readonly onRefused: (reason: RefusalReason, retryAfterMs: number) => void;
};

type Held = {readonly work: ModelWork; tokens: number; sequence?: Sequence};

/** What a replica is made of. */
export type ReplicaSettings = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly engine: EngineSettings;
	readonly limits: AdmissionLimits;
};

// The agent looks for due steps this often besides at each event.
const sweepMs = 20;
/** Milliseconds from the agent to its engine. */
const localMs = 0.05;

export class ReplicaModel {
	readonly vm: VmName;
	readonly failureDomain: FailureDomain;
	readonly engine: EngineModel;
	readonly admission: Admission;
	preemptions = 0;
	readonly #time: VirtualTime;
	readonly #limits: AdmissionLimits;
	readonly #held = new Map<string, Held>();
	readonly #handlers: {[Kind in AdmissionStep['kind']]: (step: Extract<AdmissionStep, {kind: Kind}>) => void} = {
		start: ({ticket}) => {
			this.#start(ticket);
		},
		preempt: ({ticket}) => {
			this.#preempt(ticket);
		},
		refuse: ({ticket, reason, retryAfterMs}) => {
			const held = this.#held.get(ticket.key);
			this.#held.delete(ticket.key);
			held?.work.onRefused(reason, retryAfterMs);
		},
	};

	constructor(time: VirtualTime, {vm, failureDomain, engine, limits}: ReplicaSettings) {
		this.vm = branded(vm);
		this.failureDomain = branded(failureDomain);
		this.#time = time;
		this.#limits = limits;
		this.engine = new EngineModel(time, {...engine, maxBatch: limits.maxRunning});
		this.admission = new Admission(time, limits);
		time.repeat(sweepMs, () => {
			this.#advance();
		});
	}

	submit(work: ModelWork): void {
		this.#held.set(work.ticket.key, {work, tokens: 0});
		const refusal = this.admission.offer(work.ticket);
		if (refusal) {
			this.#carryOut(refusal);
		}

		this.#advance();
	}

	load(): LoadReport {
		return {
			vm: this.vm,
			incarnation: branded('1'),
			at: this.#time.now(),
			draining: false,
			serves: ['model:model'],
			running: this.admission.onlineRunning,
			queued: this.admission.onlineQueued,
			pendingTokens: this.admission.pendingTokens,
			batchRunning: this.admission.batchRunning,
			batchRoom: 0,
			maxRunning: this.#limits.maxRunning,
			configRevision: branded<Revision>(0),
		};
	}

	/** The blocks of a prompt that the engine holds. */
	cachedBlocks(blocks: readonly BlockHash[]): readonly BlockHash[] {
		return this.engine.held(blocks);
	}

	#advance() {
		this.admission.steps().forEach(step => {
			this.#carryOut(step);
		});
	}

	#carryOut(step: AdmissionStep) {
		(this.#handlers[step.kind] as (step: AdmissionStep) => void)(step);
	}

	#start(ticket: Ticket) {
		const held = this.#held.get(ticket.key)!;
		this.#time.after(localMs, () => {
			held.sequence = this.engine.submit({...held.work.generation, key: ticket.key, resumedTokens: held.tokens}, () => {
				held.tokens += 1;
				this.admission.progressed(ticket.key, 1);
				held.work.onToken();
			}, () => {
				this.#held.delete(ticket.key);
				this.admission.finish(ticket.key);
				held.work.onEnd();
				this.#advance();
			});
		});
	}

	#preempt(ticket: Ticket) {
		this.preemptions += 1;
		this.#time.after(localMs, () => {
			const held = this.#held.get(ticket.key);
			if (!held?.sequence) {
				return;
			}

			this.engine.cancel(held.sequence);
			held.sequence = undefined;
			this.admission.preempted(ticket.key);
			this.#advance();
		});
	}
}
