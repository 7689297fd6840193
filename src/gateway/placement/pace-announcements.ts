/**
Exchanges the paces of replicas between the processes of the gateway: announces what this process's streams show and its peers cannot know yet, and applies what peers announce. An announcement for another start of a replica is ignored.
*/
import type {Clock} from '../../common/services.js';
import type {PeerSections, PeerState} from '../peers/peer-state.js';
import type {ReplicaDirectory} from '../replica-directory.js';

/** Interval between announcements, in milliseconds: slow spells of replicas last about twice as long. */
const intervalMs = 250;

/** Maximum number of replicas in one announcement, about 1 KB; the others follow with the next. */
const maxFigures = 12;

/** Dependencies of the exchange. */
export type PaceAnnouncementsParts = {
	readonly directory: Pick<ReplicaDirectory, 'all' | 'getStart'>;
	readonly clock: Pick<Clock, 'now'>;
};

/** See the module's head. */
export class PaceAnnouncements {
	readonly #parts: PaceAnnouncementsParts;
	#announcedAt = -Infinity;

	constructor(parts: PaceAnnouncementsParts) {
		this.#parts = parts;
	}

	/** What is to be announced now, the greatest changes first; empty between two announcements. */
	section(): PeerSections {
		const {directory, clock} = this.#parts;
		const now = clock.now();
		if (now - this.#announcedAt < intervalMs) {
			return {};
		}

		this.#announcedAt = now;
		const due = [...directory.all]
			.map(replica => ({replica, unannounced: replica.pace.unannounced(now)}))
			.filter(({unannounced}) => unannounced > 0)
			.toSorted((a, b) => a.unannounced === b.unannounced ? 0 : b.unannounced - a.unannounced)
			.slice(0, maxFigures);
		const paces = due.map(({replica: {record, pace}}) => ({replica: record.id, startedAt: record.startedAt, ...pace.announce(now)}));
		return paces.length === 0 ? {} : {paces};
	}

	/** Applies what a peer has announced. */
	receive({paces = []}: Pick<PeerState, 'paces'>): void {
		const now = this.#parts.clock.now();
		paces.forEach(({replica: id, startedAt, ...figure}) => {
			this.#parts.directory.getStart(id, startedAt)?.pace.receive(figure, now);
		});
	}
}
