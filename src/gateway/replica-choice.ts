/**
Which replica gets a call. Engines admit first come, first served and run `slots` requests at once, so a call is soonest served where the fewest are in flight. Online calls count batch items for less than themselves, since an item is cut off as soon as an online call needs its place; batch items go only where places stay free for the next online calls.

What a process knows of the others' calls is some ten milliseconds old. Under a wave of calls to many processes, the replica that looks emptiest looks so to all of them, and all send there before they hear of each other: calls wait at one replica while places stay free at others. So each looks at a few replicas by lot and takes the best of these; the more processes there are, the fewer it looks at.
*/
import {rankMembers} from '../common/rendezvous.js';
import type {RandomSource} from '../common/services.js';
import type {Replica} from './replica.js';
import type {MemberName, ReplicaId} from './types.js';

/** What a choice depends on besides the replicas' load. */
export type ChoiceContext = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	readonly random: RandomSource;
	/** Replicas that this call has tried. */
	readonly tried: ReadonlySet<ReplicaId>;
	/** This process's failure domain: between equals, the near replica saves traffic between domains. */
	readonly failureDomain: string;
	/** How many processes send to the replicas, this one included. */
	readonly processCount: number;
	/** Whether a run that fails may go on at another replica. */
	readonly canFailOver: boolean;
};

/**
An item that runs delays an online call only by the time that cutting it off takes, about one round trip against the near second of a stream; it still must count for something, or all calls would gather where items run.
*/
const batchWeight = 0.15;

/**
What a failure costs a caller, as a share of the replica's places that are taken before the call. A call that goes on elsewhere loses some hundred milliseconds, about what it would wait behind half of the places. One that may not, or whose second run fails too, is lost, which no load is worth.

So a replica that fails most of its calls gets few, and replicas that lose a single answer now and then keep their part (replica-choice.feature).
*/
const rerunCost = 0.5;
const lossCost = 3;

const failureCost = ({outcomes}: Replica, {now, canFailOver: canGoElsewhere}: ChoiceContext): number => {
	const share = outcomes.failureShare(now);
	return canGoElsewhere ? (share * rerunCost) + (share * share * lossCost) : share * lossCost;
};

/** Less than any difference of load, so that it decides only between equals. */
const otherDomainCost = 0.05;

/** Chance between equals: processes with the same view must not all pick the same replica. */
const jitter = 0.04;

/**
Replicas that are looked at: so many of all that every replica is in the view of about two processes at a time, and three at the least. Few processes see nearly all, and take nearly the best (replica-choice.feature).
*/
const viewers = 2;
const fewestLots = 3;

const byLot = (replicas: readonly Replica[], {processCount: sharers, random}: ChoiceContext): readonly Replica[] => {
	const lots = Math.max(fewestLots, Math.ceil(viewers * replicas.length / sharers));
	return lots >= replicas.length
		? replicas
		: Array.from({length: lots}, () => replicas[Math.floor(random.next() * replicas.length)]!);
};

const onlineCost = (replica: Replica, context: ChoiceContext): number => {
	const {failureDomain, random} = context;
	const {slots} = replica.record;
	const load = (replica.allOnline + (batchWeight * replica.allBatch)) / slots;
	const distance = replica.record.failureDomain === failureDomain ? 0 : otherDomainCost / slots;
	return load + distance + failureCost(replica, context) + (random.next() * jitter / slots);
};

const leastOf = (replicas: readonly Replica[], cost: (replica: Replica) => number): Replica | undefined => {
	let best: Replica | undefined;
	let bestCost = Infinity;
	replicas.forEach(replica => {
		const own = cost(replica);
		if (own < bestCost) {
			best = replica;
			bestCost = own;
		}
	});
	return best;
};

/**
The replica for an online call. Replicas that are doubted are the last resort: with all of a service in doubt, trying one beats refusing.

@param replicas - Those of the service that take work.
*/
export const chooseForOnline = (replicas: readonly Replica[], context: ChoiceContext): Replica | undefined => {
	const untried = replicas.filter(({record}) => !context.tried.has(record.id));
	const trusted = untried.filter(replica => !replica.isBackedOff(context.now));
	return leastOf(byLot(trusted.length > 0 ? trusted : untried, context), replica => onlineCost(replica, context));
};

/**
The replica for a batch item, if one has a place to spare.

@param reserve - Places of each replica that items leave free.
*/
export const chooseForBatch = (replicas: readonly Replica[], reserve: number, context: ChoiceContext): Replica | undefined => {
	const open = replicas.filter(replica => !replica.isBackedOff(context.now)
		&& !replica.isFull(context.now)
		&& !context.tried.has(replica.record.id)
		&& replica.total < Math.max(1, replica.record.slots - reserve));
	return leastOf(byLot(open, context), replica => replica.total + (failureCost(replica, context) * replica.record.slots) + (context.random.next() * jitter));
};

/**
How many of its own items a process cuts off at a replica, so that all together cut off what exceeds the places and no more.

All processes see about the same load and hear of an online call at about the same time. If each cut its share, rounded up, every one of them would cut an item off for one call: a call came to a full replica and left it half empty, and items that lacked a few events were cut off again and again. So all rank the holders of items for the replica alike, and the first ones give way.
*/
export const itemsToPreempt = (replica: Replica, self: MemberName): number => {
	const excess = replica.total - replica.record.slots;
	if (excess <= 0 || replica.batch === 0) {
		return 0;
	}

	const ranked = rankMembers(replica.record.id, [self, ...replica.peersWithItems.map(([peer]) => peer)]);
	const before = new Set(ranked.slice(0, ranked.indexOf(self)));
	const cutByOthers = replica.peersWithItems.filter(([peer]) => before.has(peer)).reduce((sum, [, items]) => sum + items, 0);
	return Math.min(replica.batch, Math.max(0, excess - cutByOthers));
};
