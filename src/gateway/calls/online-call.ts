/**
One caller's call from its arrival to its final answer: the replicas that it is sent to, the bytes that are forwarded, and the gateway's own answer if no replica answers.

The gateway answers 503 only if no replica can have run the call. Once a replica may have run it, the answer is 502, or 504 when the time is up. Once part of an answer has been forwarded, the connection is closed instead, so that the caller cannot mistake the answer for a complete one.
*/
import type {Buffer} from 'node:buffer';
import type {Disposable} from '../../common/services.js';
import {answered} from '../serving/call-outcomes.js';
import {RunContinuation} from '../continuity/run-continuation.js';
import type {GatewayParts} from '../parts.js';
import {TrackedContent} from '../quarantine/tracked-content.js';
import type {Replica} from '../replica.js';
import {servicesOf} from '../route-table.js';
import {StreamBinding} from '../streams/stream-binding.js';
import type {CopySource} from '../types.js';
import type {ArrivedCall} from './arrived-call.js';
import type {AttemptEnd} from './attempt.js';
import {CallAdmission} from './call-admission.js';
import {CallLog} from './call-log.js';
import {chooseService, traitsByKind} from './call-traits.js';
import {CallerAnswer} from './caller-answer.js';
import {FinalAnswer} from './final-answer.js';
import {HeldEvents} from './held-events.js';
import {
	ReplicaOffers, versionRetryMs, type OfferedReplica,
} from './replica-offers.js';
import {ReplicaRun} from './replica-run.js';
import {RequestGuard} from './request-guard.js';
import {RunSuccession} from './run-succession.js';

/** A repeatable call is sent to another replica if no byte arrives for this long, in milliseconds. A queue at an engine clears within about one run, 0.8 s; callers abandon a stream after 2 s. */
const repeatableSilenceTimeoutMs = 1200;

/** Delays after which a caller is to retry, in milliseconds: by then, a replica may have been registered, or slots may have become free. */
const retryDelaysMs = {
	noReplica: 500, full: 300, versionGone: 500, versionUnknown: 500,
} as const;

/** The longest delay of a rerun by the check whether the previous replica has terminated, in milliseconds: several round trips within a region. */
const maxCrashCheckMs = 25;

type EndHandlers = {readonly [K in AttemptEnd['kind']]: (end: Extract<AttemptEnd, {kind: K}>, replica: Replica) => void};

/** A call under way. */
export class OnlineCall implements Disposable {
	readonly #parts: GatewayParts;
	readonly #call: ArrivedCall;
	readonly #offers: ReplicaOffers;
	readonly #log: CallLog;
	readonly #admission: CallAdmission;
	readonly #answer: CallerAnswer;
	readonly #final: FinalAnswer;
	readonly #isRepeatable: boolean;
	readonly #content: TrackedContent;
	readonly #binding: StreamBinding;
	readonly #continuation: RunContinuation;
	readonly #held: HeldEvents;
	readonly #succession: RunSuccession;
	readonly #guard: RequestGuard;
	#versionTimer: NodeJS.Timeout | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #timeLimitMs: number;
	/** The current run, or the last one. */
	#run: ReplicaRun | undefined;
	#hasEnded = false;
	#firstByteMs = 0;
	#lastEnd: AttemptEnd['kind'] | undefined;
	/** Whether a connection of the call was unresponsive: other kept-alive connections may be too, even those to other replicas. */
	#needsNewConnection = false;

	readonly #onAttemptEnd: EndHandlers = {
		notSent: (_end, replica) => {
			this.#parts.reachability.noteUnreachable(replica);
			this.#offer();
		},
		unsendable: ({reason}) => {
			this.#final.reject(reason);
		},
		refused: (_end, replica) => {
			if (replica.total <= replica.record.slots && !this.#succession.isContinuing) {
				this.#recordOutcome(replica, true);
			}

			this.#offer();
		},
		misdirected: (_end, replica) => {
			// The registration is outdated: the replica has been removed, and its address belongs to another one.
			replica.noteFailure(this.#parts.clock.now());
			this.#offer();
		},
		silent: (_end, replica) => {
			replica.noteFailure(this.#parts.clock.now());
			this.#recordOutcome(replica, true);
			this.#needsNewConnection = true;
			this.#handleBrokenRun(replica);
		},
		cutOff: (_end, replica) => {
			this.#needsNewConnection = true;
			this.#handleBrokenRun(replica);
		},
		lost: (_end, replica) => {
			this.#recordOutcome(replica, true);
			this.#guard.run(async () => this.#handleLostConnection(replica));
		},
		complete: (_end, replica) => {
			replica.noteAnswer();
			this.#held.forwardAll();
			if (!this.#hasEnded) {
				this.#guard.run(async () => this.#handleEndOfAnswer(replica));
			}
		},
		outdated: (_end, replica) => {
			this.#offers.forget(replica);
			this.#offer();
		},
		dropped: () => undefined,
	};

	constructor(parts: GatewayParts, call: ArrivedCall) {
		this.#parts = parts;
		this.#call = call;
		const {route, fields} = call;
		this.#log = new CallLog(parts, route, fields);
		this.#guard = new RequestGuard(parts, {kind: 'call', id: () => fields.requestId}, () => {
			this.#endByDefect();
		});
		this.#admission = new CallAdmission(parts.admission);
		this.#isRepeatable = traitsByKind[route.kind].isRepeatable(route);
		const service = chooseService(route, parts.random);
		this.#continuation = new RunContinuation(parts, {route, service, fields});
		this.#answer = new CallerAnswer(call.res, {
			isRepeatable: this.#isRepeatable, isContinued: this.#continuation.isCopied, isStream: traitsByKind[route.kind].isStream, lastEventId: fields.lastEventId,
		});
		this.#final = new FinalAnswer({
			answer: this.#answer, credit: call.caller.credit, mayHaveRun: () => this.#succession.mayHaveRun, onEnd: (status, reason) => {
				this.#end(status, reason);
			},
		});
		this.#content = new TrackedContent(parts, {content: {...call.message, host: route.host}, promptParts: () => fields.promptParts});
		this.#binding = new StreamBinding({
			origins: parts.streamOrigins, route, fields, caller: call.caller.identity,
		});
		this.#succession = new RunSuccession(parts, {
			route, isRepeatable: this.#isRepeatable, answer: this.#answer, content: this.#content, continuation: this.#continuation,
		});
		this.#held = new HeldEvents({
			clock: parts.clock, metrics: parts.metrics, isCurrent: run => run === this.#run && !this.#hasEnded, forward: bytes => {
				this.#forward(bytes);
			},
		});
		this.#offers = new ReplicaOffers(parts, {service, binding: this.#binding, isRepeatable: this.#isRepeatable});
		this.#timeLimitMs = Math.min(route.timeoutMs, fields.timeLeftMs ?? Infinity);
		this.#timer = setTimeout(() => {
			// An answer that arrived during a pause of this process is read first.
			setImmediate(this.#guard.wrap(() => {
				this.#timeOut();
			}));
		}, Math.max(0, this.#timeLimitMs - this.#elapsedMs()));
		call.res.once('close', this.#guard.wrap(() => {
			this.#onCallerClose();
		}));
	}

	/** Sends the call to its first replica. A call that is held back, or cannot get a slot in time, is refused at once. */
	start(): void {
		this.#guard.run(async () => this.#start());
	}

	/** Aborts a run that is likely to crash its replica. To be called when prompt parts have been quarantined. */
	abortIfHeld(): void {
		this.#guard.run(() => {
			if (this.#hasEnded || !this.#run || this.#run.isOver || !this.#content.mayCrashReplica) {
				return;
			}

			this.#run.dispose();
			this.#final.fail('a part of its prompt was quarantined during its run');
		});
	}

	/** Refuses a call that waits and cannot be served any more before this process ends. To be called repeatedly while it shuts down. */
	refuseIfHopeless(): void {
		this.#guard.run(() => {
			if (!this.#hasEnded && this.#admission.isAwaited && !this.#mayBegin()) {
				this.#final.refuse('shutdown', 0);
			}
		});
	}

	/** Ends the call because this process ends. */
	abortForShutdown(): void {
		this.#guard.run(() => {
			if (this.#hasEnded) {
				return;
			}

			this.#run?.dispose();
			this.#final.giveUp('shutdown', 0);
		});
	}

	/** Ends the call at once, without an answer or a log line. */
	dispose(): void {
		this.#close();
	}

	async #start() {
		if (!this.#mayBegin()) {
			this.#final.refuse('shutdown', 0);
			return;
		}

		if (!this.#content.canBeSent) {
			this.#final.giveUp('quarantined', this.#content.heldMs);
			return;
		}

		if (this.#binding.isResumed) {
			await this.#startResumed();
			return;
		}

		this.#begin();
	}

	/** The caller is told nothing that may be false: whether the call has run isn't known. */
	#endByDefect() {
		if (this.#hasEnded) {
			return;
		}

		this.#run?.dispose();
		this.#final.abandon();
	}

	async #startResumed() {
		const {clock, replicaFreshness} = this.#parts;
		const startedAt = clock.now();
		if (!replicaFreshness.isFresh) {
			await replicaFreshness.refresh();
		}

		const found = await this.#binding.resolve();
		this.#log.originSearched(found.kind, this.#binding.softwareVersion, startedAt);
		if (this.#hasEnded) {
			return;
		}

		if (found.kind === 'unknown') {
			this.#final.refuse('versionUnknown', retryDelaysMs.versionUnknown);
			return;
		}

		this.#offers.service = servicesOf(this.#call.route).find(service => service === this.#binding.service) ?? this.#offers.service;
		this.#begin();
	}

	#begin() {
		this.#admission.request(this.#call, this.#offers, this.#timeLimitMs, this.#guard.wrap(outcome => {
			if (outcome.kind === 'refused') {
				this.#final.refuse(outcome.reason, outcome.retryAfterMs);
				return;
			}

			this.#offer();
		}));
	}

	/** 0 until the current run has answered. */
	get #runStatus(): number {
		return this.#run?.status ?? 0;
	}

	#elapsedMs(): number {
		return this.#parts.clock.now() - this.#call.arrivedAt;
	}

	/** Whether a run that begins now can be expected to end before this process does. */
	#mayBegin(isRecoverable = this.#isRepeatable): boolean {
		const {shutdown, serviceTimes} = this.#parts;
		const {arrivedAt} = this.#call;
		return shutdown.mayBegin({
			callArrivedAt: arrivedAt, callEndsAt: arrivedAt + this.#timeLimitMs, isRecoverable, usualMs: serviceTimes.meanMs(this.#offers.service),
		});
	}

	#offer() {
		if (this.#hasEnded) {
			return;
		}

		if (this.#succession.isContinuing) {
			this.#final.fail('the run could not go on from its copy');
			return;
		}

		if (!this.#mayBegin()) {
			this.#final.giveUp('shutdown', 0);
			return;
		}

		const heldMs = this.#content.claimRun();
		if (heldMs > 0) {
			this.#final.giveUp('quarantined', heldMs);
			return;
		}

		if (!this.#parts.replicaFreshness.isFresh) {
			this.#guard.run(async () => this.#offerWhenFresh());
			return;
		}

		const timeLeftMs = this.#timeLimitMs - this.#elapsedMs();
		const offered = this.#offers.next(timeLeftMs, this.#needsNewConnection);
		if (offered) {
			this.#send(offered, timeLeftMs);
			return;
		}

		if (this.#offers.mayAwaitVersion(timeLeftMs)) {
			this.#offerLater();
			return;
		}

		const reason = this.#offers.noReplicaReason;
		this.#final.giveUp(reason, retryDelaysMs[reason]);
	}

	/** Tries the replicas of the version again after a pause. */
	#offerLater() {
		this.#offers.startNextRound();
		this.#versionTimer = setTimeout(this.#guard.wrap(() => {
			this.#offer();
		}), versionRetryMs);
	}

	async #offerWhenFresh() {
		await this.#parts.replicaFreshness.refresh();
		this.#offer();
	}

	#send(offered: OfferedReplica, timeLeftMs: number, copyFrom?: CopySource) {
		const {replica} = offered;
		const {fields, message, caller} = this.#call;
		const {service, count, candidates} = this.#offers;
		this.#log.routed({
			replica, attempt: count, resumeAfter: this.#answer.lastEventId, expectedMs: this.#parts.serviceTimes.expectedFirstTokenMs(service, replica, fields.size),
		});
		this.#binding.noteRun(replica);
		this.#content.noteSent();
		const {lastEventId = 0} = this.#answer;
		const run = new ReplicaRun(this.#parts, {
			offered,
			service,
			message,
			size: fields.size,
			fields: {
				requestId: fields.requestId,
				replica: replica.record.id,
				timeLeftMs: fields.timeLeftMs === undefined ? undefined : timeLeftMs,
				lastEventId: lastEventId > 0 ? lastEventId : fields.lastEventId,
				caller: caller.identity,
				copyTo: copyFrom ? undefined : this.#continuation.chooseCopyAddress(replica, candidates),
				copyFrom,
			},
			timeouts: {silenceMs: this.#isRepeatable ? repeatableSilenceTimeoutMs : this.#timeLimitMs, canFailOver: this.#isRepeatable},
			isFirst: this.#firstByteMs === 0,
			isEventStream: () => this.#answer.isEventStream,
			listener: {
				onHead: this.#guard.wrap(head => {
					this.#answer.begin(head);
				}),
				onBytes: this.#guard.wrap(bytes => {
					this.#onBytes(bytes, run);
				}),
				onEnd: this.#guard.wrap(end => {
					this.#onEnd(end, run);
				}),
			},
		});
		this.#run = run;
		this.#succession.noteStart();
		run.start();
	}

	#onBytes(bytes: Buffer, run: ReplicaRun) {
		this.#firstByteMs ||= this.#elapsedMs();
		if (this.#runStatus < 300) {
			this.#content.noteChunk();
		}

		const announcement = this.#binding.pendingAnnouncement;
		if (announcement) {
			this.#held.hold(bytes, run, announcement);
			return;
		}

		this.#forward(bytes);
	}

	#forward(bytes: Buffer) {
		this.#answer.forward(bytes, this.#run);
		if (this.#call.res.writableNeedDrain) {
			this.#run?.notePause();
		}

		if (this.#answer.hasEvents) {
			this.#binding.noteEvent();
		}

		// Before the first event, there is no copy to go on from, and the answer of a replica that cannot be reached may still arrive.
		if (this.#answer.hasEvents && this.#continuation.hasCopy) {
			this.#run?.allowFailOver();
		}

		if (this.#answer.isEventTooLong) {
			this.#run?.breakOff('an event without an end');
			return;
		}

		if (!this.#answer.isInOrder) {
			this.#run?.dispose();
			this.#final.cut('an event of the stream is missing or came twice');
		}
	}

	#onEnd(end: AttemptEnd, {replica, head, resumeAfter}: ReplicaRun) {
		this.#lastEnd = end.kind;
		this.#succession.noteEnd(end.kind);
		if (end.kind !== 'complete') {
			this.#held.discard();
		}

		if (end.kind !== 'complete' && end.kind !== 'dropped') {
			this.#log.attemptFailed(replica, end, this.#content.logFields);
		}

		if (this.#offers.count > 1) {
			this.#log.rerunEnded({
				replica, head, resumeAfter, lastEventId: this.#answer.lastEventId, end,
			});
		}

		if (!this.#hasEnded) {
			(this.#onAttemptEnd[end.kind] as (end: AttemptEnd, replica: Replica) => void)(end, replica);
		}
	}

	#recordOutcome(replica: Replica, hasFailed: boolean) {
		replica.outcomes.note(hasFailed, this.#parts.clock.now());
	}

	/** A call during which a replica has terminated before is rerun only after a check whether this replica has terminated too, since the call may be the cause. Other calls wait for the check only briefly. */
	async #handleLostConnection(replica: Replica, reason?: string) {
		const isNoted = this.#content.noteConnectionLost(replica);
		await (this.#content.isSuspected ? isNoted : Promise.race([isNoted, this.#parts.clock.sleep(maxCrashCheckMs)]));
		if (!this.#hasEnded) {
			this.#handleBrokenRun(replica, reason);
		}
	}

	/** The replica may have run the call, and its answer is incomplete. */
	#handleBrokenRun(replica: Replica, reason = 'the replica broke off') {
		this.#succession.noteBroken(replica);
		this.#answer.discardUnsent();
		if (this.#succession.canRerun) {
			this.#offer();
			return;
		}

		this.#guard.run(async () => this.#continueOrFail(replica, reason));
	}

	async #continueOrFail(replica: Replica, reason: string) {
		const copy = await this.#succession.takeCopy(replica, this.#lastEnd);
		if (this.#hasEnded) {
			return;
		}

		const connection = copy && this.#mayBegin(true) ? this.#parts.connectionPools.acquire(copy.holder, this.#needsNewConnection) : undefined;
		if (!copy || !connection) {
			this.#final.fail(reason);
			return;
		}

		this.#succession.noteContinued();
		this.#send({replica: copy.holder, connection}, this.#timeLimitMs - this.#elapsedMs(), copy.source);
	}

	/** The system closes the connections of a process that has crashed in the regular way, so an answer without a length may have ended with its replica. */
	async #handleEndOfAnswer(replica: Replica) {
		const isCutShort = this.#run?.head?.isFramed === false && await this.#hasEndedReplica(replica);
		if (this.#hasEnded) {
			return;
		}

		const isSuccess = this.#runStatus < 300;
		this.#recordOutcome(replica, this.#runStatus >= 500 || (isSuccess && (isCutShort || !this.#answer.isComplete)));
		if (isCutShort) {
			this.#content.noteReplicaEnded(replica);
			this.#handleBrokenRun(replica, 'the replica ended with its answer');
			return;
		}

		this.#finish(replica);
	}

	/** After a pause of this process, what it knows of the replica is too old to tell: the replica may have ended meanwhile, and be back at its address. */
	async #hasEndedReplica(replica: Replica): Promise<boolean> {
		const {replicaFreshness, reachability} = this.#parts;
		if (!replicaFreshness.isFresh) {
			await replicaFreshness.refresh();
		}

		return reachability.hasEnded(replica);
	}

	#finish(replica: Replica) {
		const status = this.#runStatus;
		if (!this.#answer.isComplete) {
			this.#guard.run(async () => this.#handleLostConnection(replica, 'the run did not finish the stream'));
			return;
		}

		if (status >= 500 && !this.#answer.hasBegun && this.#isRepeatable) {
			this.#succession.noteBroken(replica);
			if (this.#succession.canRerun && this.#offers.hasOther) {
				this.#answer.discardUnsent();
				this.#offer();
				return;
			}
		}

		this.#answer.finish();
		if (status < 300) {
			this.#content.noteCompleted({isFramed: this.#run?.head?.isFramed === true});
		}

		if (status < 300 && this.#succession.isFirstRun) {
			this.#run?.recordDuration();
		}

		this.#end(status, answered);
	}

	#timeOut() {
		if (this.#hasEnded) {
			return;
		}

		if (this.#admission.isAwaited) {
			this.#final.refuse('hopeless', retryDelaysMs.full);
			return;
		}

		this.#run?.dispose();
		this.#final.timeOut();
	}

	#onCallerClose() {
		if (!this.#hasEnded) {
			this.#end(0, 'the caller left');
		}
	}

	#end(status: number, reason: string) {
		this.#log.ended({
			status, reason, elapsedMs: this.#elapsedMs(), firstByteMs: this.#firstByteMs, offers: this.#offers.count, runs: this.#succession.runs, lastEnd: this.#lastEnd, content: this.#content.computedDigest, heldParts: this.#content.heldParts,
		});
		this.#close();
	}

	#close() {
		this.#hasEnded = true;
		clearTimeout(this.#timer);
		clearTimeout(this.#versionTimer);
		this.#admission.dispose();
		this.#run?.dispose();
		this.#content.noteOver();
	}
}
