/**
One process's estimate of an account's token bucket over all processes: refilled at the account's rate, drained by local calls at once and by the peers' calls when they are announced. Calls that peers admitted in the meantime may make it negative; nothing is admitted until it is refilled, so the limit holds over time whatever the delay.

Near the limit all processes would spend the same token. There, each spends only its share of the refill, in proportion to its share of the demand. See docs/design/rate-limits.md.
*/
import type {MemberName, RateLimit} from '../types.js';
import type {AccountUsage} from './account-usage.js';
import {RateMeter} from './rate-meter.js';

/** Usual maximum age of the peers' announcements, in seconds. */
const announcementLagS = 0.2;

/** Near the limit, the rest of the burst is spent over about this long, in seconds. */
const burstSpreadS = 0.5;

/** A process may save up the refill of its share over this long, in seconds, and at least one call. */
const maxSavedS = 0.25;

/** An unresponsive peer is assumed to continue admitting calls at its last rate for this long, in milliseconds: it may be partitioned and alive. */
const unresponsivePeerMs = 30_000;

/** The part of the tolerance by which the estimate may be overdrawn: a process that has just started assumes an empty bucket. The rest covers late announcements. */
const overdraftShare = 0.8;

/** Bounds of Retry-After, in milliseconds. */
const minWaitMs = 50;
const maxWaitMs = 10_000;

/** The last announcement of one peer. */
type PeerUse = {
	admitted: number;
	asked: number;
	announcedAt: number;
	readonly rate: RateMeter;
};

/** State of the peers on which the bucket's decisions depend. */
export type Membership = {
	/** Registered processes that were never seen, as a share of all. */
	readonly unknownShare: number;
	/** The share of an account's rate that a partitioned process may use. */
	readonly leastShare: number;
	/** Whether a peer is live. */
	isLivePeer(peer: MemberName): boolean;
};

/** The decision on a call. */
export type Admission = {readonly isAdmitted: true} | {readonly isAdmitted: false; readonly retryAfterMs: number};

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class SharedBucket {
	#limit: RateLimit;
	readonly #tolerance: number;
	readonly #peers = new Map<MemberName, PeerUse>();
	readonly #ownDemand = new RateMeter();
	readonly #peerDemand = new RateMeter();
	#level: number;
	#credit = 1;
	#filledAt: number;
	#nextFreeAt = 0;
	#admitted = 0;
	#asked = 0;
	#changedAt: number;
	#ownChangedAt: number;

	/**
	@param tolerance - Calls beyond the limit that operators tolerate in a window.
	@param idleMs - For how long the account has certainly been idle.
	*/
	constructor(limit: RateLimit, {tolerance, idleMs, now}: {tolerance: number; idleMs: number; now: number}) {
		this.#limit = limit;
		this.#tolerance = tolerance;
		this.#level = Math.min(limit.burst, limit.perSecond * idleMs / 1000);
		this.#filledAt = now;
		this.#changedAt = now;
		this.#ownChangedAt = now;
	}

	/** When the account last had a call, here or at a peer. */
	get changedAt(): number {
		return this.#changedAt;
	}

	/** When {@link usage} last changed. */
	get ownChangedAt(): number {
		return this.#ownChangedAt;
	}

	/** Estimate of the calls that may still be admitted at once; negative while too many have been. */
	get level(): number {
		return this.#level;
	}

	get usage(): Omit<AccountUsage, 'account'> {
		return {admitted: this.#admitted, asked: this.#asked};
	}

	/** Admits a call, or rejects it with the time at which there may be room for it. */
	admit(limit: RateLimit, membership: Membership, now: number): Admission {
		this.#limit = limit;
		this.#asked += 1;
		this.#changedAt = now;
		this.#ownChangedAt = now;
		this.#ownDemand.note(1, now);
		const refill = this.#fill(membership, now);
		const sharePerSecond = this.#sharePerSecond(refill, now);
		if (this.#isScarce(now) && !this.#takeCredit()) {
			return {isAdmitted: false, retryAfterMs: this.#waitMs(sharePerSecond, now)};
		}

		this.#admitted += 1;
		this.#level -= 1;
		return {isAdmitted: true};
	}

	/** Returns the token of an admitted call that was rejected later without having run. */
	refund(now: number): void {
		this.#admitted -= 1;
		this.#ownChangedAt = now;
		this.#level = Math.min(this.#limit.burst, this.#level + 1);
	}

	/**
	Applies an announcement of a peer.

	@param isNewPeer - Whether the peer has started within the time that counts, so that all it has admitted does.
	*/
	receiveUsage(peer: MemberName, {admitted, asked}: Omit<AccountUsage, 'account'>, {isNewPeer, now}: {isNewPeer: boolean; now: number}): void {
		const previous = this.#peers.get(peer) ?? {
			admitted: isNewPeer ? 0 : admitted, asked: isNewPeer ? 0 : asked, announcedAt: now, rate: new RateMeter(),
		};
		this.#peers.set(peer, previous);
		// Fewer calls than before: the peer has restarted, or has removed an account that was idle.
		const hasRestarted = asked < previous.asked;
		const newlyAdmitted = hasRestarted ? admitted : admitted - previous.admitted;
		const newlyAsked = hasRestarted ? asked : asked - previous.asked;
		previous.admitted = admitted;
		previous.asked = asked;
		previous.announcedAt = now;
		if (newlyAdmitted === 0 && newlyAsked === 0) {
			return;
		}

		previous.rate.note(newlyAdmitted, now);
		this.#peerDemand.note(newlyAsked, now);
		this.#level -= newlyAdmitted;
		this.#changedAt = now;
	}

	/** @returns The refill rate for this process and its live peers, in calls a second. */
	#fill(membership: Membership, now: number): number {
		const {perSecond, burst} = this.#limit;
		const refill = Math.max(perSecond * membership.leastShare, (perSecond * (1 - membership.unknownShare)) - this.#unresponsivePeersPerSecond(membership, now));
		const seconds = (now - this.#filledAt) / 1000;
		this.#filledAt = now;
		this.#level = Math.min(burst, this.#level + (refill * seconds));
		const ownShare = this.#sharePerSecond(refill, now);
		this.#credit = Math.min(Math.max(1, ownShare * maxSavedS), this.#credit + (ownShare * seconds));
		return refill;
	}

	#unresponsivePeersPerSecond(membership: Membership, now: number): number {
		return [...this.#peers]
			.filter(([peer, {announcedAt}]) => !membership.isLivePeer(peer) && now - announcedAt < unresponsivePeerMs)
			.reduce((sum, [, {rate, announcedAt}]) => sum + rate.perSecond(announcedAt), 0);
	}

	/** This process's share of the refill near the limit, in calls a second. */
	#sharePerSecond(refill: number, now: number): number {
		const own = this.#ownDemand.perSecond(now);
		const all = own + this.#peerDemand.perSecond(now);
		const available = refill + (Math.max(0, this.#level) / burstSpreadS);
		return all === 0 ? available : available * own / all;
	}

	#isScarce(now: number): boolean {
		const demand = this.#ownDemand.perSecond(now) + this.#peerDemand.perSecond(now);
		const unannounced = Math.min(demand * announcementLagS, this.#limit.burst / 2);
		return this.#level < Math.max(1, unannounced) - (this.#tolerance * overdraftShare);
	}

	#takeCredit(): boolean {
		if (this.#credit < 1 || this.#level < -this.#tolerance) {
			return false;
		}

		this.#credit -= 1;
		return true;
	}

	/** Spreads rejected callers over the times at which calls will be admitted. */
	#waitMs(sharePerSecond: number, now: number): number {
		const gapMs = sharePerSecond > 0 ? 1000 / sharePerSecond : maxWaitMs;
		this.#nextFreeAt = Math.max(now, this.#nextFreeAt) + gapMs;
		const waitMs = Math.min(maxWaitMs, Math.max(minWaitMs, this.#nextFreeAt - now));
		this.#nextFreeAt = now + waitMs;
		return waitMs;
	}
}
