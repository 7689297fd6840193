/**
Reports whether this process serves callers, and why not: its readiness with the age of what it knows, the time that its start took by stages, and each second in which many calls were not answered. Without these, refusals for lack of knowledge, by a decision and for lack of processor time look the same from outside.
*/
import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import process from 'node:process';
import type {
	Clock, Disposable, EventLog, Metrics,
} from '../../common/services.js';
import type {LogFields} from '../../common/types.js';
import type {ConfigBoard} from '../config-board.js';
import {gatewayEvents} from '../log-events.js';
import type {ObjectFeed} from '../object-feed.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {Readiness} from './readiness.js';
import {answered, type CallOutcomes} from './call-outcomes.js';

/** Dependencies of the monitor. */
export type ServiceMonitorParts = {
	readonly readiness: Pick<Readiness, 'reason' | 'onChange'>;
	readonly outcomes: CallOutcomes;
	readonly board: Pick<ConfigBoard, 'config' | 'onChange'>;
	readonly directory: Pick<ReplicaDirectory, 'all' | 'size' | 'onChange'>;
	readonly configFeed: Pick<ObjectFeed, 'heardAt'>;
	readonly replicaFeed: Pick<ObjectFeed, 'heardAt'>;
	/** Whether the object API itself answers this process. */
	readonly reachesObjectApi: () => boolean;
	readonly peerCount: () => number;
	readonly waitingCalls: () => number;
	/** Contents and prompt parts that are held back. */
	readonly quarantinedCount: () => number;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

const tickMs = 250;
const reportMs = 1000;

/** Resolution of the event loop's delay, in milliseconds; a finer one wakes the process for nothing. */
const loopResolutionMs = 50;

/** A second is reported if at least this many calls, and this share of all, were not answered. */
const minUnanswered = 5;
const minUnansweredShare = 0.25;

/** Ends that say nothing of this process's service: the caller has gone, or has used up what operators grant it. */
const callersOwnEnds = new Set(['the caller left', 'limit']);

/** Processor time of this process since its start, in milliseconds. */
const cpuUsageMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

const ageOf = (now: number, at: number): number | undefined => at === -Infinity ? undefined : Math.round(now - at);

/** See the module's head. */
export class ServiceMonitor implements Disposable {
	readonly #parts: ServiceMonitorParts;
	readonly #startedAt: number;
	readonly #loopDelay: IntervalHistogram = monitorEventLoopDelay({resolution: loopResolutionMs});
	#milestones: Readonly<Record<string, number>> = {};
	#timer: NodeJS.Timeout | undefined;
	#reportedAt: number;
	#cpuMsAtReport = cpuUsageMs();
	#isFirstServedLogged = false;

	constructor(parts: ServiceMonitorParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.now();
		this.#reportedAt = this.#startedAt;
		parts.board.onChange(() => {
			this.noteMilestone('configMs');
		});
		parts.directory.onChange(() => {
			this.noteMilestone('replicasMs');
		});
		parts.readiness.onChange(reason => {
			parts.log.emit(gatewayEvents.readinessChanged, {ready: reason === '', reason, ...this.#state()});
		});
	}

	start(): void {
		this.#loopDelay.enable();
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickMs);
	}

	/** Records when a stage of the start was first completed, under the name of its log field. */
	noteMilestone(name: string): void {
		if (this.#milestones[name] === undefined) {
			this.#milestones = {...this.#milestones, [name]: Math.round(this.#parts.clock.now() - this.#startedAt)};
		}
	}

	/** Writes the gauges; see docs/OPERATIONS.md. */
	recordGauges(): void {
		const {metrics, readiness} = this.#parts;
		metrics.gauge('gateway.ready', readiness.reason === '' ? 1 : 0);
		metrics.gauge('process.eventLoopDelayMs', this.#loopDelayMs);
		const {configHeardMs = Infinity, replicasHeardMs = Infinity, backedOff, retained} = this.#state();
		metrics.gauge('gateway.configHeardMs', configHeardMs);
		metrics.gauge('gateway.replicasHeardMs', replicasHeardMs);
		metrics.gauge('gateway.replicasBackedOff', backedOff);
		metrics.gauge('gateway.replicasRetained', retained);
	}

	dispose(): void {
		clearInterval(this.#timer);
		this.#loopDelay.disable();
	}

	#tick() {
		const {readiness, outcomes, clock} = this.#parts;
		// Reading it reports a change.
		if (readiness.reason === '') {
			this.noteMilestone('readyMs');
		}

		if (outcomes.hasServed && !this.#isFirstServedLogged) {
			this.#isFirstServedLogged = true;
			this.noteMilestone('servedMs');
			this.#parts.log.emit(gatewayEvents.firstCallServed, this.#milestones);
		}

		if (clock.now() - this.#reportedAt >= reportMs) {
			this.#report();
		}
	}

	#report() {
		const {outcomes, clock, log, metrics} = this.#parts;
		const now = clock.now();
		const cpuMs = cpuUsageMs();
		const cpuShare = (cpuMs - this.#cpuMsAtReport) / (now - this.#reportedAt);
		this.#reportedAt = now;
		this.#cpuMsAtReport = cpuMs;
		const counts = outcomes.take();
		counts.forEach((count, reason) => {
			metrics.count('gateway.callOutcomes', count, {reason});
		});
		const unanswered = [...counts].filter(([reason]) => reason !== answered && !callersOwnEnds.has(reason));
		const unansweredCount = unanswered.reduce((sum, [, count]) => sum + count, 0);
		const total = unansweredCount + (counts.get(answered) ?? 0);
		if (unansweredCount >= minUnanswered && unansweredCount >= minUnansweredShare * total) {
			log.emit(gatewayEvents.serviceImpaired, {
				reasons: Object.fromEntries(counts), cpuShare: Number(cpuShare.toFixed(2)), loopDelayMs: this.#loopDelayMs, ...this.#state(),
			});
		}

		this.#loopDelay.reset();
	}

	/** The 99th percentile since the last report, beyond the resolution. */
	get #loopDelayMs(): number {
		return Math.max(0, Math.round((this.#loopDelay.percentile(99) / 1_000_000) - loopResolutionMs));
	}

	/** The state of the service, as log lines tell it; `…HeardMs` is the time since the object API last answered a read. */
	#state() {
		const {
			board, directory, configFeed, replicaFeed, reachesObjectApi, peerCount, waitingCalls, quarantinedCount, clock,
		} = this.#parts;
		const now = clock.now();
		const replicas = [...directory.all];
		return {
			configVersion: board.config?.version,
			configHeardMs: ageOf(now, configFeed.heardAt),
			replicasHeardMs: ageOf(now, replicaFeed.heardAt),
			replicas: directory.size,
			draining: replicas.filter(({record}) => record.isDraining).length,
			backedOff: replicas.filter(replica => replica.isBackedOff(now)).length,
			retained: replicas.filter(({missingSince}) => missingSince !== undefined).length,
			reachesObjectApi: reachesObjectApi(),
			peers: peerCount(),
			waitingCalls: waitingCalls(),
			quarantined: quarantinedCount(),
			sinceStartMs: Math.round(now - this.#startedAt),
		} satisfies LogFields;
	}
}
