/**
Chooses the replica for a request: the least tokens still to be computed before it, those of our own requests counted at once and the replica's reports as they come.
*/
import type {VmName} from './ids.js';
import type {ReplicaView} from './replica-table.js';
import type {RandomSource} from './services.js';

/** What a choice is made from. */
export type RouteQuestion = {
	readonly replicas: readonly ReplicaView[];
	/** Replicas that this request was at already; used again only when there is no other. */
	readonly tried: ReadonlySet<VmName>;
	readonly costTokens: number;
};

/** A replica with its cost in tokens; the lower the better. */
export type ScoredReplica = {readonly replica: ReplicaView; readonly score: number};

/** The choice, and the next best for the log. */
export type RouteChoice = {
	readonly chosen: ReplicaView;
	readonly score: number;
	readonly runnersUp: readonly ScoredReplica[];
};

const runnersUpLogged = 2;

const scoreOf = (replica: ReplicaView) => (replica.load?.pendingTokens ?? 0) + replica.ownTokensSince;

/**
@param random - Breaks ties, so that many entries with the same view do not all choose the same replica.
@returns The choice, or undefined when there is no replica.
*/
export const chooseReplica = (question: RouteQuestion, random: RandomSource): RouteChoice | undefined => {
	const untried = question.replicas.filter(replica => !question.tried.has(replica.vm));
	const candidates = untried.length > 0 ? untried : question.replicas;
	const [best, ...others] = candidates
		.map(replica => ({replica, score: scoreOf(replica), tie: random.next()}))
		.toSorted((a, b) => a.score - b.score || a.tie - b.tie);
	return best && {
		chosen: best.replica,
		score: best.score,
		runnersUp: others.slice(0, runnersUpLogged).map(({replica, score}) => ({replica, score})),
	};
};
