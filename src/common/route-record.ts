/**
A routing decision as plain data: sufficient to replay it, and to check that no replica was chosen that must not be.

The log line of a decision carries only a digest of its inputs, since the inputs themselves are a few kilobytes. The digest links the line to its record in a trace, and shows whether two decisions were made from the same view.
*/
import type {RequestId, VmName} from './ids.js';
import type {LoadReport} from './protocol.js';
import {isRoutable, type ReplicaView} from './replica-table.js';
import type {RouteChoice, RouteCriteria} from './route-policy.js';
import {h64ToString} from './xxhash.js';

/** The input of a routing policy, without its functions. */
export type RecordedCriteria = Omit<RouteCriteria, 'replicas' | 'tried' | 'cachedTokens'> & {
	readonly tried: readonly VmName[];
	/** Cached prompt tokens, by VM; VMs without any are left out. */
	readonly cachedTokens: Readonly<Record<string, number>>;
};

/** A replica with its score, by name. */
export type RecordedScore = {readonly vm: VmName; readonly score: number};

/** The view from which a decision was made: the entry's replicas, and the time. */
export type RouteView = {
	readonly target: string;
	/** The clock's `now`. */
	readonly now: number;
	readonly silentMs: number;
	/** All replicas of the entry, also those that get no work. */
	readonly replicas: readonly ReplicaView[];
};

/** See {@link DecisionRecord}. */
export type RouteRecord = {
	readonly kind: 'route';
	readonly id: RequestId;
	readonly attempt: number;
	readonly digest: string;
	readonly view: RouteView;
	readonly question: RecordedCriteria;
	/** Random numbers that the policy drew, in order. */
	readonly draws: readonly number[];
	/** Left out when there was no replica. */
	readonly choice?: RecordedScore & {readonly runnersUp: readonly RecordedScore[]};
};

/** Converts criteria to plain data. */
export const recordedCriteria = ({replicas, tried, cachedTokens, ...plain}: RouteCriteria): RecordedCriteria => ({
	...plain,
	tried: [...tried],
	cachedTokens: Object.fromEntries(replicas.map(({vm}) => [vm, cachedTokens?.(vm) ?? 0] as const).filter(([, tokens]) => tokens > 0)),
});

/** Restores the criteria of a recorded decision. */
export const criteriaFromRecord = ({view, question}: Pick<RouteRecord, 'view' | 'question'>): RouteCriteria => ({
	...question,
	replicas: view.replicas.filter(replica => isRoutable(replica, view)),
	tried: new Set(question.tried),
	cachedTokens: vm => question.cachedTokens[vm] ?? 0,
});

/** Converts a choice to plain data, by the names of its replicas. */
export const recordedChoice = ({chosen, score, runnersUp}: RouteChoice): NonNullable<RouteRecord['choice']> => ({
	vm: chosen.vm,
	score,
	runnersUp: runnersUp.map(({replica, score}) => ({vm: replica.vm, score})),
});

// The digest of a report is cached for all requests until the next report: a report is never changed, only replaced.
const loadDigests = new WeakMap<LoadReport, string>();

const loadDigest = (load: LoadReport): string => {
	const cached = loadDigests.get(load) ?? h64ToString(JSON.stringify(load));
	loadDigests.set(load, cached);
	return cached;
};

const replicaText = ({load, ...row}: ReplicaView): string => `${Object.values(row).join(' ')} ${load ? loadDigest(load) : ''}`;

/** Returns a hash of all inputs of a choice, as 16 hexadecimal digits. */
export const routeDigest = (criteria: RouteCriteria, draws: readonly number[]): string => h64ToString([
	JSON.stringify(recordedCriteria(criteria)),
	draws.join(' '),
	...criteria.replicas.map(replica => replicaText(replica)),
].join('\n'));
