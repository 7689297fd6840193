/**
Sends items to the replicas at which a slot was found for them, and records how their runs end: the slot is released, the replica's faults are noted, and the estimate of run times is updated.
*/
import type {Clock, EventLog, Metrics} from '../../common/services.js';
import type {ConfigBoard} from '../config-board.js';
import type {ReplicaReachability} from '../contacts/replica-reachability.js';
import type {FeedFreshness} from '../feed-freshness.js';
import type {LoadBoard} from '../load-board.js';
import {gatewayEvents} from '../log-events.js';
import {registrationAge} from '../registration-age.js';
import {isEligible} from '../replica-eligibility.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {Replica} from '../replica.js';
import type {CallDialect, CallerIdentity} from '../types.js';
import type {BatchJob} from './batch-job.js';
import {
	initialRunEstimate, updateEstimate, updateSlowdown, type RunEstimate,
} from './batch-policy.js';
import type {BatchItem} from './batch-records.js';
import {ItemRun, type ItemRunEnd} from './item-run.js';
import type {JobRoutePolicy} from './job-route-policy.js';
import type {ItemState} from './job-run.js';
import type {PendingItem} from './pending-items.js';

/** Builds the headers with which an item is sent. */
export type ItemHeaderBuilder = (host: string, itemId: string, headers: BatchItem['headers']) => string[];

/** Dependencies of the sender. */
export type ItemSenderParts = {
	readonly directory: ReplicaDirectory;
	/** Freshness of the directory. */
	readonly replicaFreshness: FeedFreshness;
	readonly board: ConfigBoard;
	readonly loads: LoadBoard;
	readonly reachability: ReplicaReachability;
	readonly dialect: CallDialect;
	readonly itemHeaders: ItemHeaderBuilder;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** An item with the replica at which a slot was found for it. */
export type AssignedItem = PendingItem & {
	readonly replica: Replica;
};

/** See the module's head. */
export class ItemSender {
	readonly #parts: ItemSenderParts;
	readonly #routePolicy: JobRoutePolicy;
	readonly #onRunEnded: () => void;
	readonly #onReplicaFault: Readonly<Partial<Record<ItemRunEnd, (replica: Replica) => void>>> = {
		unreachable: replica => {
			this.#parts.reachability.noteUnreachable(replica);
		},
		misdirected: replica => {
			replica.noteFailure(this.#parts.clock.now());
		},
		declined: replica => {
			replica.noteFull(this.#parts.clock.now());
		},
		endless: replica => {
			replica.noteFailure(this.#parts.clock.now());
		},
	};

	readonly #onTrackedEnd: Readonly<Partial<Record<ItemRunEnd, (state: ItemState, replica: Replica) => void>>> = {
		finished({tracked}) {
			tracked?.noteCompleted();
		},
		lost({tracked}, replica) {
			void tracked?.noteConnectionLost(replica);
		},
	};

	#estimate = initialRunEstimate;

	/** @param onRunEnded - Called at the end of each run, when its slot is free. */
	constructor(parts: ItemSenderParts, routePolicy: JobRoutePolicy, onRunEnded: () => void) {
		this.#parts = parts;
		this.#routePolicy = routePolicy;
		this.#onRunEnded = onRunEnded;
	}

	/** The estimate from the runs that have ended here. */
	get estimate(): RunEstimate {
		return this.#estimate;
	}

	/** Sends an item. */
	send(assigned: AssignedItem, connection: ReplicaConnection): void {
		const {job, state, replica} = assigned;
		const {
			loads, reachability, dialect, itemHeaders, log, clock, metrics,
		} = this.#parts;
		if (state.events.length === 0) {
			state.softwareVersion = replica.record.softwareVersion;
		}

		const {item, events} = state;
		log.emit(gatewayEvents.itemStarted, {
			job: job.id, item: item.id, replica: replica.record.id, softwareVersion: replica.record.softwareVersion, resumeAfter: events.length, dueInMs: Math.round(this.#routePolicy.dueAt(job) - clock.wall()), ...registrationAge(this.#parts, replica),
		});
		const releaseSlot = loads.acquireSlot(replica, 'batch');
		const startedAt = clock.now();
		state.firstStartedAt ??= startedAt;
		state.sparedSince = undefined;
		const eventsBefore = events.length;
		state.tracked?.noteSent();
		state.run = new ItemRun({
			item,
			replica,
			connection,
			reachability: reachability.of(replica),
			clock,
			dialect,
			log,
			metrics,
			isEligible: () => isEligible(this.#parts, replica),
			headers: itemHeaders(job.record.host, item.id, item.headers),
			events,
			caller: this.#callerOf(job),
			onChunk() {
				state.tracked?.noteChunk();
			},
			hasReplicaEnded: async () => reachability.hasEnded(replica),
			onEnd: (end, reason) => {
				releaseSlot();
				log.emit(gatewayEvents.itemRunEnded, {
					job: job.id, item: item.id, replica: replica.record.id, outcome: end, events: events.length, reason, elapsedMs: Math.round(clock.now() - startedAt),
				});
				state.ranMs += clock.now() - startedAt;
				if (end === 'finished') {
					this.#updateEstimate(assigned, {events: events.length - eventsBefore, elapsedMs: clock.now() - startedAt, total: events.length});
				}

				this.#onRunEnd(assigned, end);
			},
		});
		state.run.start();
	}

	/** A job keeps its account even if operators revoke the key or no longer declare any accounts. */
	#callerOf({record: {account}}: BatchJob): CallerIdentity | undefined {
		return account !== undefined || this.#parts.board.accounts ? {account} : undefined;
	}

	/** A late item has waited behind those that could be on time, so it is no sample of how long these take. */
	#updateEstimate({dueAt, state: {firstStartedAt = 0, ranMs}}: AssignedItem, lastRun: {events: number; elapsedMs: number; total: number}) {
		const {clock} = this.#parts;
		const estimate = updateEstimate(this.#estimate, lastRun);
		this.#estimate = clock.wall() <= dueAt ? updateSlowdown(estimate, {elapsedMs: clock.now() - firstStartedAt, ranMs}) : estimate;
	}

	#onRunEnd({run, route, state, replica}: AssignedItem, end: ItemRunEnd) {
		this.#parts.metrics.count('gateway.itemRuns', 1, {outcome: end});
		this.#onReplicaFault[end]?.(replica);
		this.#onTrackedEnd[end]?.(state, replica);
		run.recordRunEnd(state, end, {replica: replica.record.id, route});
		this.#onRunEnded();
	}
}
