/**
Chooses the replicas that an entry polls and sends work to. Hundreds of entries and thousands of replicas can not all communicate; each entry takes a few replicas of each model and service, the same ones as long as they exist. They are ranked by rendezvous hash, so that the entries spread evenly over the replicas without coordination and a VM that is added or removed changes only its own assignments. Replicas of the entry's failure domain go first, with some from other domains: all replicas of one domain may be lost at once.
*/
import type {FailureDomain, VmName} from './ids.js';
import type {ReplicaView} from './replica-table.js';
import {rankMembers} from './rendezvous.js';

/** The input of a choice. */
export type SubsetCriteria = {
	/** The entry's VM. */
	readonly self: string;
	readonly failureDomain: FailureDomain;
	readonly replicas: readonly ReplicaView[];
	/** The targets that a VM's backend server is declared to serve, as `model:<name>` or `service:<name>`; undefined when it is not declared. */
	readonly targetsOf: (vm: VmName) => readonly string[] | undefined;
	/** Replicas of each target. */
	readonly perTarget: number;
};

// Share of the replicas in the entry's own failure domain; the rest comes from other domains.
const localShare = 0.75;
// A replica is replaced after this many consecutive failures; it is still polled, so that it is used again once it answers.
const failuresBeforeReplaced = 4;

const undeclaredFactor = 4;

/** The properties of a replica that the choice depends on. */
export type SubsetCandidate = Pick<ReplicaView, 'vm' | 'failureDomain' | 'failures'>;

/** True when a replica fails repeatedly and another one is used instead. */
export const isReplaced = ({failures}: SubsetCandidate): boolean => failures >= failuresBeforeReplaced;

const chooseFor = (target: string, candidates: readonly SubsetCandidate[], {self, failureDomain, perTarget}: SubsetCriteria): VmName[] => {
	const byName = new Map<string, SubsetCandidate>(candidates.map(candidate => [candidate.vm, candidate]));
	const ranked = rankMembers(`${self}|${target}`, [...byName.keys()]).map(name => byName.get(name)!);
	const local = ranked.filter(candidate => candidate.failureDomain === failureDomain).slice(0, Math.ceil(perTarget * localShare));
	const others = ranked.filter(candidate => !local.includes(candidate));
	return [...local, ...others].slice(0, perTarget).map(({vm}) => vm);
};

/**
Chooses an entry's replicas.

@returns The VMs to poll: `perTarget` of each target, and four times as many of those whose backend server is not declared; failing replicas are included in addition to those that replace them.
*/
export const chooseSubset = (criteria: SubsetCriteria): ReadonlySet<VmName> => {
	const undeclared: ReplicaView[] = [];
	const byTarget = new Map<string, SubsetCandidate[]>();
	criteria.replicas.filter(({leaving}) => !leaving).forEach(replica => {
		const targets = criteria.targetsOf(replica.vm);
		if (!targets) {
			undeclared.push(replica);
		}

		targets?.forEach(target => {
			const candidates = byTarget.get(target) ?? [];
			candidates.push(replica);
			byTarget.set(target, candidates);
		});
	});
	// Before the first configuration, all replicas are undeclared; even then an entry must not poll the whole fleet.
	const chosen = new Set(chooseFor('undeclared', undeclared, {...criteria, perTarget: criteria.perTarget * undeclaredFactor}));
	byTarget.forEach((candidates, target) => {
		const healthy = candidates.filter(candidate => !isReplaced(candidate));
		[...chooseFor(target, candidates, criteria), ...chooseFor(target, healthy, criteria)].forEach(vm => {
			chosen.add(vm);
		});
	});
	return chosen;
};
