/**
Decides what the backend server gets next. A model engine knows no priorities and admits work as it arrives, so it is never given more than it runs at once: online work first, batch work in the room that is left and as far as the {@link BatchPacer} allows, and a batch item is taken back when online work waits.

The class does no I/O. Callers offer work and report its progress and end; the steps to carry out come back from `steps`.
*/
import {AccountSlots, headroomShare} from './account-slots.js';
import {
	ticketPromptTokens, type AdmissionLimits, type AdmissionStep, type Ticket,
} from './admission-types.js';
import {BatchPacer} from './batch-pacer.js';
import {LongPrompts} from './long-prompts.js';
import {FairQueue} from './fair-queue.js';
import type {RefusalReason, WorkClass} from './protocol.js';
import {RunningWork, type RunningItem} from './running-work.js';
import {ServiceRate} from './service-rate.js';
import type {Clock} from './services.js';

const defaultBatchWeight = 0.3;
// Of the places in the backend server, the part that batch work leaves free, so that the first online request of a burst starts without waiting for a cancellation.
const reservedShare = 1 / 16;
// An answer that comes after its deadline has cost a place for nothing; a request refused by mistake only goes elsewhere.
const estimateMargin = 1.2;

/** Queues and the set of running work of one backend server. */
export class Admission {
	readonly pacer: BatchPacer;
	readonly #clock: Clock;
	readonly #limits: AdmissionLimits;
	readonly #rate: ServiceRate;
	readonly #slots: AccountSlots;
	readonly #queues = {online: new FairQueue<Ticket>(), batch: new FairQueue<Ticket>()};
	readonly #queued = new Map<string, Ticket>();
	readonly #running = new RunningWork();
	readonly #preempting = new Set<string>();
	readonly #batchRoom: number;
	readonly #longPrompts: LongPrompts<Ticket>;
	#nextDeadline = Number.POSITIVE_INFINITY;

	constructor(clock: Clock, limits: AdmissionLimits) {
		this.#clock = clock;
		this.#limits = limits;
		this.#rate = new ServiceRate(limits);
		this.#longPrompts = new LongPrompts(clock);
		this.#slots = new AccountSlots(clock, limits.maxRunning);
		const batchWeight = limits.batchWeight ?? defaultBatchWeight;
		this.pacer = new BatchPacer(clock, {maxRunning: limits.maxRunning, batchWeight});
		this.#batchRoom = limits.maxRunning - Math.floor(limits.maxRunning * reservedShare * (1 - batchWeight));
	}

	/** Online requests in the backend server. */
	get onlineRunning(): number {
		return this.#running.count('online');
	}

	get batchRunning(): number {
		return this.#running.count('batch');
	}

	get onlineQueued(): number {
		return this.#queues.online.length;
	}

	get batchQueued(): number {
		return this.#queues.batch.length + this.#longPrompts.length;
	}

	/** Tokens of online work that is queued or running, less those that running work has got already. */
	get pendingTokens(): number {
		return this.#running.onlineTokensLeft + this.#queues.online.queuedTokens;
	}

	/**
	Offers work. Call `steps` afterwards, unless the work itself was refused.

	@returns Undefined, or a refusal: of this work, since the queue is full or the wait would outlast the deadline; or of other work, which gives way since its account has more than its share of a full queue.
	*/
	offer(ticket: Ticket): AdmissionStep | undefined {
		if (ticket.workClass === 'batch') {
			this.#enqueue(ticket);
			return undefined;
		}

		const waitMs = this.#waitMs(ticket);
		this.#slots.recordActivity(ticket);
		if (waitMs > 0 && this.#clock.now() + ((waitMs + this.#serviceMs(ticket)) * estimateMargin) > ticket.deadlineAt) {
			return this.#refusal(ticket, 'deadline', waitMs);
		}

		if (this.onlineQueued < this.#limits.maxQueued) {
			this.#enqueue(ticket);
			return undefined;
		}

		return this.#displace(ticket, waitMs);
	}

	/** Says that the backend server gave tokens of the answer to running work. */
	progressed(key: string, tokens: number): void {
		const running = this.#running.get(key);
		if (!running) {
			return;
		}

		const now = this.#clock.now();
		this.#noteProgress(running, tokens, now);
		this.#running.progressed(key, tokens, now);
	}

	/**
	Says that the backend server has done with the work. Call `steps` afterwards.

	@param served - False when it was cancelled or failed, so that its time says nothing of the backend server's rate.
	*/
	finish(key: string, served = true): void {
		const running = this.#leave(key);
		if (!running) {
			return;
		}

		const {ticket, startedAt, tokens} = running;
		this.#longPrompts.clearYieldDeadline(key);
		if (served) {
			this.#rate.finished(ticket.costTokens, this.#clock.now() - startedAt);
		}

		// The account pays what the work has cost, not what it was expected to cost.
		const cost = tokens > 0 && ticket.promptTokens !== undefined ? ticket.promptTokens + tokens : ticket.costTokens;
		this.#queues[ticket.workClass].charge(ticket, cost - ticket.costTokens);
	}

	/** Says that a preempted item has left the backend server; it waits again. Call `steps` afterwards. */
	preempted(key: string): void {
		const running = this.#leave(key);
		if (running) {
			this.#queues.batch.unshift(running.ticket);
			this.#queued.set(key, running.ticket);
		}
	}

	/** Takes work out of the queues. False when it does not wait there. */
	withdraw(key: string): boolean {
		const ticket = this.#queued.get(key);
		return ticket !== undefined && this.#dequeue(ticket);
	}

	/** What has to be done now, in order. */
	steps(): AdmissionStep[] {
		if (this.onlineRunning > 0 || this.onlineQueued > 0) {
			this.pacer.recordOnlineActivity();
		}

		return [...this.#expired(), ...this.#startOnline(), ...this.#preemptions(), ...this.#startBatch()];
	}

	get #size() {
		return this.onlineRunning + this.batchRunning;
	}

	#enqueue(ticket: Ticket) {
		this.#queues[ticket.workClass].push(ticket);
		this.#queued.set(ticket.key, ticket);
		this.#nextDeadline = Math.min(this.#nextDeadline, this.#latestStart(ticket));
	}

	#dequeue(ticket: Ticket): boolean {
		this.#queued.delete(ticket.key);
		this.#longPrompts.clearYieldDeadline(ticket.key);
		return this.#longPrompts.remove(ticket) || this.#queues[ticket.workClass].remove(ticket);
	}

	#noteProgress({ticket, startedAt, tokens: before, lastTokenAt: tokenAt}: RunningItem, tokens: number, now: number) {
		const isFirst = before === 0;
		if (ticket.workClass === 'batch') {
			if (isFirst) {
				this.pacer.recordFirstBatchToken(now - startedAt);
			}

			return;
		}

		if (isFirst) {
			this.#slots.prefilled(ticket);
		} else {
			this.pacer.recordOnlineTokens(now - tokenAt, tokens, this.batchRunning);
		}
	}

	#leave(key: string): RunningItem | undefined {
		const running = this.#running.end(key);
		if (!running) {
			return undefined;
		}

		this.#preempting.delete(key);
		if (running.ticket.workClass === 'online') {
			this.#slots.ended(running.ticket, running.tokens > 0);
		}

		return running;
	}

	// A queue that one account has filled must not turn the others away: their first requests would be refused for as long as it sends.
	#displace(ticket: Ticket, waitMs: number): AdmissionStep {
		const surplus = this.#queues.online.evictionCandidateFor(ticket);
		if (!surplus) {
			return this.#refusal(ticket, 'queueFull', waitMs);
		}

		this.#dequeue(surplus);
		this.#enqueue(ticket);
		return this.#refusal(surplus, 'queueFull', this.#waitMs(surplus));
	}

	#refusal(ticket: Ticket, reason: RefusalReason, waitMs: number): AdmissionStep {
		return {
			kind: 'refuse', ticket, reason, retryAfterMs: Math.ceil(waitMs),
		};
	}

	#serviceMs(ticket: Ticket): number {
		return ticket.costTokens * this.#rate.msPerToken;
	}

	// The places in the backend server work off the tokens side by side.
	#waitMs(ticket: Ticket): number {
		if (this.onlineQueued === 0 && this.onlineRunning < this.#limits.maxRunning) {
			return 0;
		}

		const now = this.#clock.now();
		const queuedMs = this.#queues.online.tokensAheadOf(ticket) * this.#rate.msPerToken;
		const runningMs = this.#running.all('online').reduce((sum, {ticket: other, startedAt}) => sum + Math.max(0, this.#serviceMs(other) - (now - startedAt)), 0);
		return (queuedMs + runningMs) / this.#limits.maxRunning;
	}

	#latestStart(ticket: Ticket): number {
		return ticket.deadlineAt - this.#serviceMs(ticket);
	}

	// Work that can not be completed before its deadline any more is answered at once: it would take a place from work that can.
	#expired(): AdmissionStep[] {
		const now = this.#clock.now();
		if (now < this.#nextDeadline) {
			return [];
		}

		const isFull = this.#size >= this.#limits.maxRunning;
		const expired = this.#queues.online.takeWhere(ticket => now >= (isFull ? this.#latestStart(ticket) : ticket.deadlineAt));
		expired.forEach(({key}) => {
			this.#queued.delete(key);
		});
		this.#nextDeadline = Math.min(...[...this.#queued.values()].map(ticket => this.#latestStart(ticket)));
		return expired.map(ticket => this.#refusal(ticket, 'deadline', this.#waitMs(ticket)));
	}

	#startOnline(): AdmissionStep[] {
		return this.#startFrom('online', () => this.#size < this.#limits.maxRunning, ticket => this.#mayTakePlace(ticket));
	}

	#startBatch(): AdmissionStep[] {
		if (this.onlineQueued > 0) {
			return [];
		}

		this.#holdLongPrompts();
		const {limit, prefillTokenLimit: prefillRoom} = this.pacer;
		return this.#startFrom('batch', () => this.#size < this.#batchRoom
			&& this.batchRunning < limit
			&& this.#running.batchPrefillTokens < prefillRoom
			&& this.pacer.mayStart());
	}

	#holdLongPrompts() {
		this.#longPrompts.release(this.pacer.isOnlinePresent).toReversed().forEach(ticket => {
			this.#queues.batch.unshift(ticket);
		});
		for (let next = this.#queues.batch.peek(); next && this.#mustGiveWay(next); next = this.#queues.batch.peek()) {
			this.#longPrompts.holdBack(this.#queues.batch.shift()!);
		}
	}

	#mustGiveWay(ticket: Ticket): boolean {
		return this.pacer.isOnlinePresent && ticketPromptTokens(ticket) > this.pacer.prefillTokenLimit && this.#longPrompts.shouldYield(ticket);
	}

	// An account over its share leaves places free and computes one prompt at a time, else the requests of the others would wait for its requests to end.
	#mayTakePlace(ticket: Ticket): boolean {
		return !this.#slots.isOverShare(ticket)
			|| (this.onlineRunning < this.#limits.maxRunning * (1 - headroomShare) && this.#slots.prefilling(ticket) < 1);
	}

	#startFrom(workClass: WorkClass, hasRoom: () => boolean, fits?: (ticket: Ticket) => boolean): AdmissionStep[] {
		const started: AdmissionStep[] = [];
		while (this.#queues[workClass].length > 0 && hasRoom()) {
			const ticket = this.#queues[workClass].shift(fits);
			if (!ticket) {
				break;
			}

			this.#queued.delete(ticket.key);
			this.#begin(ticket);
			started.push({kind: 'start', ticket});
		}

		return started;
	}

	#begin(ticket: Ticket) {
		this.#running.begin(ticket, this.#clock.now());
		if (ticket.workClass === 'online') {
			this.#slots.began(ticket);
		} else {
			this.pacer.started();
		}
	}

	// The engine would make online work wait behind batch work for as long as that takes; a cancelled item frees its place within a step and is resumed later.
	#preemptions(): AdmissionStep[] {
		const overLimit = this.batchRunning - this.#preempting.size - this.pacer.limit;
		const wanted = Math.max(0, this.onlineQueued - this.#preempting.size, overLimit);
		const candidates = this.#running.all('batch').filter(({ticket}) => !this.#preempting.has(ticket.key));
		const inTheWay = candidates.filter(({ticket, tokens}) => tokens === 0 && this.#mustGiveWay(ticket));
		const others = wanted > inTheWay.length ? candidates.filter(running => !inTheWay.includes(running)).slice(inTheWay.length - wanted) : [];
		return [...inTheWay, ...others]
			.map(({ticket}) => {
				this.#preempting.add(ticket.key);
				return {kind: 'preempt', ticket};
			});
	}
}
