/**
Runs admitted work on the backend server: carries out the steps of {@link Admission} and tells each piece of work when it starts, is taken back or is refused.
*/
import type {Admission} from '../common/admission.js';
import type {AdmissionStep, Ticket} from '../common/admission-types.js';
import type {RefusalReason} from '../common/protocol.js';
import type {Disposable, EventLog, Metrics} from '../common/services.js';
import {agentEvents} from './log-events.js';

/** A piece of work as the runner sees it. */
export type Work = {
	readonly ticket: Ticket;
	/** Runs on the backend server until done or until `signal` aborts. `cut` says that the signal came first: the work can run again. */
	run(signal: AbortSignal): Promise<'done' | 'cut'>;
	/** It was not run and will not be. */
	refuse(reason: RefusalReason, retryAfterMs: number): void;
};

type Running = {readonly work: Work; readonly controller: AbortController; preempted: boolean};

const sweepMs = 20;

/** Owns the work of one backend server. */
export class WorkRunner implements Disposable {
	readonly #admission: Admission;
	readonly #log: EventLog;
	readonly #metrics: Metrics;
	readonly #waiting = new Map<string, Work>();
	readonly #running = new Map<string, Running>();
	readonly #handlers: {[Kind in AdmissionStep['kind']]: (step: Extract<AdmissionStep, {kind: Kind}>) => void};
	#timer: NodeJS.Timeout | undefined;

	constructor(admission: Admission, log: EventLog, metrics: Metrics) {
		this.#admission = admission;
		this.#log = log;
		this.#metrics = metrics;
		this.#handlers = {
			start: step => {
				this.#start(step.ticket);
			},
			preempt: step => {
				this.#preempt(step.ticket);
			},
			refuse: step => {
				this.#refuse(step.ticket, step.reason, step.retryAfterMs);
			},
		};
	}

	/** Work that waits or runs. */
	get size(): number {
		return this.#waiting.size + this.#running.size;
	}

	/** Offers work; it may start, or be refused, before this returns. */
	submit(work: Work): void {
		this.#waiting.set(work.ticket.key, work);
		const refusal = this.#admission.offer(work.ticket);
		if (refusal) {
			this.#carryOut(refusal);
		}

		this.advance();
	}

	/** Says that running work got tokens of its answer. */
	progressed(key: string, tokens: number): void {
		this.#admission.progressed(key, tokens);
	}

	/**
	Cancels work wherever it is. Waiting work is dropped without a word; running work sees its signal abort.

	@returns Whether it ran, and was stopped by this.
	*/
	cancel(key: string): boolean {
		const running = this.#running.get(key);
		const isStopped = running !== undefined && !running.controller.signal.aborted;
		if (running) {
			// It may be on its way back to the queue; cancelled work must not run again.
			running.preempted = false;
			running.controller.abort();
		}

		if (this.#admission.withdraw(key)) {
			this.#waiting.delete(key);
		}

		return isStopped;
	}

	/** Takes waiting work back. False when it is not waiting. */
	withdraw(key: string): boolean {
		return this.#admission.withdraw(key) && this.#waiting.delete(key);
	}

	/** Carries out what the admission asks for now. */
	advance(): void {
		this.#admission.steps().forEach(step => {
			this.#carryOut(step);
		});
		this.#watch();
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#running.forEach(running => {
			running.controller.abort();
		});
	}

	// Time alone lets work start or expire, but only where there is work: an idle agent does not wake up fifty times a second.
	#watch() {
		if (this.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			return;
		}

		this.#timer ??= setInterval(() => {
			this.advance();
		}, sweepMs);
	}

	#carryOut(step: AdmissionStep) {
		(this.#handlers[step.kind] as (step: AdmissionStep) => void)(step);
	}

	#start(ticket: Ticket) {
		const work = this.#waiting.get(ticket.key);
		if (!work) {
			throw new Error(`admission started unknown work ${ticket.key}`);
		}

		this.#waiting.delete(ticket.key);
		const running: Running = {work, controller: new AbortController(), preempted: false};
		this.#running.set(ticket.key, running);
		this.#log.emit(agentEvents.admitted, {key: ticket.key, workClass: ticket.workClass, account: ticket.account});
		void this.#run(running);
	}

	async #run(running: Running) {
		const {ticket} = running.work;
		const outcome = await running.work.run(running.controller.signal);
		this.#running.delete(ticket.key);
		if (running.preempted && outcome === 'cut') {
			this.#waiting.set(ticket.key, running.work);
			this.#admission.preempted(ticket.key);
		} else {
			this.#admission.finish(ticket.key, !running.controller.signal.aborted);
		}

		this.advance();
	}

	#preempt(ticket: Ticket) {
		const running = this.#running.get(ticket.key);
		if (!running) {
			return;
		}

		running.preempted = true;
		this.#log.emit(agentEvents.preempted, {key: ticket.key, account: ticket.account});
		this.#metrics.count('agent.preempted');
		running.controller.abort();
	}

	#refuse(ticket: Ticket, reason: RefusalReason, retryAfterMs: number) {
		const work = this.#waiting.get(ticket.key);
		this.#waiting.delete(ticket.key);
		this.#log.emit(agentEvents.refused, {
			key: ticket.key, account: ticket.account, reason, retryAfterMs,
		});
		this.#metrics.count('agent.refused', 1, {reason});
		work?.refuse(reason, retryAfterMs);
	}
}
