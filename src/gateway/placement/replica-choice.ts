/**
The choice of a replica for a call or item. Engines serve in order of arrival and run `slots` requests at once, so a call is served soonest where the fewest are in flight. For online calls, batch items weigh less than calls, because an item is preempted as soon as an online call needs its slot; batch items are sent only where slots stay free for the next online calls.

The peers' loads are some ten milliseconds old. During a burst of calls to many processes, the least loaded replica is the same for all of them, and all would send there before they receive each other's announcements: calls would wait at one replica while slots stay free at others. Each process therefore chooses the best of a random sample of replicas; the more processes there are, the smaller the sample.
*/
import type {RandomSource} from '../../common/services.js';
import type {Replica} from '../replica.js';
import type {ReplicaId} from '../types.js';
import type {RelativePaces} from './relative-paces.js';

/** Criteria of a choice besides the replicas' load. */
export type ChoiceContext = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	readonly random: RandomSource;
	/** Replicas that the call has already been offered to. */
	readonly tried: ReadonlySet<ReplicaId>;
	/** This process's failure domain: among equal replicas, one in the same domain avoids traffic between domains. */
	readonly failureDomain: string;
	/** Number of processes that send to the replicas, including this one. */
	readonly processCount: number;
	/** Whether a failed run may be continued at another replica. */
	readonly canFailOver: boolean;
	/** By default, all replicas count as equally fast. */
	readonly paces?: Pick<RelativePaces, 'factorOf'>;
};

/**
Weight of a batch item relative to an online call. A running item delays an online call only by its preemption, about one round trip compared with the near second of a stream. The weight must not be 0, or all calls would concentrate where items run.
*/
const batchWeight = 0.15;

/**
Cost of a failure to the caller, as a share of the replica's occupied slots. A call that is continued elsewhere loses some hundred milliseconds, about the wait behind half of the slots. A call that may not be continued, or whose second run fails too, is lost, which outweighs any load.

A replica that fails most of its calls therefore gets few, and replicas that lose a single answer now and then keep their share (replica-choice.feature).
*/
const continuationCost = 0.5;
const lossCost = 3;

const failureCost = ({outcomes}: Replica, {now, canFailOver}: ChoiceContext): number => {
	const share = outcomes.failureShare(now);
	return canFailOver ? (share * continuationCost) + (share * share * lossCost) : share * lossCost;
};

/** Smaller than any difference in load, so that it decides only among equally loaded replicas. */
const otherDomainCost = 0.05;

/** Random cost that decides among equal replicas: processes with the same view must not all choose the same one. */
const jitter = 0.04;

/**
Weight of the pace where a slot is free, in the unit of the load, which is the time for which a call occupies its slot: a slow replica reads the prompt and generates slowly. It is less than half of a replica's slots, so that calls go to a slow replica before they fill a fast one.
*/
const freeSlotWeight = 0.3;

/** Deviation of the replica's pace from the usual one: 0 for equal replicas, whose costs are thus exactly those of their loads. */
const slownessOf = (replica: Replica, {paces}: ChoiceContext): number => (paces?.factorOf(replica) ?? 1) - 1;

/**
What a call loses at a replica by its pace: while it runs, and while it waits for a slot where all are in use, which the load expresses at the usual pace. Occupied slots are not counted by pace: requests stay longer in those of a slow replica, so that an equal load already gives it fewer calls. Where each replica served one request at a time, this would be the shortest expected delay (in flight + 1) x pace.
*/
const slownessCost = (replica: Replica, occupied: number, context: ChoiceContext): number => {
	const {slots} = replica.record;
	return slownessOf(replica, context) * (freeSlotWeight + (Math.max(0, occupied + 1 - slots) / slots));
};

/**
Size of the sample: each replica is in the samples of about two processes at a time, and each sample has at least three replicas. With few processes, a sample contains nearly all replicas, and the choice is nearly optimal (replica-choice.feature).
*/
const viewersPerReplica = 2;
const minSampleSize = 3;

export const sampleSizeOf = (replicas: number, processCount: number): number => Math.max(minSampleSize, Math.ceil(viewersPerReplica * replicas / processCount));

const sampleOf = (replicas: readonly Replica[], {processCount, random}: ChoiceContext): readonly Replica[] => {
	const sampleSize = sampleSizeOf(replicas.length, processCount);
	return sampleSize >= replicas.length
		? replicas
		: Array.from({length: sampleSize}, () => replicas[Math.floor(random.next() * replicas.length)]!);
};

const onlineCost = (replica: Replica, context: ChoiceContext): number => {
	const {failureDomain, random} = context;
	const {slots} = replica.record;
	const occupied = replica.allOnline + (batchWeight * replica.allBatch);
	const distance = replica.record.failureDomain === failureDomain ? 0 : otherDomainCost / slots;
	return (occupied / slots) + distance + failureCost(replica, context) + (random.next() * jitter / slots) + slownessCost(replica, occupied, context);
};

const cheapest = (replicas: readonly Replica[], cost: (replica: Replica) => number): Replica | undefined => {
	let best: Replica | undefined;
	let bestCost = Infinity;
	replicas.forEach(replica => {
		const replicaCost = cost(replica);
		if (replicaCost < bestCost) {
			best = replica;
			bestCost = replicaCost;
		}
	});
	return best;
};

/**
Chooses a replica for an online call. Replicas within a backoff are the last resort: if all replicas of a service are, trying one is better than a refusal.

@param replicas - Replicas of the service that accept work.
@returns `undefined` if every replica has been tried.
*/
export const chooseForOnline = (replicas: readonly Replica[], context: ChoiceContext): Replica | undefined => {
	const untried = replicas.filter(({record}) => !context.tried.has(record.id));
	const available = untried.filter(replica => !replica.isBackedOff(context.now));
	return cheapest(sampleOf(available.length > 0 ? available : untried, context), replica => onlineCost(replica, context));
};

/** An item finds a free slot wherever it is sent, and ends sooner at a fast replica. */
const batchCost = (replica: Replica, context: ChoiceContext): number => replica.total + (failureCost(replica, context) * replica.record.slots) + (context.random.next() * jitter) + (slownessOf(replica, context) * (replica.total + 1));

/**
Chooses a replica for a batch item.

@param reserve - Slots of each replica that items leave free.
@returns `undefined` if no replica has a slot to spare.
*/
export const chooseForBatch = (replicas: readonly Replica[], reserve: number, context: ChoiceContext): Replica | undefined => {
	const open = replicas.filter(replica => !replica.isBackedOff(context.now)
		&& !replica.isFull(context.now)
		&& !context.tried.has(replica.record.id)
		&& replica.total < Math.max(1, replica.record.slots - reserve));
	return cheapest(sampleOf(open, context), replica => batchCost(replica, context));
};
