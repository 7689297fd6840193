/**
One caller's call from its arrival to its final answer: the replicas that it is sent to, the bytes that are forwarded, and the gateway's own answer if no replica answers.

The gateway answers 503 only if no replica can have run the call. Once a replica may have run it, the answer is 502, or 504 when the time is up. Once part of an answer has been forwarded, the connection is closed instead, so that the caller cannot mistake the answer for a complete one.
*/
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Disposable} from '../common/services.js';
import type {AdmittedCaller} from './accounts/caller-gate.js';
import {
	Attempt, type AnswerHead, type AttemptEnd, type CallMessage,
} from './attempt.js';
import {CallerAnswer} from './caller-answer.js';
import {gatewayEvents} from './log-events.js';
import {isEligible} from './replica-eligibility.js';
import type {GatewayParts} from './parts.js';
import {registrationAge} from './registration-age.js';
import type {Replica} from './replica.js';
import {chooseForOnline} from './replica-choice.js';
import {TrackedContent} from './quarantine/tracked-content.js';
import type {ReplicaConnection} from './replica-connection-pool.js';
import type {
	CallFields, GatewayRoute, GatewayServiceName, ReplicaId, RouteKind,
} from './types.js';

/** A caller's call that has been received completely. */
export type ArrivedCall = {
	readonly route: GatewayRoute;
	readonly caller: AdmittedCaller;
	readonly fields: CallFields;
	readonly message: CallMessage;
	/** When its head had been received, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly res: ServerResponse;
};

/** A repeatable call is sent to another replica if no byte arrives for this long, in milliseconds. A queue at an engine clears within about one run, 0.8 s; callers abandon a stream after 2 s. */
const repeatableSilenceMs = 1200;

/** Maximum number of replicas that one call is offered to while each declines it or cannot be reached. */
const maxOffers = 4;

/** With less time left than this, in milliseconds, the call is offered to no replica: the answer could not reach the caller in time. */
const leastTimeMs = 10;

/** Delays after which a caller is to retry, in milliseconds: by then, a replica may have been registered, or slots may have become free. */
const comeBackMs = {noReplica: 500, full: 300} as const;

/** Why a call is offered to no further replica. */
type GiveUpReason = 'noReplica' | 'full' | 'quarantined';

type Pass = {
	/** Whether a broken run may be followed by another one. */
	readonly isRepeatable: (route: GatewayRoute) => boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
};

const passes: Readonly<Record<RouteKind, Pass>> = {
	safe: {isRepeatable: () => true, isStream: false},
	unsafe: {isRepeatable: () => false, isStream: false},
	stream: {isRepeatable: route => route.isResumable, isStream: true},
	batch: {isRepeatable: () => false, isStream: false},
};

type EndHandlers = {readonly [K in AttemptEnd['kind']]: (end: Extract<AttemptEnd, {kind: K}>, replica: Replica) => void};

/** A call under way. */
export class OnlineCall implements Disposable {
	readonly #parts: GatewayParts;
	readonly #call: ArrivedCall;
	readonly #service: GatewayServiceName;
	readonly #tried = new Set<ReplicaId>();
	readonly #answer: CallerAnswer;
	readonly #isRepeatable: boolean;
	readonly #content: TrackedContent;
	readonly #timer: NodeJS.Timeout;
	readonly #timeLimitMs: number;
	#attempt: Attempt | undefined;
	/** Head of the current run's answer, once received. */
	#runHead: AnswerHead | undefined;
	/** The event after which the current run was asked to resume. */
	#resumeAfter: number | undefined;
	#giveBackPlace: (() => void) | undefined;
	#offers = 0;
	/** Number of runs that count towards the route's limit. */
	#runs = 0;
	/** Whether any replica may have started to run the call. */
	#mayHaveRun = false;
	#isOver = false;
	#firstByteMs = 0;
	#sentAt = 0;
	/** Whether the call's replica had a free slot when the call was sent. */
	#hasFoundPlace = false;
	#lastEnd: AttemptEnd['kind'] | undefined;
	/** Whether a connection of the call was unresponsive: other kept-alive connections may be too, even those to other replicas. */
	#hasMetSilence = false;

	readonly #onAttemptEnd: EndHandlers = {
		notSent: (_end, replica) => {
			this.#parts.reachability.noteUnreachable(replica);
			this.#offer();
		},
		refused: (_end, replica) => {
			if (replica.total <= replica.record.slots) {
				this.#noteOutcome(replica, true);
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
			this.#noteOutcome(replica, true);
			this.#hasMetSilence = true;
			this.#afterBreak(replica);
		},
		cutOff: (_end, replica) => {
			this.#hasMetSilence = true;
			this.#afterBreak(replica);
		},
		lost: (_end, replica) => {
			this.#noteOutcome(replica, true);
			void this.#afterLoss(replica);
		},
		complete: (_end, replica) => {
			replica.noteAnswer();
			const isSuccess = this.#runStatus < 300;
			this.#noteOutcome(replica, this.#runStatus >= 500 || (isSuccess && !this.#answer.isComplete));
			this.#finish(replica);
		},
		outdated: (_end, replica) => {
			this.#tried.delete(replica.record.id);
			this.#offer();
		},
		dropped: () => undefined,
	};

	constructor(parts: GatewayParts, call: ArrivedCall) {
		this.#parts = parts;
		this.#call = call;
		const {route, fields} = call;
		this.#isRepeatable = passes[route.kind].isRepeatable(route);
		this.#answer = new CallerAnswer(call.res, {isRepeatable: this.#isRepeatable, isStream: passes[route.kind].isStream, lastEventId: fields.lastEventId});
		this.#content = new TrackedContent(parts, 'online', {...call.message, host: route.host});
		this.#service = this.#chooseService(route);
		this.#timeLimitMs = Math.min(route.timeoutMs, fields.timeLeftMs ?? Infinity);
		this.#timer = setTimeout(() => {
			// An answer that arrived during a pause of this process is read first.
			setImmediate(() => {
				this.#timeOut();
			});
		}, Math.max(0, this.#timeLimitMs - this.#elapsedMs()));
		call.res.once('close', () => {
			this.#onCallerClose();
		});
	}

	/** Sends the call to its first replica. A call that cannot get a slot in time is refused at once. */
	start(): void {
		const {ranks, serviceTimes, directory} = this.#parts;
		const rank = this.#call.caller.account?.priority ?? this.#call.route.priority;
		ranks.note(this.#service, rank);
		const waitMs = serviceTimes.waitMs(this.#service, directory.takingWork(this.#service));
		const leftMs = (this.#timeLimitMs - this.#elapsedMs()) * ranks.waitShareOf(this.#service, rank);
		if (waitMs > leftMs) {
			this.#refuse('hopeless', Math.max(comeBackMs.full, waitMs - leftMs));
			return;
		}

		this.#offer();
	}

	/** Ends the call at once, without an answer or a log line. */
	dispose(): void {
		this.#close();
	}

	#chooseService({targets}: GatewayRoute): GatewayServiceName {
		const all = targets.reduce((sum, {weight}) => sum + weight, 0);
		let left = this.#parts.random.next() * all;
		const chosen = targets.find(({weight}) => {
			left -= weight;
			return left < 0;
		});
		return (chosen ?? targets[0])?.service ?? ('' as GatewayServiceName);
	}

	/** 0 until the current run has answered. */
	get #runStatus(): number {
		return this.#runHead?.status ?? 0;
	}

	#elapsedMs(): number {
		return this.#parts.clock.now() - this.#call.arrivedAt;
	}

	#offer() {
		if (this.#isOver) {
			return;
		}

		if (!this.#parts.replicaFreshness.isFresh) {
			void this.#offerWhenFresh();
			return;
		}

		const {heldMs} = this.#content;
		if (heldMs > 0) {
			this.#giveUp('quarantined', heldMs);
			return;
		}

		const timeLeftMs = this.#timeLimitMs - this.#elapsedMs();
		const replica = this.#offers < maxOffers && timeLeftMs > leastTimeMs ? this.#choose() : undefined;
		const connection = replica && this.#parts.connectionPools.acquire(replica, this.#hasMetSilence);
		if (!replica || !connection) {
			const reason = this.#offers === 0 ? 'noReplica' : 'full';
			this.#giveUp(reason, comeBackMs[reason]);
			return;
		}

		this.#offers += 1;
		this.#tried.add(replica.record.id);
		this.#send(replica, connection, timeLeftMs);
	}

	async #offerWhenFresh() {
		await this.#parts.replicaFreshness.refresh();
		this.#offer();
	}

	#choose(): Replica | undefined {
		const {clock, random, failureDomain, directory, processCount: sharers} = this.#parts;
		return chooseForOnline(directory.takingWork(this.#service), {
			now: clock.now(), random, failureDomain, tried: this.#tried, processCount: sharers(), canFailOver: this.#isRepeatable,
		});
	}

	#send(replica: Replica, connection: ReplicaConnection, timeLeftMs: number) {
		const {
			log, loads, dialect, reachability: contacts, clock,
		} = this.#parts;
		const {fields, message, route} = this.#call;
		log.emit(gatewayEvents.callRouted, {
			id: fields.requestId, route: route.name, replica: replica.record.id, online: replica.allOnline, batch: replica.allBatch, attempt: this.#offers, resumeAfter: this.#answer.lastEventId, ...registrationAge(this.#parts, replica),
		});
		this.#runHead = undefined;
		const {lastEventId = 0} = this.#answer;
		this.#resumeAfter = lastEventId > 0 ? lastEventId : fields.lastEventId;
		this.#sentAt = clock.now();
		this.#hasFoundPlace = replica.total < replica.record.slots;
		this.#giveBackPlace = loads.acquireSlot(replica, 'online');
		this.#attempt = new Attempt({
			connection,
			reachability: contacts.of(replica),
			clock,
			dialect,
			message,
			fields: {
				requestId: fields.requestId,
				replica: replica.record.id,
				timeLeftMs: fields.timeLeftMs === undefined ? undefined : timeLeftMs,
				lastEventId: this.#resumeAfter,
				caller: this.#call.caller.identity,
			},
			timeouts: {silenceMs: this.#isRepeatable ? repeatableSilenceMs : this.#timeLimitMs, canGoElsewhere: this.#isRepeatable},
			isEligible: () => isEligible(this.#parts, replica),
			listener: {
				onHead: head => {
					this.#runHead = head;
					this.#answer.begin(head);
				},
				onBytes: bytes => {
					this.#onBytes(bytes);
				},
				onEnd: end => {
					this.#onEnd(end, replica);
				},
			},
		});
		this.#attempt.start();
	}

	#onBytes(bytes: Buffer) {
		this.#firstByteMs ||= this.#elapsedMs();
		this.#answer.forward(bytes, this.#attempt);
		if (!this.#answer.isInOrder) {
			this.#attempt?.dispose();
			this.#cut('an event of the stream is missing or came twice');
		}
	}

	#onEnd(end: AttemptEnd, replica: Replica) {
		this.#giveBackPlace?.();
		this.#giveBackPlace = undefined;
		this.#lastEnd = end.kind;
		if (end.kind !== 'complete' && end.kind !== 'dropped') {
			this.#parts.log.emit(gatewayEvents.attemptFailed, {
				id: this.#call.fields.requestId, replica: replica.record.id, ...end, content: this.#content.digest,
			});
		}

		if (this.#offers > 1) {
			this.#logLaterRun(end, replica);
		}

		if (!this.#isOver) {
			(this.#onAttemptEnd[end.kind] as (end: AttemptEnd, replica: Replica) => void)(end, replica);
		}
	}

	#logLaterRun(end: AttemptEnd, replica: Replica) {
		const head = this.#runHead;
		this.#parts.log.emit(gatewayEvents.rerunEnded, {
			id: this.#call.fields.requestId, replica: replica.record.id, status: this.#runStatus, contentType: head?.headers['content-type'], isFramed: head?.isFramed, resumeAfter: this.#resumeAfter, lastEventId: this.#answer.lastEventId, outcome: end.kind,
		});
	}

	#noteOutcome(replica: Replica, hasFailed: boolean) {
		replica.outcomes.note(hasFailed, this.#parts.clock.now());
	}

	/** A call during which a replica has terminated before is rerun only after it is known whether this replica has terminated too, since the call may be the cause. Other calls are rerun without delay. */
	async #afterLoss(replica: Replica) {
		const isNoted = this.#content.noteConnectionLost(replica);
		if (this.#content.isSuspected) {
			await isNoted;
		}

		if (!this.#isOver) {
			this.#afterBreak(replica);
		}
	}

	/** The replica may have run the call, and its answer is incomplete. */
	#afterBreak(replica: Replica, reason = 'the replica broke off') {
		this.#mayHaveRun = true;
		this.#countRun(replica);
		this.#answer.discardUnsent();
		if (this.#mayRunAgain()) {
			this.#offer();
			return;
		}

		this.#fail(reason);
	}

	/** Runs at replicas that have terminated do not count towards the route's limit. Otherwise a crash could fail a stream that can still be resumed. */
	#countRun(replica: Replica) {
		if (this.#parts.directory.get(replica.record.id) === replica) {
			this.#runs += 1;
		}
	}

	#mayRunAgain(): boolean {
		return this.#isRepeatable && this.#answer.canResume && this.#runs < this.#call.route.maxRuns;
	}

	#finish(replica: Replica) {
		const status = this.#runStatus;
		if (!this.#answer.isComplete) {
			this.#afterBreak(replica, 'the run did not finish the stream');
			return;
		}

		if (status >= 500 && !this.#answer.hasBegun && this.#isRepeatable) {
			this.#mayHaveRun = true;
			this.#countRun(replica);
			if (this.#mayRunAgain() && this.#hasOtherReplica()) {
				this.#answer.discardUnsent();
				this.#offer();
				return;
			}
		}

		this.#answer.finish();
		if (status < 300) {
			this.#content.noteCompleted();
		}

		if (this.#hasFoundPlace && status < 300 && this.#runs === 0) {
			this.#parts.serviceTimes.recordDuration(this.#service, this.#parts.clock.now() - this.#sentAt);
		}

		this.#endWith(status, 'answered');
	}

	#hasOtherReplica(): boolean {
		return this.#parts.directory.takingWork(this.#service).some(({record}) => !this.#tried.has(record.id));
	}

	/** The call is offered to no further replica. A refusal states that the call has not run, so it is not used once any replica may have run it, even if that replica has terminated since. */
	#giveUp(reason: GiveUpReason, afterMs: number) {
		if (this.#mayHaveRun) {
			this.#fail(reason === 'quarantined' ? 'it has ended the replicas that ran it' : 'no replica is left for another run');
			return;
		}

		this.#refuse(reason, afterMs);
	}

	#refuse(reason: string, afterMs: number) {
		if (this.#answer.hasBegun) {
			this.#cut(reason);
			return;
		}

		this.#call.caller.credit?.refund();
		this.#answer.reply(503, {'retry-after': String(Math.ceil(afterMs) / 1000)});
		this.#endWith(503, reason);
	}

	#fail(reason: string) {
		if (this.#answer.hasBegun) {
			this.#cut(reason);
			return;
		}

		this.#answer.reply(502);
		this.#endWith(502, reason);
	}

	/** Part of the answer has been forwarded; only a broken connection shows the caller that the rest will not follow. */
	#cut(reason: string) {
		this.#answer.cut();
		this.#endWith(0, reason);
	}

	#timeOut() {
		if (this.#isOver) {
			return;
		}

		this.#attempt?.dispose();
		if (this.#answer.hasBegun) {
			this.#cut('time is up within the answer');
			return;
		}

		this.#answer.reply(504);
		this.#endWith(504, 'time is up');
	}

	#onCallerClose() {
		if (!this.#isOver) {
			this.#endWith(0, 'the caller left');
		}
	}

	#endWith(status: number, reason: string) {
		const {log, metrics} = this.#parts;
		const {fields, route} = this.#call;
		const elapsedMs = Math.round(this.#elapsedMs());
		log.emit(gatewayEvents.callEnded, {
			id: fields.requestId, route: route.name, status, reason, elapsedMs, firstByteMs: Math.round(this.#firstByteMs), offers: this.#offers, runs: this.#runs, lastEnd: this.#lastEnd, content: this.#content.computedDigest,
		});
		metrics.count('gateway.calls', 1, {kind: route.kind, status: String(status)});
		metrics.timing('gateway.call', elapsedMs, {kind: route.kind});
		metrics.timing('gateway.firstByte', this.#firstByteMs, {kind: route.kind});
		this.#close();
	}

	#close() {
		this.#isOver = true;
		clearTimeout(this.#timer);
		this.#attempt?.dispose();
	}
}
