/**
Decides which process runs which job. Every process computes the same ranking of processes for a job, and the first one claims it; a process announces its claims to its peers and keeps them until it shuts down or becomes unresponsive. If messages are lost, two processes may claim the same job for a moment: their results agree all the same, since a page of results is created only once, and the one that ranks lower releases the job as soon as it receives the other's claim.
*/
import type {Clock, EventLog} from '../../common/services.js';
import {rankMembers} from '../../common/rendezvous.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerState} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {BatchJobId, MemberName} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';

/** Dependencies of the claims. */
export type ClaimsParts = {
	readonly self: MemberName;
	readonly jobIndex: JobIndex;
	readonly peers: PeerTable;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly isLeaving: () => boolean;
	/** When this process first loaded the addresses of its peers, in milliseconds on the monotonic clock; `undefined` before. */
	readonly membersFirstLoadedAt: () => number | undefined;
};

/** A process that has the addresses of its peers receives their claims within this time, in milliseconds, which is that of two of their messages. Before it has the addresses, it can have received none: the object API may answer late at its start. */
const listenBeforeClaimMs = 600;

/** A job that the first process of the ranking has not claimed after this long, in milliseconds, is open to the next one: the first may be cut off from the object API and lack the job. */
const turnMs = 600;

/** Claims are reviewed several times a second; a longer gap than this between two reviews, in milliseconds, means that this process was paused, and its peers seem to be unresponsive. */
const maxReviewGapMs = 1200;

/** See the module's head. */
export class JobClaims {
	readonly #parts: ClaimsParts;
	readonly #claimed = new Set<BatchJobId>();
	readonly #unclaimedSince = new Map<BatchJobId, number>();
	#reviewedAt: number | undefined;
	/** When this process last resumed after a pause. Claims that its peers announced meanwhile may still be unread. */
	#resumedAt = -Infinity;

	constructor(parts: ClaimsParts) {
		this.#parts = parts;
	}

	/** Jobs that this process runs. */
	get claimed(): readonly BatchJobId[] {
		return [...this.#claimed];
	}

	has(job: BatchJobId): boolean {
		return this.#claimed.has(job);
	}

	/** Reviews all claims. To be called when jobs or peers have changed, and periodically. */
	review(): void {
		const {jobIndex, isLeaving} = this.#parts;
		this.#detectPause();
		const open = jobIndex.openJobs;
		const openIds = new Set(open.map(({id}) => id));
		[...this.#claimed].filter(id => !openIds.has(id)).forEach(id => {
			this.#claimed.delete(id);
		});
		[...this.#unclaimedSince.keys()].filter(id => !openIds.has(id)).forEach(id => {
			this.#unclaimedSince.delete(id);
		});
		if (isLeaving()) {
			return;
		}

		open.forEach(job => {
			this.#reviewJob(job);
		});
	}

	/** Claims a job that its former holder has handed over. */
	accept(id: BatchJobId): void {
		if (this.#parts.jobIndex.job(id)?.isOpen && !this.#claimed.has(id)) {
			this.#setClaim(id, true);
		}
	}

	/** Releases the claim on a job. */
	release(id: BatchJobId): void {
		if (this.#claimed.has(id)) {
			this.#setClaim(id, false);
		}
	}

	/** Other processes do not have a held job yet, so it is claimed regardless of the ranking. */
	#reviewJob({id, isHeld}: BatchJob) {
		const holders = this.#otherHolders(id);
		if (this.#claimed.has(id)) {
			const staying = holders.filter(({isLeaving}) => !isLeaving).map(({member}) => member);
			if (staying.length > 0 && rankMembers(id, [this.#parts.self, ...staying])[0] !== this.#parts.self) {
				this.#setClaim(id, false);
			}

			return;
		}

		// A holder that is leaving also keeps its jobs until it has handed them over. A process that claimed them earlier would start each text from the beginning.
		if (holders.length > 0) {
			this.#unclaimedSince.delete(id);
			return;
		}

		if (isHeld || this.#isOwnTurn(id)) {
			this.#setClaim(id, true);
		}
	}

	#detectPause() {
		const now = this.#parts.clock.now();
		if (now - (this.#reviewedAt ?? now) > maxReviewGapMs) {
			this.#resumedAt = now;
		}

		this.#reviewedAt = now;
	}

	#otherHolders(id: BatchJobId): PeerState[] {
		return this.#parts.peers.live.filter(({jobs}) => jobs.has(id)).map(({state}) => state);
	}

	#isOwnTurn(id: BatchJobId): boolean {
		const {self, peers, clock, membersFirstLoadedAt} = this.#parts;
		const now = clock.now();
		if (now - Math.max(membersFirstLoadedAt() ?? now, this.#resumedAt) < listenBeforeClaimMs) {
			return false;
		}

		const since = Math.max(this.#unclaimedSince.get(id) ?? now, this.#resumedAt);
		this.#unclaimedSince.set(id, since);
		const members = peers.live.filter(({state}) => !state.isLeaving).map(({state}) => state.member);
		const turns = 1 + Math.floor((now - since) / turnMs);
		return rankMembers(id, [self, ...members]).slice(0, turns).includes(self);
	}

	#setClaim(id: BatchJobId, isClaimed: boolean) {
		if (isClaimed) {
			this.#claimed.add(id);
		} else {
			this.#claimed.delete(id);
		}

		this.#unclaimedSince.delete(id);
		this.#parts.log.emit(gatewayEvents.jobClaimChanged, {job: id, claimed: isClaimed});
	}
}
