/**
One online request, from its routing to its final outcome, over as many attempts as that takes.

What may be done after a failure depends on what is known: an attempt that was refused or revoked was not run, so another replica may get the request. One that may have run is repeated only when the request is idempotent; its answer then goes on at the token where it stopped.
*/
import type {AccountName, RequestId, VmName} from '../common/ids.js';
import type {
	AttemptRequest, BackendWork, LedgerAnswer, RefusalReason,
} from '../common/protocol.js';
import type {ReplicaTable, ReplicaView} from '../common/replica-table.js';
import {fullJitterMs, type RetryBudget} from '../common/retry-budget.js';
import {chooseReplica} from '../common/route-policy.js';
import type {
	Clock, EventLog, Metrics, RandomSource,
} from '../common/services.js';
import {entryEvents} from './log-events.js';
import type {AttemptClient, AttemptOutcome} from './attempt-client.js';
import type {AnswerSink} from './answer-sink.js';

/** What a caller wants. */
export type OnlineWork = {
	readonly id: RequestId;
	readonly account: AccountName;
	readonly share: number;
	readonly work: BackendWork;
	/** False: it must run at most once. */
	readonly idempotent: boolean;
	/** The clock's `now` after which the answer is of no use. */
	readonly deadlineAt: number;
	readonly costTokens: number;
};

/** The final outcome of a request. */
export type RequestOutcome
	/** The sink has the whole answer. */
	= | {readonly kind: 'whole'}
	/** It was not run and will not be. */
		| {readonly kind: 'refused'; readonly reason: RefusalReason | 'noReplica' | 'notReached'; readonly retryAfterMs: number}
	/** The backend server's own final error. */
		| {readonly kind: 'rejected'; readonly status: number; readonly body: string}
	/** It was run, at least in part, and has no whole answer. */
		| {readonly kind: 'failed'; readonly reason: string}
	/** Non-idempotent: it may or may not have run. */
		| {readonly kind: 'unknown'; readonly reason: string}
		| {readonly kind: 'aborted'};

/** What a request needs of its entry. */
export type RequestSurroundings = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly replicas: ReplicaTable;
	readonly client: AttemptClient;
	readonly budget: RetryBudget;
};

type Step = RequestOutcome | 'again';
type Current = {readonly replica: ReplicaView; readonly attempt: AttemptRequest};

const maxAttempts = 5;
const retryBaseMs = 20;
const retryMaxMs = 500;
/** How long an agent that does not answer is asked what became of a non-idempotent request. */
const askMs = 3000;
const askPauseMs = 200;
/** When to come back if nobody says: a replica that restarts needs about this long. */
const defaultRetryAfterMs = 1000;

/** Carries one request through. */
export class OnlineRequest {
	readonly #work: OnlineWork;
	readonly #sink: AnswerSink;
	readonly #around: RequestSurroundings;
	readonly #signal: AbortSignal;
	readonly #tried = new Set<VmName>();
	readonly #handlers: {[Kind in AttemptOutcome['kind']]: (outcome: Extract<AttemptOutcome, {kind: Kind}>, current: Current) => Promise<Step> | Step};
	#attempts = 0;
	#nextChunk = 0;
	#lastRefusal: RequestOutcome | undefined;

	/** @param signal - Aborts when the caller has gone or the deadline has passed. */
	constructor(work: OnlineWork, sink: AnswerSink, around: RequestSurroundings, signal: AbortSignal) {
		this.#work = work;
		this.#sink = sink;
		this.#around = around;
		this.#signal = signal;
		this.#handlers = {
			end: () => this.#whole(),
			refused: (outcome, current) => this.#refused(outcome, current),
			failed: outcome => this.#failed(outcome),
			notSent: (outcome, current) => this.#notSent(outcome, current),
			lost: async (outcome, current) => this.#lost(outcome, current),
			noStream: async (_, current) => this.#ask(current),
			aborted: (_, current) => this.#aborted(current),
		};
	}

	/** The number of attempts made so far. */
	get attempts(): number {
		return this.#attempts;
	}

	/** Runs the request. Resolves with its outcome; never rejects. */
	async run(): Promise<RequestOutcome> {
		let step = await this.#attemptOnce();
		while (step === 'again') {
			const refusal = this.#mayRetry();
			if (refusal) {
				return refusal;
			}

			await this.#around.clock.sleep(this.#backoffMs());
			step = await this.#attemptOnce();
		}

		return step;
	}

	get #target() {
		return `${this.#work.work.kind === 'call' ? 'service' : 'model'}:${this.#work.work.target}`;
	}

	get #deadlineInMs() {
		return Math.max(0, this.#work.deadlineAt - this.#around.clock.now());
	}

	// The first change of replica happens at once: it usually meets a replica that is leaving, not an overload.
	#backoffMs() {
		return this.#attempts < 2 ? 0 : fullJitterMs(this.#attempts - 2, retryBaseMs, retryMaxMs, this.#around.random.next());
	}

	#mayRetry(): RequestOutcome | undefined {
		if (this.#signal.aborted) {
			return {kind: 'aborted'};
		}

		if (this.#attempts < maxAttempts && this.#around.budget.spend()) {
			return undefined;
		}

		return this.#giveUp('notReached', defaultRetryAfterMs);
	}

	// Given up on: the final answer goes out at once, with when to come back.
	#giveUp(reason: 'noReplica' | 'notReached', retryAfterMs: number): RequestOutcome {
		if (this.#sink.hasBegun) {
			return {kind: 'failed', reason};
		}

		return this.#lastRefusal ?? {kind: 'refused', reason, retryAfterMs};
	}

	async #attemptOnce(): Promise<Step> {
		const current = this.#choose();
		if (!current) {
			this.#around.log.emit(entryEvents.noReplica, {id: this.#work.id, target: this.#target});
			return this.#giveUp('noReplica', defaultRetryAfterMs);
		}

		const {replicas, client} = this.#around;
		replicas.began(current.replica.vm, this.#work.costTokens);
		const outcome = await client.begin(current.attempt, this.#place(current));
		const step = await this.#handle(outcome, current);
		replicas.ended(current.replica.vm);
		return step;
	}

	async #handle(outcome: AttemptOutcome, current: Current): Promise<Step> {
		return (this.#handlers[outcome.kind] as (outcome: AttemptOutcome, current: Current) => Promise<Step> | Step)(outcome, current);
	}

	#choose(): Current | undefined {
		const {replicas, random, log} = this.#around;
		const candidates = replicas.routable(this.#target);
		const choice = chooseReplica({replicas: candidates, tried: this.#tried, costTokens: this.#work.costTokens}, random);
		if (!choice) {
			return undefined;
		}

		this.#attempts += 1;
		this.#nextChunk = 0;
		this.#tried.add(choice.chosen.vm);
		log.emit(entryEvents.routed, {
			id: this.#work.id,
			attempt: this.#attempts,
			target: this.#target,
			costTokens: this.#work.costTokens,
			vm: choice.chosen.vm,
			score: choice.score,
			runnersUp: choice.runnersUp.map(({replica, score}) => ({vm: replica.vm, score})),
			candidates: candidates.length,
		});
		return {replica: choice.chosen, attempt: this.#attemptFor(choice.chosen)};
	}

	#attemptFor(replica: ReplicaView): AttemptRequest {
		const {id, account, share, costTokens} = this.#work;
		return {
			id,
			attempt: this.#attempts,
			incarnation: replica.load!.incarnation,
			account,
			share,
			work: this.#sink.continued(this.#work.work),
			deadlineInMs: this.#deadlineInMs,
			costTokens,
		};
	}

	#place({replica}: Current) {
		return {
			address: replica.address,
			signal: this.#signal,
			onChunk: (index: number, data: string) => {
				// A stream that is taken up may repeat chunks; each is passed on once.
				if (index === this.#nextChunk) {
					this.#nextChunk += 1;
					this.#sink.chunk(data);
				}
			},
		};
	}

	#whole(): Step {
		this.#around.budget.succeeded();
		return {kind: 'whole'};
	}

	#refused({refusal}: Extract<AttemptOutcome, {kind: 'refused'}>, {replica, attempt}: Current): Step {
		this.#around.replicas.heard(replica.vm, refusal.load);
		this.#around.log.emit(entryEvents.attemptRefused, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, reason: refusal.reason,
		});
		this.#lastRefusal = {kind: 'refused', reason: refusal.reason, retryAfterMs: refusal.retryAfterMs};
		return 'again';
	}

	#failed({failure}: Extract<AttemptOutcome, {kind: 'failed'}>): Step {
		if (failure.kind === 'rejected') {
			return {kind: 'rejected', status: failure.status ?? 502, body: failure.body ?? ''};
		}

		return this.#repeatOrUnknown(failure.reason);
	}

	#notSent({reason}: Extract<AttemptOutcome, {kind: 'notSent'}>, {replica, attempt}: Current): Step {
		this.#around.replicas.failed(replica.vm);
		this.#around.log.emit(entryEvents.attemptLost, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, reason, sent: false,
		});
		return 'again';
	}

	// The connection is gone, the attempt may not be: its stream is asked for on a new connection, from the chunk where it stopped.
	async #lost({reason}: Extract<AttemptOutcome, {kind: 'lost'}>, current: Current): Promise<Step> {
		const {replica, attempt} = current;
		this.#around.log.emit(entryEvents.attemptLost, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, reason, sent: true,
		});
		this.#around.replicas.failed(replica.vm);
		const outcome = await this.#around.client.resume(attempt, this.#nextChunk, this.#place(current));
		if (outcome.kind === 'lost' || outcome.kind === 'notSent') {
			return this.#ask(current);
		}

		this.#around.log.emit(entryEvents.attemptResumed, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, outcome: outcome.kind,
		});
		return this.#handle(outcome, current);
	}

	// No stream to take up: the agent's ledger says whether the attempt began, and makes sure that it does not begin later.
	async #ask(current: Current): Promise<Step> {
		const {clock, client} = this.#around;
		const until = clock.now() + (this.#work.idempotent ? 0 : Math.min(askMs, this.#deadlineInMs));
		let answer = await client.revoke(current.replica.address, current.attempt, this.#deadlineInMs);
		while (answer.isLeft() && clock.now() < until && !this.#signal.aborted) {
			await clock.sleep(askPauseMs);
			answer = await client.revoke(current.replica.address, current.attempt, this.#deadlineInMs);
		}

		return answer.isLeft() ? this.#repeatOrUnknown('agent does not answer') : this.#answered(answer.extract() as LedgerAnswer, current);
	}

	async #answered(answer: LedgerAnswer, current: Current): Promise<Step> {
		const {replica, attempt} = current;
		if (answer.incarnation !== attempt.incarnation) {
			// The process that had the attempt is gone, and with it the knowledge of whether it ran.
			return this.#repeatOrUnknown('agent restarted');
		}

		const steps: Record<LedgerAnswer['state'], () => Promise<Step> | Step> = {
			revoked: () => {
				this.#around.log.emit(entryEvents.attemptRevoked, {id: attempt.id, attempt: attempt.attempt, vm: replica.vm});
				return 'again';
			},
			running: async () => this.#takeUp(current),
			done: async () => this.#takeUp(current),
			unknown: () => this.#repeatOrUnknown('ledger has no record'),
		};
		return steps[answer.state]();
	}

	async #takeUp(current: Current): Promise<Step> {
		const outcome = await this.#around.client.resume(current.attempt, this.#nextChunk, this.#place(current));
		const isGone = outcome.kind === 'lost' || outcome.kind === 'notSent' || outcome.kind === 'noStream';
		return isGone ? this.#repeatOrUnknown('stream can not be taken up') : this.#handle(outcome, current);
	}

	#repeatOrUnknown(reason: string): Step {
		if (!this.#work.idempotent) {
			this.#around.log.emit(entryEvents.outcomeUnknown, {id: this.#work.id, reason});
			return {kind: 'unknown', reason};
		}

		return this.#sink.canContinue ? 'again' : {kind: 'failed', reason};
	}

	#aborted({replica, attempt}: Current): Step {
		this.#around.client.cancel(replica.address, attempt);
		return {kind: 'aborted'};
	}
}
