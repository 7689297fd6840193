/**
Asks the routing policy for a replica, and records the decision: a numbered event with the choice, the runners-up and a digest of the inputs, and the inputs themselves when the entry keeps a trace.
*/
import type {DecisionTrace} from '../common/decision-trace.js';
import type {BlockHash, RequestId, VmName} from '../common/ids.js';
import {RecordedDraws} from '../common/recorded-draws.js';
import type {ReplicaTable, ReplicaView} from '../common/replica-table.js';
import {chooseReplica, type RouteChoice, type RouteCriteria} from '../common/route-policy.js';
import {
	recordedChoice, recordedCriteria, routeDigest, type RouteView,
} from '../common/route-record.js';
import type {Clock, EventLog, RandomSource} from '../common/services.js';
import {entryEvents} from './log-events.js';

/** What a router is made of. */
export type RouterParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly replicas: ReplicaTable;
	/** Takes the inputs of every decision; none by default. */
	readonly trace?: DecisionTrace;
};

/** Who asks for a replica. */
export type RouteRequest = {
	readonly id: RequestId;
	/** Counts the attempts from 1. */
	readonly attempt: number;
	/** For instance `model:tyre-scribe`. */
	readonly target: string;
	readonly tried: ReadonlySet<VmName>;
	readonly costTokens: number;
	/** Hashes of the prompt's blocks; none by default. */
	readonly promptBlocks?: readonly BlockHash[];
};

type Decision = {
	readonly request: RouteRequest;
	/** The clock's `now` of the decision. */
	readonly now: number;
	readonly question: RouteCriteria;
	readonly draws: readonly number[];
	readonly choice: RouteChoice | undefined;
};

/** Routes the attempts of one entry. */
export class Router {
	readonly #parts: RouterParts;

	constructor(parts: RouterParts) {
		this.#parts = parts;
	}

	/** @returns The replica, or undefined when there is none for the target. */
	route(request: RouteRequest): ReplicaView | undefined {
		const {replicas, random, clock} = this.#parts;
		const now = clock.now();
		const question = this.#questionOf(request, replicas.routable(request.target, now));
		const recorded = new RecordedDraws(random);
		const choice = chooseReplica(question, recorded);
		this.#record({
			request, now, question, draws: recorded.draws, choice,
		});
		return choice?.chosen;
	}

	#questionOf({tried, costTokens, promptBlocks = []}: RouteRequest, candidates: readonly ReplicaView[]): RouteCriteria {
		const {prefixes} = this.#parts.replicas;
		// Looked up once: the policy and the record both ask.
		const cached = new Map(candidates.map(({vm}) => [vm, prefixes.cachedTokens(vm, promptBlocks)]));
		return {
			replicas: candidates, tried, costTokens, cachedTokens: vm => cached.get(vm) ?? 0,
		};
	}

	#record(decision: Decision) {
		const {request: {id, attempt, target, costTokens}, now, question, draws, choice} = decision;
		if (!choice) {
			this.#parts.log.emit(entryEvents.noReplica, {id, target, ...this.#parts.replicas.availabilityOf(target, now)});
			this.#trace(decision, '');
			return;
		}

		const digest = routeDigest(question, draws);
		this.#parts.log.emit(entryEvents.routed, {
			id, attempt, target, costTokens, ...recordedChoice(choice), candidates: question.replicas.length, digest,
		});
		this.#trace(decision, digest);
	}

	#trace({request, now, question, draws, choice}: Decision, digest: string) {
		const {trace, replicas} = this.#parts;
		if (!trace) {
			return;
		}

		const {id, attempt, target} = request;
		const view: RouteView = {
			target, now, silentMs: replicas.effectiveReportTimeoutMs(now), replicas: replicas.all.map(replica => ({...replica})),
		};
		trace.write({
			kind: 'route', id, attempt, digest, view, question: recordedCriteria(question), draws, choice: choice && recordedChoice(choice),
		});
	}
}
