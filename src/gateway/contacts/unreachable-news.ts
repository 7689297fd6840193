/**
News of replicas that cannot be reached. Each process finds that out from its own calls, and some of these wait in vain; told of it by the first one that finds it out, the others check for themselves before they send more. A peer may be cut off from a replica that others reach, so its news alone excludes none.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {PeerSections} from '../peers/peer-state.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {Replica} from '../replica.js';
import type {ReplicaId} from '../types.js';
import type {ReplicaReachability} from './replica-reachability.js';

/** A replica that a process could not reach. */
export type SharedUnreachable = {
	readonly replica: ReplicaId;
	/** The start that could not be reached, as `ReplicaRecord.startedAt`. */
	readonly startedAt?: number;
};

/** A finding is repeated in each message for this long, in milliseconds, since single messages are lost. */
const announcedForMs = 300;

/** Dependencies of the news. */
export type UnreachableNewsParts = {
	readonly reachability: Pick<ReplicaReachability, 'onUnreachable' | 'checkNow'>;
	readonly directory: Pick<ReplicaDirectory, 'get'>;
	readonly clock: Pick<Clock, 'now'>;
	/** Sends the sections soon. */
	readonly announce: () => void;
};

/** See the module's head. */
export class UnreachableNews implements Disposable {
	readonly #parts: UnreachableNewsParts;
	readonly #foundAt = new Map<Replica, number>();
	#isDisposed = false;

	constructor(parts: UnreachableNewsParts) {
		this.#parts = parts;
		parts.reachability.onUnreachable(replica => {
			this.#foundAt.set(replica, parts.clock.now());
			parts.announce();
		});
	}

	/** What is to be announced now. */
	section(): PeerSections {
		const now = this.#parts.clock.now();
		[...this.#foundAt].filter(([, at]) => now - at > announcedForMs).forEach(([replica]) => {
			this.#foundAt.delete(replica);
		});
		const unreachable = [...this.#foundAt.keys()].map(({record: {id, startedAt}}) => ({replica: id, startedAt}));
		return unreachable.length === 0 ? {} : {unreachable};
	}

	/** Checks the replicas that a peer could not reach. */
	receive({unreachable = []}: PeerSections): void {
		unreachable.forEach(({replica: id, startedAt}) => {
			const replica = this.#parts.directory.get(id);
			if (replica?.record.startedAt === startedAt && !this.#isDisposed) {
				this.#parts.reachability.checkNow(replica!);
			}
		});
	}

	dispose(): void {
		this.#isDisposed = true;
	}
}
