/**
Which replicas an entry keeps in touch with. Hundreds of entries before thousands of replicas can not all talk; each entry takes a few replicas of each model and service, the same ones as long as they are there. They are ranked by rendezvous hash, so that the entries spread evenly over the replicas without talking and a VM that comes or goes moves only its own places. Replicas of the entry's failure domain go first, with some from elsewhere: the domain's own may all be lost at once.
*/
import type {FailureDomain, VmName} from './ids.js';
import type {ReplicaView} from './replica-table.js';
import {rankMembers} from './rendezvous.js';

/** What a subset is chosen from. */
export type SubsetCriteria = {
	/** The entry's VM. */
	readonly self: string;
	readonly failureDomain: FailureDomain;
	readonly replicas: readonly ReplicaView[];
	/** What a VM's backend server is declared to serve, as `model:<name>` or `service:<name>`; undefined when it is not declared. */
	readonly targetsOf: (vm: VmName) => readonly string[] | undefined;
	/** Replicas of each target. */
	readonly perTarget: number;
};

// The rest comes from other failure domains.
const nearShare = 0.75;
// A replica that failed this often in a row is replaced, and asked on so that it is taken back when it answers.
const failuresBeforeReplaced = 4;

const undeclaredFactor = 4;

/** What of a replica matters here. */
export type SubsetCandidate = Pick<ReplicaView, 'vm' | 'failureDomain' | 'failures'>;

/** True when another replica takes the place of this one, which fails again and again. */
export const isReplaced = ({failures}: SubsetCandidate): boolean => failures >= failuresBeforeReplaced;

const chooseFor = (target: string, candidates: readonly SubsetCandidate[], {self, failureDomain, perTarget}: SubsetCriteria): VmName[] => {
	const byName = new Map<string, SubsetCandidate>(candidates.map(candidate => [candidate.vm, candidate]));
	const ranked = rankMembers(`${self}|${target}`, [...byName.keys()]).map(name => byName.get(name)!);
	const near = ranked.filter(candidate => candidate.failureDomain === failureDomain).slice(0, Math.ceil(perTarget * nearShare));
	const others = ranked.filter(candidate => !near.includes(candidate));
	return [...near, ...others].slice(0, perTarget).map(({vm}) => vm);
};

/**
Chooses an entry's replicas.

@returns VMs to keep in touch with: `perTarget` of each target, and four times as many of those whose backend server is not declared; those that fail are named besides the ones that replace them.
*/
export const chooseSubset = (question: SubsetCriteria): ReadonlySet<VmName> => {
	const undeclared: ReplicaView[] = [];
	const byTarget = new Map<string, SubsetCandidate[]>();
	question.replicas.filter(({leaving}) => !leaving).forEach(replica => {
		const targets = question.targetsOf(replica.vm);
		if (!targets) {
			undeclared.push(replica);
		}

		targets?.forEach(target => {
			const candidates = byTarget.get(target) ?? [];
			candidates.push(replica);
			byTarget.set(target, candidates);
		});
	});
	// Without a configuration yet, everything is undeclared: then too no entry asks a whole fleet.
	const chosen = new Set(chooseFor('undeclared', undeclared, {...question, perTarget: question.perTarget * undeclaredFactor}));
	byTarget.forEach((candidates, target) => {
		const healthy = candidates.filter(candidate => !isReplaced(candidate));
		[...chooseFor(target, candidates, question), ...chooseFor(target, healthy, question)].forEach(vm => {
			chosen.add(vm);
		});
	});
	return chosen;
};
