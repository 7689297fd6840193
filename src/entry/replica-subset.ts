/**
The replicas this entry keeps in touch with, chosen anew only when something that matters has changed: at the target size a choice ranks thousands of VMs.
*/
import type {BackendServer} from '../../typings/resources.js';
import type {ConfigTable} from '../common/config-table.js';
import type {VmName} from '../common/ids.js';
import type {ReplicaTable} from '../common/replica-table.js';
import {chooseSubset, isReplaced, type SubsetCriteria} from '../common/subset-policy.js';

/** Chooses and remembers the subset. */
export class ReplicaSubset {
	readonly #replicas: ReplicaTable;
	readonly #config: ConfigTable;
	readonly #place: Pick<SubsetCriteria, 'self' | 'failureDomain' | 'perTarget'>;
	readonly #needsAll: () => boolean;
	#signature = '';
	#current: ReadonlySet<VmName> = new Set();

	/** @param needsAll - True while this entry has to know every replica, for instance because it places models. */
	constructor(replicas: ReplicaTable, config: ConfigTable, place: Pick<SubsetCriteria, 'self' | 'failureDomain' | 'perTarget'>, needsAll: () => boolean) {
		this.#needsAll = needsAll;
		this.#replicas = replicas;
		this.#config = config;
		this.#place = place;
	}

	/** The subset by what is known now. */
	get current(): ReadonlySet<VmName> {
		const replicas = this.#replicas.all;
		if (this.#needsAll()) {
			return new Set(replicas.map(({vm}) => vm));
		}

		const signature = `${this.#config.revision} ${replicas.map(replica => `${replica.vm}${replica.leaving ? '-' : ''}${isReplaced(replica) ? '!' : ''}`).join(' ')}`;
		if (signature !== this.#signature) {
			this.#signature = signature;
			this.#current = chooseSubset({...this.#place, replicas, targetsOf: vm => this.#targetsOf(vm)});
		}

		return this.#current;
	}

	#targetsOf(vm: VmName): readonly string[] | undefined {
		const spec = this.#config.get<Partial<BackendServer>>('BackendServer', vm)?.spec;
		return spec && [...(spec.models ?? []).map(model => `model:${model}`), ...(spec.service === undefined ? [] : [`service:${spec.service}`])];
	}
}
