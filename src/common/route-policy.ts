/**
Chooses the replica for a request: the one with the least work ahead of its answer, counted in tokens. Cached prompt blocks are a term of that cost and not a goal of their own: a busy replica that holds the prompt loses to an idle one as soon as its queue costs more than the prompt. Requests of this entry count at once, the replicas' reports as they arrive.
*/
import type {VmName} from './ids.js';
import type {ReplicaView} from './replica-table.js';
import type {RandomSource} from './services.js';

/** Weights of the terms of the score, in tokens. */
export type RouteWeights = {
	/** A token of the prompt that need not be computed. More than 1, since computing a prompt also delays every other stream of the replica. */
	readonly perCachedToken: number;
	/** A batch item in the engine: it lengthens every step, and arriving online work preempts it. */
	readonly perBatchItem: number;
	/** A request at a replica whose slots are nearly all taken: the next one may have to wait for one to end. */
	readonly perCrowdedRequest: number;
	/** A replica in another failure domain. */
	readonly otherDomain: number;
};

/** The input of a choice. */
export type RouteCriteria = {
	readonly replicas: readonly ReplicaView[];
	/** Replicas that this request was already sent to; used again only when there is no other. */
	readonly tried: ReadonlySet<VmName>;
	/** Tokens of the prompt and of the expected answer. */
	readonly costTokens: number;
	/** Tokens of the prompt that a replica is known to hold; none by default. */
	readonly cachedTokens?: (vm: VmName) => number;
	/** This entry's failure domain; without it all domains count equally. */
	readonly failureDomain?: string;
	readonly weights?: Partial<RouteWeights>;
};

/** A replica with its cost in tokens; the lower the better. */
export type ScoredReplica = {readonly replica: ReplicaView; readonly score: number};

/** The choice, and the next best for the log. */
export type RouteChoice = {
	readonly chosen: ReplicaView;
	readonly score: number;
	readonly runnersUp: readonly ScoredReplica[];
};

/** Default weights, see docs/DESIGN.md. */
export const defaultWeights: RouteWeights = {
	perCachedToken: 2, perBatchItem: 30, perCrowdedRequest: 1000, otherDomain: 0,
};

const runnersUpLogged = 2;
const uncrowdedShare = 0.75;

// Requests beyond the share of the backend server's slots up to which lagging views may fill it by mistake.
const crowdingOf = ({load}: ReplicaView) => load ? Math.max(0, load.running + load.queued - (load.maxRunning * uncrowdedShare)) : 0;

const scoreOf = (replica: ReplicaView, criteria: RouteCriteria, weights: RouteWeights) => {
	const {load} = replica;
	const tokensAhead = (load?.pendingTokens ?? 0) + replica.ownTokensSince;
	const ownTokens = criteria.costTokens - ((criteria.cachedTokens?.(replica.vm) ?? 0) * weights.perCachedToken);
	const batch = (load?.batchRunning ?? 0) * weights.perBatchItem;
	const crowding = crowdingOf(replica) * weights.perCrowdedRequest;
	const isOtherDomain = criteria.failureDomain !== undefined && criteria.failureDomain !== replica.failureDomain;
	return tokensAhead + ownTokens + batch + crowding + (isOtherDomain ? weights.otherDomain : 0);
};

/**
@param random - Breaks ties, so that many entries with the same view do not all choose the same replica.
@returns The choice, or undefined when there is no replica.
*/
export const chooseReplica = (criteria: RouteCriteria, random: RandomSource): RouteChoice | undefined => {
	const weights = {...defaultWeights, ...criteria.weights};
	const untried = criteria.replicas.filter(replica => !criteria.tried.has(replica.vm));
	const candidates = untried.length > 0 ? untried : criteria.replicas;
	const [best, ...others] = candidates
		.map(replica => ({replica, score: scoreOf(replica, criteria, weights), tie: random.next()}))
		.toSorted((a, b) => a.score - b.score || a.tie - b.tie);
	return best && {
		chosen: best.replica,
		score: best.score,
		runnersUp: others.slice(0, runnersUpLogged).map(({replica, score}) => ({replica, score})),
	};
};
