/**
Admission by latency target: while slots are scarce, a call begins only where its first event is expected on time, waits briefly at this process, or is refused at once, before any replica has seen it; and what there is is shared out between ranks and owners over all processes. Where the calls of a route are not admitted by target, the rule of {@link DeadlineAdmission} remains.

Every call is decided within a fifth of its target: it leaves the line by beginning, by a refusal, or because it is disposed of. State is this process's memory and what peers announce; a process that has just started begins with neither and admits calls until it has seen some.
*/
import type {
	Clock, Disposable, EventLog, Metrics, RandomSource,
} from '../../common/services.js';
import type {CallRanks} from '../accounts/call-ranks.js';
import {ExpectedTime} from '../contacts/expected-time.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerState} from '../peers/peer-state.js';
import {sampleSizeOf} from '../placement/replica-choice.js';
import type {ServiceTimes} from '../placement/service-times.js';
import {usableReplicas} from '../placement/usable-replicas.js';
import {onlineOf, slotsOf, type Replica} from '../replica.js';
import type {GatewayRoute, GatewayServiceName} from '../types.js';
import {
	rankOf, type AdmissionControl, type AdmissionOutcome, type AdmissionRequest,
} from './admission-control.js';
import {
	decideAdmission, excessMs, longestHoldMs, queuedMs, type AdmissionView,
} from './admission-policy.js';
import {DemandBoard} from './demand-board.js';
import {expectedWaitMs} from './expected-wait.js';
import {LeastShares} from './least-shares.js';
import {retryDelay} from './retry-delay.js';
import {ReturnedCallers} from './returned-callers.js';
import {ServiceShares} from './service-shares.js';
import type {SharedDemand} from './shared-demand.js';
import {WaitTrend} from './wait-trend.js';
import {WaitingLine} from './waiting-line.js';

/** Dependencies of the control. */
export type TargetAdmissionParts = {
	/** Decides on calls that are not admitted by target. */
	readonly otherwise: AdmissionControl;
	readonly isByTarget: (route: GatewayRoute, service: GatewayServiceName) => boolean;
	readonly serviceTimes: ServiceTimes;
	readonly ranks: CallRanks;
	/** Replicas of a service that take work. */
	readonly replicasOf: (service: GatewayServiceName) => readonly Replica[];
	/** Number of processes that send to the replicas, including this one. */
	readonly processCount: () => number;
	/** An owner's declared calls a second. */
	readonly weightOf: (owner: string) => number | undefined;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** Bounds of the line. It holds calls for a fifth of their target, so more than this arrive only at a process that could not serve them in any case. */
const lineBounds = {maxCalls: 256, maxBytes: 16_777_216} as const;

/** Interval at which waiting calls are decided again, in milliseconds: a small part of a target. */
const pollMs = 10;

/** Most waiting calls that are decided again at once, besides those whose time is up: the first ones in line get what has become free. */
const decidedPerPoll = 16;

/** Shares are derived again after this long, in milliseconds. Announcements arrive less often. */
const sharesKeptMs = 50;

/** Interval between announcements of demand, in milliseconds, and for how long after a call found no free slot it is announced: without scarcity nobody reads it. */
const announceEveryMs = 250;
const announcedForMs = 2000;

/** An overload is lasting after this long, in milliseconds: longer than refused callers stay away. */
const lastingMs = 2000;

/** An overload is over when all calls have found free slots for this long, in milliseconds. */
const calmAfterMs = 500;

/**
Assumed time for which a call occupies a slot, in milliseconds, until it is known. A process that starts into an overload sees no call find a free slot: if it let all calls begin until it knew, nothing would be on time for as long. With free slots calls begin in any case.
*/
const assumedRunMs = 1000;

/** Calls that waited before the estimate from them is used. */
const minQueuedRuns = 5;

/** Assumed time between two calls that the replicas finish, in milliseconds, until it is known. */
const usualGapMs = 20;

type ServiceState = {
	readonly trend: WaitTrend;
	readonly leastShares: LeastShares;
	/** Estimated from calls that waited, for as long as no call has found a free slot. */
	readonly queuedRuns: ExpectedTime;
	shares: ServiceShares | undefined;
	sharedAt: number;
	promisedUntil: number;
	isScarce: boolean;
	/** Since when more calls arrive than finish, in milliseconds on the monotonic clock. */
	overloadedSince: number | undefined;
};

type Candidate = {
	readonly call: AdmissionRequest;
	readonly owner: string;
	readonly rank: number;
	readonly isReturned: boolean;
	readonly arrivedAt: number;
	readonly bytes: number;
	readonly onDecided: (outcome: AdmissionOutcome) => void;
	isWaiting: boolean;
	isRunning: boolean;
	begunAt: number;
	/** Calls in flight for each slot when it began, at least 1; only where the service's run time was not known then. */
	crowding: number | undefined;
};

type Assessment = {
	readonly view: AdmissionView;
	readonly share: number;
	readonly running: number;
};

const crowdingOf = (replicas: readonly Replica[]): number => Math.max(1, (onlineOf(replicas) + 1) / Math.max(1, slotsOf(replicas)));

/** See the module's head. */
export class TargetAdmission implements AdmissionControl, Disposable {
	readonly #parts: TargetAdmissionParts;
	readonly #board = new DemandBoard();
	readonly #returned = new ReturnedCallers();
	readonly #line = new WaitingLine<Candidate>(lineBounds);
	readonly #services = new Map<GatewayServiceName, ServiceState>();
	#announcedAt = -Infinity;
	#timer: NodeJS.Timeout | undefined;

	constructor(parts: TargetAdmissionParts) {
		this.#parts = parts;
	}

	/** Number of calls that wait. */
	get waiting(): number {
		return this.#line.length;
	}

	/** Number of services whose calls have recently found no free slot, and by the last decision compete for room. */
	get scarceServices(): number {
		const now = this.#parts.clock.now();
		return [...this.#services.values()].filter(({trend, isScarce}) => isScarce && now - trend.pressedAt < announcedForMs).length;
	}

	request(call: AdmissionRequest, onDecided: (outcome: AdmissionOutcome) => void): Disposable {
		const {isByTarget, otherwise, ranks, clock} = this.#parts;
		const {route, service, account, timeLimitMs, arrivedAt, isResumed = false, bodyBytes = 0} = call;
		// The first event of a resumed stream has been received; a refusal would lose what its caller has.
		if (isResumed || !isByTarget(route, service)) {
			return otherwise.request(call, onDecided);
		}

		const now = clock.now();
		const rank = rankOf(call);
		const owner = account?.name ?? `route:${route.name}`;
		ranks.note(service, rank);
		this.#board.noteArrival(service, owner, rank, now);
		this.#stateOf(service).leastShares.noteArrival(rank, now);
		const candidate: Candidate = {
			call, owner, rank, isReturned: this.#returned.isReturned(route.name, timeLimitMs, now), arrivedAt, bytes: bodyBytes, onDecided, isWaiting: false, isRunning: false, begunAt: 0, crowding: undefined,
		};
		this.#decide(candidate);
		return {
			dispose: () => {
				this.#leave(candidate);
			},
		};
	}

	/** Decides on the waiting calls again. Called by a timer while there are any. */
	poll(): void {
		const now = this.#parts.clock.now();
		this.#line.inOrder
			.filter(({arrivedAt, call}, place) => place < decidedPerPoll || now - arrivedAt >= longestHoldMs(call.route.latencyTargetMs))
			.forEach(candidate => {
				// Another caller may have left in the course of a decision.
				if (candidate.isWaiting) {
					this.#decide(candidate);
				}
			});
		this.#stopTimerIfIdle();
	}

	/** Applies the demand that a peer has announced. */
	receive({member, demand}: Pick<PeerState, 'member' | 'demand'>): void {
		if (demand) {
			this.#board.receive(member, demand, this.#parts.clock.now());
		}
	}

	/** @returns The demand to announce now; nothing while no call lacks a slot. */
	announcement(): {readonly demand?: readonly SharedDemand[]} {
		const now = this.#parts.clock.now();
		const isPressed = [...this.#services.values()].some(({trend}) => now - trend.pressedAt < announcedForMs);
		if (!isPressed || now - this.#announcedAt < announceEveryMs) {
			return {};
		}

		this.#announcedAt = now;
		return {demand: this.#board.announcement(now)};
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#decide(candidate: Candidate) {
		const assessment = this.#assess(candidate);
		const decision = decideAdmission(assessment.view);
		if (decision.kind === 'hold') {
			this.#hold(candidate, assessment);
			return;
		}

		if (decision.kind === 'refuse') {
			this.#refuse(candidate, assessment, decision.reason);
			return;
		}

		if (candidate.isWaiting || decision.kind === 'late') {
			this.#report(candidate, assessment, {outcome: decision.kind === 'late' ? 'late' : 'waited'});
		}

		this.#begin(candidate);
	}

	#begin(candidate: Candidate) {
		const {call: {service, candidates}, owner, rank, onDecided} = candidate;
		const now = this.#parts.clock.now();
		this.#leaveLine(candidate);
		candidate.isRunning = true;
		candidate.begunAt = now;
		candidate.crowding = this.#parts.serviceTimes.meanMs(service) === undefined ? crowdingOf(usableReplicas(candidates(), now)) : undefined;
		this.#board.noteRunning(service, owner, rank, 1);
		this.#stateOf(service).leastShares.noteBegun(rank, now);
		onDecided({kind: 'admitted'});
	}

	#hold(candidate: Candidate, assessment: Assessment) {
		if (candidate.isWaiting) {
			return;
		}

		if (!this.#line.join(candidate)) {
			this.#refuse(candidate, assessment, 'lineFull');
			return;
		}

		candidate.isWaiting = true;
		this.#timer ??= setInterval(() => {
			this.poll();
		}, pollMs);
	}

	#refuse(candidate: Candidate, assessment: Assessment, reason: string) {
		const {clock, random} = this.#parts;
		const {view} = assessment;
		const state = this.#stateOf(candidate.call.service);
		const {retryAfterMs, promisedUntil} = retryDelay({
			now: clock.now(), excessMs: excessMs(view), isDemandHigh: state.shares?.isDemandHigh ?? false, gapMs: this.#gapMs(state), leftMs: view.leftMs, promisedUntil: state.promisedUntil, draw: random.next(),
		});
		state.promisedUntil = promisedUntil;
		this.#leaveLine(candidate);
		this.#report(candidate, assessment, {outcome: 'refused', reason, retryAfterMs: Math.round(retryAfterMs)});
		candidate.onDecided({kind: 'refused', reason, retryAfterMs});
	}

	#leaveLine(candidate: Candidate) {
		this.#line.leave(candidate);
		candidate.isWaiting = false;
	}

	/** The call has ended, or its caller has left. */
	#leave(candidate: Candidate) {
		const {call: {service}, owner, rank, isRunning, begunAt, crowding} = candidate;
		this.#leaveLine(candidate);
		this.#stopTimerIfIdle();
		if (!isRunning) {
			return;
		}

		candidate.isRunning = false;
		this.#board.noteRunning(service, owner, rank, -1);
		if (crowding !== undefined) {
			// By Little's law, calls spend as many times their run time at a replica as there are calls for each slot.
			this.#stateOf(service).queuedRuns.observe((this.#parts.clock.now() - begunAt) / crowding);
		}
	}

	#stopTimerIfIdle() {
		if (this.#line.length === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	#assess({call, owner, rank, isReturned, arrivedAt}: Candidate): Assessment {
		const {clock, processCount} = this.#parts;
		const {service, route: {latencyTargetMs: targetMs}, timeLimitMs} = call;
		const now = clock.now();
		const state = this.#stateOf(service);
		const replicas = usableReplicas(call.candidates(), now);
		const waitMs = expectedWaitMs(replicas, this.#waitOf(service), sampleSizeOf(replicas.length, processCount()));
		const isShrinking = state.trend.note(waitMs, now);
		const shares = waitMs > 0 ? this.#sharesOf(service, targetMs, now) : undefined;
		const share = shares?.shareOf(owner, rank) ?? Infinity;
		const running = (shares?.peersRunning(owner, rank) ?? 0) + this.#board.ownRunning(service, owner, rank);
		state.isScarce = waitMs > 0 && (!isShrinking || shares?.isDemandHigh !== false);
		this.#noteOverload(state, shares, now);
		const hasRival = state.isScarce && state.leastShares.hasRival(rank, now);
		const hasEarned = state.leastShares.hasEarned(rank);
		return {
			share,
			running,
			view: {
				waitMs, elapsedMs: now - arrivedAt, leftMs: arrivedAt + timeLimitMs - now, targetMs, isReturned, isOutranked: hasRival && !hasEarned, hasLeastShare: hasRival && hasEarned, isPressing: shares?.isPressing(owner, rank) ?? false, isLasting: state.overloadedSince !== undefined && now - state.overloadedSince > lastingMs, shareUsed: running / share, isScarce: state.isScarce,
			},
		};
	}

	/** @returns Milliseconds until a call gets a slot at a replica. */
	#waitOf(service: GatewayServiceName): (replica: Replica) => number {
		const {serviceTimes} = this.#parts;
		if (serviceTimes.meanMs(service) !== undefined) {
			return replica => serviceTimes.waitMs(service, [replica]);
		}

		const runMs = this.#unknownRunMs(service);
		return ({allOnline, record: {slots}}) => Math.max(0, allOnline + 1 - slots) * runMs / slots;
	}

	#unknownRunMs(service: GatewayServiceName): number {
		const {queuedRuns} = this.#stateOf(service);
		return queuedRuns.observations < minQueuedRuns ? assumedRunMs : queuedRuns.meanMs;
	}

	/** Single calls find a free slot during an overload, too. */
	#noteOverload(state: ServiceState, shares: ServiceShares | undefined, now: number) {
		if (shares?.isDemandHigh) {
			state.overloadedSince ??= now;
		} else if (shares ?? now - state.trend.pressedAt > calmAfterMs) {
			state.overloadedSince = undefined;
		}
	}

	#sharesOf(service: GatewayServiceName, targetMs: number, now: number): ServiceShares {
		const {replicasOf, weightOf, serviceTimes} = this.#parts;
		const state = this.#stateOf(service);
		if (state.shares && now - state.sharedAt < sharesKeptMs) {
			return state.shares;
		}

		const runMs = serviceTimes.meanMs(service) ?? this.#unknownRunMs(service);
		state.sharedAt = now;
		state.shares = new ServiceShares({
			slots: slotsOf(usableReplicas(replicasOf(service), now)), runMs, queuedMs: queuedMs(targetMs), totals: this.#board.totals(service, now), weightOf,
		});
		return state.shares;
	}

	#gapMs({shares}: ServiceState): number {
		if (!shares) {
			return usualGapMs;
		}

		const ownPart = Math.min(1, this.#board.ownPerSecond(this.#parts.clock.now()) / Math.max(1, shares.arrivingPerSecond));
		return 1000 / (shares.finishedPerSecond * Math.max(ownPart, 1 / lineBounds.maxCalls));
	}

	#report({call: {id, route, account}, rank, isReturned}: Candidate, {view, share, running}: Assessment, outcome: {readonly outcome: string; readonly reason?: string; readonly retryAfterMs?: number}) {
		const {log, metrics, clock} = this.#parts;
		const ageMs = this.#board.ageMs(clock.now());
		log.emit(gatewayEvents.admissionDecided, {
			id, route: route.name, account: account?.name, rank, ...outcome, waitMs: Math.round(view.waitMs), elapsedMs: Math.round(view.elapsedMs), targetMs: view.targetMs, isReturned, isOutranked: view.isOutranked, isScarce: view.isScarce, isPressing: view.isPressing, isLasting: view.isLasting, share: share === Infinity ? undefined : Math.round(share), running, demandAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
		});
		metrics.count('gateway.admissions', 1, {route: route.name, outcome: outcome.reason ?? outcome.outcome});
	}

	#stateOf(service: GatewayServiceName): ServiceState {
		const state = this.#services.get(service) ?? {
			trend: new WaitTrend(), leastShares: new LeastShares(), queuedRuns: new ExpectedTime(), shares: undefined, sharedAt: -Infinity, promisedUntil: 0, isScarce: false, overloadedSince: undefined,
		};
		this.#services.set(service, state);
		return state;
	}
}
