/**
One online request, from its routing to its final outcome, over as many attempts as that takes.

What may be done after a failure depends on what is known: an attempt that was refused or revoked was not run, so another replica may get the request. One that may have run is repeated only when the request is idempotent; its answer then goes on at the token where it stopped.
*/
import type {VmName} from '../common/ids.js';
import type {AttemptRequest, LedgerAnswer, LoadReport} from '../common/protocol.js';
import type {ReplicaView} from '../common/replica-table.js';
import {fullJitterMs} from '../common/retry-budget.js';
import {entryEvents} from './log-events.js';
import type {AttemptOutcome, AttemptPlace} from './attempt-client.js';
import {AttemptRecovery, type CurrentAttempt, type Settlement} from './attempt-recovery.js';
import type {AnswerSink} from './answer-sink.js';
import {CompletionWindow} from './completion-window.js';
import {
	deadlinePassed, type Caller, type OnlineWork, type RequestOutcome, type RequestSurroundings,
} from './online-work.js';
import {RunRecord} from './run-record.js';

type Step = RequestOutcome | 'again';
type Outcome = AttemptOutcome | Settlement;
type Handler<Kind extends Outcome['kind']> = (outcome: Extract<Outcome, {kind: Kind}>, current: CurrentAttempt) => Promise<Step> | Step;

const maxAttempts = 5;
const retryBaseMs = 20;
const retryMaxMs = 500;
/** When to come back if nobody says: a replica that restarts needs about this long. */
const defaultRetryAfterMs = 1000;

/** Carries one request through. */
export class OnlineRequest {
	readonly #work: OnlineWork;
	readonly #sink: AnswerSink;
	readonly #around: RequestSurroundings;
	readonly #caller: Caller;
	readonly #recovery: AttemptRecovery;
	readonly #tried = new Set<VmName>();
	readonly #completion = new CompletionWindow();
	readonly #runRecord = new RunRecord();
	readonly #handlers: {[Kind in Outcome['kind']]: Handler<Kind>};
	readonly #onFollowedUp: Readonly<Partial<Record<LedgerAnswer['state'], (current: CurrentAttempt) => void>>> = {
		revoked: ({attempt: {attempt}}) => {
			this.#runRecord.noteNotRun(attempt);
			this.#completion.notLost(attempt);
		},
		running: current => {
			this.#runRecord.noteRun();
			void this.#stop(current);
		},
		done: () => {
			this.#runRecord.noteRun();
		},
	};

	#attempts = 0;
	#nextChunk = 0;
	#place: AttemptPlace | undefined;
	#lastRefusal: RequestOutcome | undefined;

	constructor(work: OnlineWork, sink: AnswerSink, around: RequestSurroundings, caller: Caller) {
		this.#work = work;
		this.#sink = sink;
		this.#around = around;
		this.#caller = caller;
		this.#recovery = new AttemptRecovery(around);
		this.#handlers = {
			end: (outcome, current) => this.#ended(outcome, current),
			refused: (outcome, current) => this.#refused(outcome, current),
			failed: outcome => this.#failed(outcome),
			notSent: (outcome, current) => this.#notSent(outcome, current),
			lost: async (outcome, current) => this.#lost(outcome, current),
			noStream: async (_, current) => this.#settle(current),
			notRun: () => 'again',
			gone: (outcome, current) => this.#gone(outcome, current),
			aborted: async (_, current) => this.#aborted(current),
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
			if (this.#caller.signal.aborted) {
				return this.#tooLate();
			}

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
		const isCompleting = this.#isCompleting;
		const hasBudget = (isCompleting || this.#attempts < maxAttempts) && this.#around.budget.spend();
		return hasBudget || isCompleting ? undefined : this.#giveUp('notReached');
	}

	// An answer that has begun can not be sent to its caller a second time, so a place to complete it is looked for longer.
	get #isCompleting() {
		return this.#sink.hasBegun && this.#deadlineInMs > 0 && this.#completion.isOpen(this.#around.clock.now());
	}

	// Given up on: the final answer goes out at once, with when to come back. "Not run" is said only when it holds for every attempt.
	#giveUp(reason: 'noReplica' | 'notReached'): RequestOutcome {
		const {state} = this.#runRecord;
		if (state !== 'notRun') {
			return {kind: 'failed', reason, run: state};
		}

		return this.#lastRefusal ?? {kind: 'refused', reason, retryAfterMs: defaultRetryAfterMs};
	}

	// Nothing of the request is under way any more.
	#tooLate(): RequestOutcome {
		if (this.#caller.signal.reason !== deadlinePassed) {
			return {kind: 'aborted'};
		}

		const {state} = this.#runRecord;
		return state === 'notRun'
			? {kind: 'refused', reason: 'deadline', retryAfterMs: defaultRetryAfterMs}
			: {kind: 'expired', run: state};
	}

	async #attemptOnce(): Promise<Step> {
		const current = this.#choose() ?? await this.#chooseAnew();
		if (!current) {
			return this.#isCompleting ? 'again' : this.#giveUp('noReplica');
		}

		const barred = await this.#work.gate?.(current);
		if (barred?.isLeft()) {
			return barred.extract();
		}

		const {replicas, client} = this.#around;
		replicas.began(current.replica.vm, this.#work.costTokens);
		this.#place = this.#placeOf(current);
		const outcome = await client.begin(current.attempt, this.#place);
		const step = await this.#handle(outcome, current);
		replicas.ended(current.replica.vm);
		return step;
	}

	async #handle(outcome: Outcome, current: CurrentAttempt): Promise<Step> {
		return (this.#handlers[outcome.kind] as Handler<Outcome['kind']>)(outcome, current);
	}

	#choose(): CurrentAttempt | undefined {
		const {id, costTokens, promptBlocks} = this.#work;
		const replica = this.#around.router.route({
			id, attempt: this.#attempts + 1, target: this.#target, tried: this.#tried, costTokens, promptBlocks,
		});
		if (!replica) {
			return undefined;
		}

		this.#attempts += 1;
		this.#nextChunk = 0;
		this.#tried.add(replica.vm);
		return {replica, attempt: this.#attemptFor(replica)};
	}

	async #chooseAnew(): Promise<CurrentAttempt | undefined> {
		const mayHaveChanged = this.#attempts === 0 && await this.#around.askAnew(this.#target);
		return mayHaveChanged ? this.#choose() : undefined;
	}

	#attemptFor(replica: ReplicaView): AttemptRequest {
		const {
			id, account, share, costTokens, promptTokens,
		} = this.#work;
		return {
			id,
			attempt: this.#attempts,
			incarnation: replica.load!.incarnation,
			issuedAt: replica.load!.at,
			idempotent: this.#work.idempotent,
			account,
			share,
			work: this.#sink.continued(this.#work.work),
			deadlineInMs: this.#deadlineInMs,
			costTokens,
			promptTokens,
		};
	}

	#placeOf({replica, attempt}: CurrentAttempt): AttemptPlace {
		return {
			address: replica.address,
			reader: this.#work.id,
			signal: this.#caller.signal,
			pause: this.#caller.pause,
			onLoad: (load: LoadReport) => {
				this.#around.replicas.applyReport(replica.vm, load);
			},
			onChunk: (index, data) => attempt.attempt === this.#attempts && this.#take(index, data),
		};
	}

	// A stream that is taken up may repeat chunks; each is passed on once. One that left chunks out is of no use, and one that can not be used does not count as taken.
	#take(index: number, data: string): boolean {
		const isTaken = index === this.#nextChunk && this.#sink.chunk(data);
		this.#nextChunk += isTaken ? 1 : 0;
		return isTaken || index < this.#nextChunk;
	}

	#ended({end}: Extract<AttemptOutcome, {kind: 'end'}>, {replica}: CurrentAttempt): Step {
		this.#around.replicas.applyReport(replica.vm, end.load);
		this.#around.replicas.prefixes.confirmed(replica.vm, end.cachedBlocks, end.cacheSeq ?? 0);
		// The end counts the chunks: with one missing, the answer would pass for whole without it.
		return end.chunks === this.#nextChunk ? this.#whole() : this.#repeatOrUnknown('chunks of the answer are missing', 'run');
	}

	#whole(): Step {
		this.#around.budget.succeeded();
		return {kind: 'whole'};
	}

	#refused({refusal}: Extract<AttemptOutcome, {kind: 'refused'}>, {replica, attempt}: CurrentAttempt): Step {
		this.#around.replicas.applyReport(replica.vm, refusal.load);
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

		this.#completion.ranAndLost();
		return this.#repeatOrUnknown(failure.reason, 'run');
	}

	#notSent({reason}: Extract<AttemptOutcome, {kind: 'notSent'}>, {replica, attempt}: CurrentAttempt): Step {
		this.#around.replicas.failed(replica.vm, reason);
		this.#around.log.emit(entryEvents.attemptLost, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, reason, sent: false,
		});
		return 'again';
	}

	// The connection is gone, the attempt may not be.
	async #lost({reason}: Extract<AttemptOutcome, {kind: 'lost'}>, current: CurrentAttempt): Promise<Step> {
		const {replica, attempt} = current;
		this.#around.log.emit(entryEvents.attemptLost, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, reason, sent: true,
		});
		this.#around.replicas.failed(replica.vm, reason);
		return this.#settle(current);
	}

	async #settle(current: CurrentAttempt): Promise<Step> {
		const settled = await this.#recovery.settle({
			current, place: this.#place!, received: () => this.#nextChunk, deadlineInMs: () => this.#deadlineInMs,
		});
		return this.#handle(settled, current);
	}

	#gone({reason, run}: Extract<Settlement, {kind: 'gone'}>, current: CurrentAttempt): Step {
		// An answer that has begun shows that its engine bears the request; connections may well be lost under it.
		if (run === 'unknown' && !this.#sink.hasBegun) {
			this.#completion.mayBeLost(current.attempt.attempt);
		}

		const step = this.#repeatOrUnknown(reason, run);
		if (run === 'unknown' && step === 'again') {
			void this.#followUp(current);
		}

		return step;
	}

	// The caller is told what is known when its request ends; that must not wait for the agent.
	async #followUp(current: CurrentAttempt) {
		const state = await this.#recovery.followUp(current, this.#deadlineInMs);
		this.#onFollowedUp[state]?.(current);
	}

	async #stop(current: CurrentAttempt) {
		if (await this.#recovery.stop(current)) {
			this.#completion.notLost(current.attempt.attempt);
		}
	}

	#noteRun(run: 'run' | 'unknown') {
		if (run === 'run' || this.#nextChunk > 0) {
			this.#runRecord.noteRun();
		} else {
			this.#runRecord.noteUnknown(this.#attempts);
		}
	}

	#repeatOrUnknown(reason: string, run: 'run' | 'unknown'): Step {
		if (!this.#work.idempotent) {
			this.#around.log.emit(entryEvents.outcomeUnknown, {id: this.#work.id, reason});
			return {kind: 'unknown', reason};
		}

		// The end alone was lost: another replica would have nothing to add.
		if (this.#sink.isComplete) {
			return this.#whole();
		}

		this.#noteRun(run);
		this.#completion.stopped(this.#around.clock.now(), this.#nextChunk > 0);
		return this.#sink.canContinue && !this.#completion.isSpent ? 'again' : {kind: 'failed', reason, run: this.#runRecord.state === 'run' ? 'run' : 'unknown'};
	}

	// Nobody waits for the answer any more. At the deadline the caller still learns whether it was run.
	async #aborted(current: CurrentAttempt): Promise<Step> {
		if (this.#caller.signal.reason !== deadlinePassed) {
			void this.#around.client.cancel(current.replica.address, current.attempt);
			return {kind: 'aborted'};
		}

		const state = await this.#recovery.revoke(current);
		if (state === 'revoked') {
			return this.#tooLate();
		}

		void this.#around.client.cancel(current.replica.address, current.attempt);
		return {kind: 'expired', run: this.#work.idempotent && state !== 'unknown' ? 'run' : 'unknown'};
	}
}
