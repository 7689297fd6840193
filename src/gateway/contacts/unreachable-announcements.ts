/**
Exchanges which replicas cannot be reached. Each process finds that out by its own calls, some of which then wait in vain; after the announcement of the first one, the others check for themselves before they send more. A peer may be cut off from a replica that others reach, so its announcement alone excludes none.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {PeerSections} from '../peers/peer-state.js';
import {RepeatedAnnouncements} from '../peers/repeated-announcements.js';
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

/** How long a finding is announced, in milliseconds: in several messages, since single ones are lost. */
const announcedForMs = 300;

/** Dependencies of the exchange. */
export type UnreachableAnnouncementsParts = {
	readonly reachability: Pick<ReplicaReachability, 'onUnreachable' | 'checkNow'>;
	readonly directory: Pick<ReplicaDirectory, 'getStart'>;
	readonly clock: Pick<Clock, 'now'>;
	/** Sends the sections soon. */
	readonly announce: () => void;
};

/** See the module's head. */
export class UnreachableAnnouncements implements Disposable {
	readonly #parts: UnreachableAnnouncementsParts;
	readonly #findings: RepeatedAnnouncements<Replica, SharedUnreachable>;
	#isDisposed = false;

	constructor(parts: UnreachableAnnouncementsParts) {
		this.#parts = parts;
		this.#findings = new RepeatedAnnouncements(parts.clock, Infinity, announcedForMs);
		parts.reachability.onUnreachable(replica => {
			const {id, startedAt} = replica.record;
			this.#findings.set(replica, {replica: id, startedAt});
			parts.announce();
		});
	}

	/** What is to be announced now. */
	section(): PeerSections {
		const unreachable = this.#findings.current();
		return unreachable.length === 0 ? {} : {unreachable};
	}

	/** Checks the replicas that a peer could not reach. */
	receive({unreachable = []}: PeerSections): void {
		if (this.#isDisposed) {
			return;
		}

		const {directory, reachability} = this.#parts;
		unreachable
			.map(({replica, startedAt}) => directory.getStart(replica, startedAt))
			.filter(replica => replica !== undefined)
			.forEach(replica => {
				reachability.checkNow(replica);
			});
	}

	dispose(): void {
		this.#isDisposed = true;
	}
}
