/**
Which process runs which job. Every process ranks all processes for a job alike, and the first takes it; who has taken a job says so to its peers and keeps it until it shuts down or falls silent. Two may take the same job for a moment, when messages between them are lost: their results agree all the same, since a page of results is created only once, and the one that ranks lower gives the job up as soon as it hears of the other.
*/
import type {Clock, EventLog} from '../../common/services.js';
import {rankMembers} from '../../common/rendezvous.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerState} from '../peers/peer-state.js';
import type {PeerTable} from '../peers/peer-table.js';
import type {BatchJobId, MemberName} from '../types.js';
import type {JobIndex} from './job-index.js';
import type {BatchJob} from './batch-job.js';

/** What claims are decided from. */
export type ClaimsParts = {
	readonly self: MemberName;
	readonly jobIndex: JobIndex;
	readonly peers: PeerTable;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly isLeaving: () => boolean;
	/** When this process first knew where its peers are, in milliseconds on the monotonic clock; `undefined` before. */
	readonly membersFirstLoadedAt: () => number | undefined;
};

/** A process that knows where its peers are hears within this time, in milliseconds, which jobs they run; two of their messages. Before, nobody can have told it: the object API may answer late at its start. */
const listenFirstMs = 600;

/** A job that the first of the ranking has not taken after this long, in milliseconds, is open to the next: the first may be cut off from the object API and not know of it. */
const turnMs = 600;

/** Claims are reviewed several times a second; after a longer time than this between two reviews, in milliseconds, this process was paused, and its peers seem to have gone silent. */
const standstillMs = 1200;

/** See the module's head. */
export class JobClaims {
	readonly #parts: ClaimsParts;
	readonly #claimed = new Set<BatchJobId>();
	readonly #unclaimedSince = new Map<BatchJobId, number>();
	#reviewedAt: number | undefined;
	/** When this process last went on after a pause. What its peers have claimed meanwhile may still be unread. */
	#wokeAt = -Infinity;

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

	/** Decides anew. Call it when jobs or peers have changed, and every now and then. */
	review(): void {
		const {jobIndex: book, isLeaving} = this.#parts;
		this.#noteStandstill();
		const open = book.openJobs;
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

	/** Takes a job that its former holder has handed over. */
	accept(id: BatchJobId): void {
		if (this.#parts.jobIndex.job(id)?.isOpen && !this.#claimed.has(id)) {
			this.#set(id, true);
		}
	}

	/** Gives a job away. */
	release(id: BatchJobId): void {
		if (this.#claimed.has(id)) {
			this.#set(id, false);
		}
	}

	/** Of a held job no other process knows. */
	#reviewJob({id, isHeld}: BatchJob) {
		const holders = this.#holdersElsewhere(id);
		if (this.#claimed.has(id)) {
			const staying = holders.filter(({isLeaving}) => !isLeaving).map(({member}) => member);
			if (staying.length > 0 && rankMembers(id, [this.#parts.self, ...staying])[0] !== this.#parts.self) {
				this.#set(id, false);
			}

			return;
		}

		// Also a holder that is leaving keeps its jobs until it has handed them over. Whoever took them before would begin each text anew.
		if (holders.length > 0) {
			this.#unclaimedSince.delete(id);
			return;
		}

		if (isHeld || this.#isOwnTurn(id)) {
			this.#set(id, true);
		}
	}

	#noteStandstill() {
		const now = this.#parts.clock.now();
		if (now - (this.#reviewedAt ?? now) > standstillMs) {
			this.#wokeAt = now;
		}

		this.#reviewedAt = now;
	}

	#holdersElsewhere(id: BatchJobId): PeerState[] {
		return this.#parts.peers.live.filter(({jobs}) => jobs.has(id)).map(({state}) => state);
	}

	#isOwnTurn(id: BatchJobId): boolean {
		const {self, peers, clock, membersFirstLoadedAt: membersKnownAt} = this.#parts;
		const now = clock.now();
		if (now - Math.max(membersKnownAt() ?? now, this.#wokeAt) < listenFirstMs) {
			return false;
		}

		const since = Math.max(this.#unclaimedSince.get(id) ?? now, this.#wokeAt);
		this.#unclaimedSince.set(id, since);
		const members = peers.live.filter(({state}) => !state.isLeaving).map(({state}) => state.member);
		const turns = 1 + Math.floor((now - since) / turnMs);
		return rankMembers(id, [self, ...members]).slice(0, turns).includes(self);
	}

	#set(id: BatchJobId, isClaimed: boolean) {
		if (isClaimed) {
			this.#claimed.add(id);
		} else {
			this.#claimed.delete(id);
		}

		this.#unclaimedSince.delete(id);
		this.#parts.log.emit(gatewayEvents.jobClaimChanged, {job: id, claimed: isClaimed});
	}
}
