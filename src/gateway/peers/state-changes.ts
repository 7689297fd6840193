/**
Changes of a process's announced state since its last complete announcement: the frequent messages between processes, which would otherwise repeat everything each time.

Counts are listed with their new values, not as differences, so that changes may be applied to an older state than the one they refer to: a count that they list is right, and one that is missing is as old as the last state received.
*/
import type {BatchJobId, MemberName, ReplicaId} from '../types.js';
import type {PeerState, SharedLoad, SharedWaiting} from './peer-state.js';

/** What later messages refer to; everything else is in some messages only and concerns the moment. */
type LastingKey = 'member' | 'address' | 'rpcAddress' | 'failureDomain' | 'reachesObjectApi' | 'keepsOrigins' | 'readsChanges' | 'startedAt' | 'seq' | 'isLeaving' | 'loads' | 'jobs' | 'waiting';

/** Sections of a state that later messages don't refer to. */
export type TransientSections = Omit<PeerState, LastingKey>;

/** See the module's head. */
export type StateChanges = TransientSections & {
	readonly member: MemberName;
	/** See {@link PeerState.startedAt}. */
	readonly startedAt: number;
	/** Grows with each message of one start, complete states included. */
	readonly seq: number;
	readonly isLeaving?: boolean;
	readonly reachesObjectApi?: boolean;
	/** Replicas whose counts differ from the last complete state; without requests of the process, both counts are 0. */
	readonly loads: readonly SharedLoad[];
	/** All jobs that it runs, if they have changed. */
	readonly jobs?: readonly BatchJobId[];
	/** All routes with waiting items, if a number has changed. */
	readonly waiting?: readonly SharedWaiting[];
};

/** Name of the notification between processes. */
export const stateChangesMethod = 'gateway.stateChanges';

const byReplica = (loads: readonly SharedLoad[]): ReadonlyMap<ReplicaId, SharedLoad> => new Map(loads.map(load => [load.replica, load]));

const isSame = (one: SharedLoad, other: SharedLoad | undefined): boolean =>
	one.online === other?.online && one.batch === other.batch && one.startedAt === other.startedAt;

const isEqual = (one: unknown, other: unknown): boolean => JSON.stringify(one) === JSON.stringify(other);

/** The parts of a state that a change repeats as a whole. */
const changingParts = ['isLeaving', 'reachesObjectApi', 'jobs', 'waiting'] as const;

/** Finds the changes since the last complete announcement. What has once been listed since then is listed again in each further message, also when it is back at its value of then: a receiver has the other one. */
export class AnnouncedState {
	readonly #base: PeerState;
	readonly #changedParts = new Set<typeof changingParts[number]>();
	readonly #changedReplicas = new Set<ReplicaId>();

	/** @param base - The last complete state announced. */
	constructor(base: PeerState) {
		this.#base = base;
	}

	/** @param state - The state now. */
	changesTo(state: PeerState): StateChanges {
		const {
			address, rpcAddress, failureDomain, keepsOrigins, readsChanges, isLeaving, reachesObjectApi, jobs, waiting, ...always
		} = state;
		changingParts.filter(part => !isEqual(state[part], this.#base[part])).forEach(part => {
			this.#changedParts.add(part);
		});
		const parts = Object.fromEntries([...this.#changedParts].map(part => [part, state[part]]));
		return {...always, ...parts, loads: this.#loadChanges(state.loads)};
	}

	#loadChanges(loads: readonly SharedLoad[]): SharedLoad[] {
		const before = byReplica(this.#base.loads);
		const after = byReplica(loads);
		[...loads.filter(load => !isSame(load, before.get(load.replica))), ...this.#base.loads.filter(({replica}) => !after.has(replica))].forEach(({replica}) => {
			this.#changedReplicas.add(replica);
		});
		return [...this.#changedReplicas].map(replica => after.get(replica) ?? {replica, online: 0, batch: 0});
	}
}

/**
@param known - The last state of the peer, complete or with changes.
@returns The state after the changes, with the sections of their message only.
*/
export const withChanges = (known: PeerState, changes: StateChanges): PeerState => {
	const {
		member, address, rpcAddress, failureDomain, keepsOrigins, readsChanges, startedAt,
	} = known;
	const changed = byReplica(changes.loads);
	return {
		...changes,
		member,
		address,
		rpcAddress,
		failureDomain,
		keepsOrigins,
		readsChanges,
		startedAt,
		isLeaving: changes.isLeaving ?? known.isLeaving,
		reachesObjectApi: changes.reachesObjectApi ?? known.reachesObjectApi,
		loads: [...known.loads.filter(({replica}) => !changed.has(replica)), ...changes.loads.filter(({online, batch}) => online > 0 || batch > 0)],
		jobs: changes.jobs ?? known.jobs,
		waiting: changes.waiting ?? known.waiting,
	};
};
