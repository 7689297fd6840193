/**
Decides what the backend server gets next. A model engine knows no priorities and admits work as it arrives, so it is never given more than it runs at once: online work first, batch work in the room that is left, and a batch item is taken back when online work waits.

The class does no I/O. Callers offer work and report its end; the steps to carry out come back from `steps`.
*/
import {FairQueue, type QueueItem} from './fair-queue.js';
import type {RefusalReason, WorkClass} from './protocol.js';
import type {Clock} from './services.js';

/** A piece of work that wants into the backend server. */
export type Ticket = QueueItem & {
	/** Unique among the tickets of this agent. */
	readonly key: string;
	readonly workClass: WorkClass;
	/** The clock's `now` after which the work is of no use. */
	readonly deadlineAt: number;
};

/** Limits of one agent. */
export type AdmissionLimits = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** Online requests that may wait here. */
	readonly maxQueued: number;
	/** Tokens the backend server computes in a second when full; for estimates of the wait. */
	readonly tokensPerSecond: number;
};

/** What the caller has to do. */
export type AdmissionStep
	= | {readonly kind: 'start'; readonly ticket: Ticket}
	/** Cancel a batch item in the backend server; it goes back to its queue. */
		| {readonly kind: 'preempt'; readonly ticket: Ticket}
		| {readonly kind: 'refuse'; readonly ticket: Ticket; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Queues and the set of running work of one backend server. */
export class Admission {
	readonly #clock: Clock;
	readonly #limits: AdmissionLimits;
	readonly #online = new FairQueue<Ticket>();
	readonly #batch = new FairQueue<Ticket>();
	readonly #running = new Map<string, Ticket>();
	readonly #preempting = new Set<string>();
	#batchLimit: number;
	#queuedTokens = 0;

	constructor(clock: Clock, limits: AdmissionLimits) {
		this.#clock = clock;
		this.#limits = limits;
		this.#batchLimit = limits.maxRunning;
	}

	/** Online requests in the backend server. */
	get onlineRunning(): number {
		return this.#countRunning('online');
	}

	get batchRunning(): number {
		return this.#countRunning('batch');
	}

	get onlineQueued(): number {
		return this.#online.length;
	}

	get batchQueued(): number {
		return this.#batch.length;
	}

	/** Tokens of online work that is queued or running. */
	get pendingTokens(): number {
		return [...this.#running.values()].filter(ticket => ticket.workClass === 'online').reduce((sum, ticket) => sum + ticket.costTokens, 0) + this.#queuedTokens;
	}

	/** Batch items that may run at once now, from 0 to the backend server's maximum. */
	get batchLimit(): number {
		return this.#batchLimit;
	}

	set batchLimit(limit: number) {
		this.#batchLimit = Math.max(0, Math.min(limit, this.#limits.maxRunning));
	}

	/**
	Offers work. Call `steps` afterwards.

	@returns Undefined when it was taken, or the refusal: the queue is full, or the wait would outlast the deadline.
	*/
	offer(ticket: Ticket): AdmissionStep | undefined {
		if (ticket.workClass === 'batch') {
			this.#batch.push(ticket);
			return undefined;
		}

		const waitMs = this.#estimatedWaitMs();
		if (this.#online.length >= this.#limits.maxQueued) {
			return {
				kind: 'refuse', ticket, reason: 'queueFull', retryAfterMs: waitMs,
			};
		}

		if (this.#clock.now() + waitMs > ticket.deadlineAt) {
			return {
				kind: 'refuse', ticket, reason: 'deadline', retryAfterMs: waitMs,
			};
		}

		this.#online.push(ticket);
		this.#queuedTokens += ticket.costTokens;
		return undefined;
	}

	/** Says that the backend server has done with the work, however it ended. Call `steps` afterwards. */
	finish(key: string): void {
		this.#running.delete(key);
		this.#preempting.delete(key);
	}

	/** Says that a preempted item has left the backend server; it waits again. Call `steps` afterwards. */
	preempted(key: string): void {
		const ticket = this.#running.get(key);
		this.finish(key);
		if (ticket) {
			this.#batch.unshift(ticket);
		}
	}

	/** Takes work out of the queues. False when it does not wait there. */
	withdraw(key: string): boolean {
		const fits = (ticket: Ticket) => ticket.key === key;
		const online = this.#takeOnline(fits);
		return online.length + this.#batch.takeWhere(fits).length > 0;
	}

	/** What has to be done now, in order. */
	steps(): AdmissionStep[] {
		return [...this.#expired(), ...this.#startOnline(), ...this.#preemptions(), ...this.#startBatch()];
	}

	#countRunning(workClass: WorkClass): number {
		return [...this.#running.values()].filter(ticket => ticket.workClass === workClass).length;
	}

	#takeOnline(fits: (ticket: Ticket) => boolean): Ticket[] {
		const taken = this.#online.takeWhere(fits);
		this.#queuedTokens -= taken.reduce((sum, ticket) => sum + ticket.costTokens, 0);
		return taken;
	}

	#estimatedWaitMs(): number {
		if (this.onlineRunning < this.#limits.maxRunning) {
			return 0;
		}

		return Math.ceil(this.pendingTokens / this.#limits.tokensPerSecond * 1000);
	}

	// Work whose deadline passed while it waited is answered at once: nobody waits for it any more.
	#expired(): AdmissionStep[] {
		if (this.#online.length === 0) {
			return [];
		}

		const now = this.#clock.now();
		return this.#takeOnline(ticket => ticket.deadlineAt <= now).map(ticket => ({
			kind: 'refuse', ticket, reason: 'deadline', retryAfterMs: this.#estimatedWaitMs(),
		}));
	}

	#startOnline(): AdmissionStep[] {
		return this.#startFrom(this.#online, () => this.#running.size < this.#limits.maxRunning);
	}

	#startBatch(): AdmissionStep[] {
		return this.#startFrom(this.#batch, () => this.#online.length === 0 && this.#running.size < this.#limits.maxRunning && this.batchRunning < this.#batchLimit);
	}

	#startFrom(queue: FairQueue<Ticket>, hasRoom: () => boolean): AdmissionStep[] {
		const started: AdmissionStep[] = [];
		while (queue.length > 0 && hasRoom()) {
			const ticket = queue.shift()!;
			this.#queuedTokens -= queue === this.#online ? ticket.costTokens : 0;
			this.#running.set(ticket.key, ticket);
			started.push({kind: 'start', ticket});
		}

		return started;
	}

	// The engine would make online work wait behind batch work for as long as that takes; a cancelled item frees its place within a step and is resumed later.
	#preemptions(): AdmissionStep[] {
		const overLimit = this.batchRunning - this.#preempting.size - this.#batchLimit;
		const wanted = Math.max(this.#online.length - this.#preempting.size, overLimit);
		if (wanted <= 0) {
			return [];
		}

		return [...this.#running.values()]
			.filter(ticket => ticket.workClass === 'batch' && !this.#preempting.has(ticket.key))
			.slice(-wanted)
			.map(ticket => {
				this.#preempting.add(ticket.key);
				return {kind: 'preempt', ticket};
			});
	}
}
