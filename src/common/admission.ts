/**
Decides which work the backend server runs next. A model engine has no priorities and admits work as it arrives, so it is never given more than it runs at once: online work first, then batch work in the remaining slots as far as the {@link BatchPacer} allows. A batch item is preempted when online work waits.

The class does no I/O. Callers offer work and report its progress and end; `steps` returns the steps to carry out.
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
// Share of the backend server's slots that batch work leaves free, so that the first online request of a burst starts without waiting for a cancellation.
const reservedShare = 1 / 16;
// Estimates err towards refusal: an answer after its deadline has occupied a slot for nothing, while a request refused by mistake only goes to another replica.
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

	/** Tokens of online work that is queued or running, less those already generated. */
	get pendingTokens(): number {
		return this.#running.onlineTokensLeft + this.#queues.online.queuedTokens;
	}

	/**
	Offers work. Call `steps` afterwards, unless the work itself was refused.

	@returns Undefined when the work was queued, or a refusal: of this work, because the queue is full or the wait would exceed the deadline; or of other work, which is displaced because its account has more than its share of a full queue.
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

	/** Records tokens that the backend server generated for running work. Work that is not running is ignored. */
	progressed(key: string, tokens: number): void {
		const running = this.#running.get(key);
		if (!running) {
			return;
		}

		const now = this.#clock.now();
		this.#recordProgress(running, tokens, now);
		this.#running.progressed(key, tokens, now);
	}

	/**
	Records the end of running work. Call `steps` afterwards. Work that is not running is ignored.

	@param served - False when it was cancelled or failed; its duration is then left out of the backend server's rate.
	*/
	finish(key: string, served = true): void {
		const running = this.#removeRunning(key);
		if (!running) {
			return;
		}

		const {ticket, startedAt, tokens} = running;
		this.#longPrompts.clearYieldDeadline(key);
		if (served) {
			this.#rate.finished(ticket.costTokens, this.#clock.now() - startedAt);
		}

		// The account is charged the actual cost instead of the estimate.
		const cost = tokens > 0 && ticket.promptTokens !== undefined ? ticket.promptTokens + tokens : ticket.costTokens;
		this.#queues[ticket.workClass].charge(ticket, cost - ticket.costTokens);
	}

	/** Records that a preempted item has left the backend server and queues it again. Call `steps` afterwards. */
	preempted(key: string): void {
		const running = this.#removeRunning(key);
		if (running) {
			this.#queues.batch.unshift(running.ticket);
			this.#queued.set(key, running.ticket);
		}
	}

	/** Removes work from the queues. False when it is not queued. */
	withdraw(key: string): boolean {
		const ticket = this.#queued.get(key);
		return ticket !== undefined && this.#dequeue(ticket);
	}

	/** Returns the steps to carry out now, in order. */
	steps(): AdmissionStep[] {
		if (this.onlineRunning > 0 || this.onlineQueued > 0) {
			this.pacer.recordOnlineActivity();
		}

		return [...this.#refuseExpired(), ...this.#startOnline(), ...this.#preemptions(), ...this.#startBatch()];
	}

	get #runningCount() {
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

	#recordProgress({ticket, startedAt, tokens: tokensBefore, lastTokenAt}: RunningItem, tokens: number, now: number) {
		const isFirst = tokensBefore === 0;
		if (ticket.workClass === 'batch') {
			if (isFirst) {
				this.pacer.recordFirstBatchToken(now - startedAt);
			}

			return;
		}

		if (isFirst) {
			this.#slots.prefilled(ticket);
		} else {
			this.pacer.recordOnlineTokens(now - lastTokenAt, tokens, this.batchRunning);
		}
	}

	#removeRunning(key: string): RunningItem | undefined {
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

	// When one account has filled the queue, its newest request is refused instead of another account's: otherwise the others would be refused for as long as it keeps sending.
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

	// The slots of the backend server process tokens in parallel.
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

	// Work that can no longer be completed before its deadline is refused at once: it would take a slot from work that can.
	#refuseExpired(): AdmissionStep[] {
		const now = this.#clock.now();
		if (now < this.#nextDeadline) {
			return [];
		}

		const isFull = this.#runningCount >= this.#limits.maxRunning;
		const expired = this.#queues.online.takeWhere(ticket => now >= (isFull ? this.#latestStart(ticket) : ticket.deadlineAt));
		expired.forEach(({key}) => {
			this.#queued.delete(key);
		});
		this.#nextDeadline = Math.min(...[...this.#queued.values()].map(ticket => this.#latestStart(ticket)));
		return expired.map(ticket => this.#refusal(ticket, 'deadline', this.#waitMs(ticket)));
	}

	#startOnline(): AdmissionStep[] {
		return this.#startFrom('online', () => this.#runningCount < this.#limits.maxRunning, ticket => this.#mayTakeSlot(ticket));
	}

	#startBatch(): AdmissionStep[] {
		if (this.onlineQueued > 0) {
			return [];
		}

		this.#holdBackLongPrompts();
		const {limit, prefillTokenLimit} = this.pacer;
		return this.#startFrom('batch', () => this.#runningCount < this.#batchRoom
			&& this.batchRunning < limit
			&& this.#running.batchPrefillTokens < prefillTokenLimit
			&& this.pacer.mayStart());
	}

	#holdBackLongPrompts() {
		this.#longPrompts.release(this.pacer.isOnlinePresent).toReversed().forEach(ticket => {
			this.#queues.batch.unshift(ticket);
		});
		for (let next = this.#queues.batch.peek(); next && this.#mustYield(next); next = this.#queues.batch.peek()) {
			this.#longPrompts.holdBack(this.#queues.batch.shift()!);
		}
	}

	#mustYield(ticket: Ticket): boolean {
		return this.pacer.isOnlinePresent && ticketPromptTokens(ticket) > this.pacer.prefillTokenLimit && this.#longPrompts.shouldYield(ticket);
	}

	// An account over its share leaves slots free and computes one prompt at a time, otherwise the requests of other accounts would wait for its requests to end.
	#mayTakeSlot(ticket: Ticket): boolean {
		return !this.#slots.isOverShare(ticket)
			|| (this.onlineRunning < this.#limits.maxRunning * (1 - headroomShare) && this.#slots.prefilling(ticket) < 1);
	}

	#startFrom(workClass: WorkClass, hasCapacity: () => boolean, isEligible?: (ticket: Ticket) => boolean): AdmissionStep[] {
		const started: AdmissionStep[] = [];
		while (this.#queues[workClass].length > 0 && hasCapacity()) {
			const ticket = this.#queues[workClass].shift(isEligible);
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

	// Without preemption the engine would delay online work until batch items end; a cancelled item frees its slot within one step and is resumed later.
	#preemptions(): AdmissionStep[] {
		const overLimit = this.batchRunning - this.#preempting.size - this.pacer.limit;
		const preemptionsNeeded = Math.max(0, this.onlineQueued - this.#preempting.size, overLimit);
		const candidates = this.#running.all('batch').filter(({ticket}) => !this.#preempting.has(ticket.key));
		const yieldingItems = candidates.filter(({ticket, tokens}) => tokens === 0 && this.#mustYield(ticket));
		const others = preemptionsNeeded > yieldingItems.length ? candidates.filter(running => !yieldingItems.includes(running)).slice(yieldingItems.length - preemptionsNeeded) : [];
		return [...yieldingItems, ...others]
			.map(({ticket}) => {
				this.#preempting.add(ticket.key);
				return {kind: 'preempt', ticket};
			});
	}
}
