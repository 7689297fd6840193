/**
The news of replicas' paces between the processes of the gateway: what this process's streams show and its peers cannot know yet, and what peers have told. An announcement for another start of a replica is ignored.
*/
import type {Clock} from '../../common/services.js';
import type {PeerSections, PeerState} from '../peers/peer-state.js';
import type {ReplicaDirectory} from '../replica-directory.js';

/** Interval between announcements, in milliseconds: slow spells of replicas last about twice as long. */
const intervalMs = 250;

/** Maximum number of replicas in one announcement, about 1 KB; the others follow with the next. */
const maxFigures = 12;

/** Dependencies of the news. */
export type PaceNewsParts = {
	readonly directory: Pick<ReplicaDirectory, 'all' | 'get'>;
	readonly clock: Pick<Clock, 'now'>;
};

/** See the module's head. */
export class PaceNews {
	readonly #parts: PaceNewsParts;
	#announcedAt = -Infinity;

	constructor(parts: PaceNewsParts) {
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
			.map(replica => ({replica, untold: replica.pace.untold(now)}))
			.filter(({untold}) => untold > 0)
			.toSorted((a, b) => a.untold === b.untold ? 0 : b.untold - a.untold)
			.slice(0, maxFigures);
		const paces = due.map(({replica: {record, pace}}) => ({replica: record.id, startedAt: record.startedAt, ...pace.tell(now)}));
		return paces.length === 0 ? {} : {paces};
	}

	/** Applies what a peer has announced. */
	receive({paces = []}: Pick<PeerState, 'paces'>): void {
		const now = this.#parts.clock.now();
		paces.forEach(({replica: id, startedAt, ...figure}) => {
			const replica = this.#parts.directory.get(id);
			if (replica?.record.startedAt === startedAt) {
				replica?.pace.receive(figure, now);
			}
		});
	}
}
