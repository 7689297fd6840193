/**
Enforces the client accounts' rate limits over all processes of the gateway. Each process decides locally, from its own calls and from the usage that its peers announce.
*/
import type {Clock, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {PeerState} from '../peers/peer-state.js';
import type {
	ClientAccount, ClientAccountName, MemberName, RateLimit,
} from '../types.js';
import type {AccountUsage} from './account-usage.js';
import {SharedBucket, type Membership} from './shared-bucket.js';

/** Usage is repeated in each announcement for this long after a change, in milliseconds: single messages are lost. */
const repeatedForMs = 800;

/** Calls that a peer admitted up to this long before this process started may still count, in milliseconds. */
const countedBeforeMs = 5000;

/** The bucket of an account without calls for this long, in milliseconds, is removed; it is full by then. */
const retainIdleMs = 60_000;

/** Interval at which an account over its limit is logged, in milliseconds, in addition to each rejected call. */
const reportIntervalMs = 1000;

/** Registered processes that were never seen are assumed to use their share for this long after the start, in milliseconds; the records of removed VMs stay longer. */
const unknownShareForMs = 30_000;

/** Dependencies of the limits. */
export type RateLimitsParts = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Calls of an account beyond its limit that operators tolerate in a window. */
	readonly tolerance: number;
	/** How many processes are registered, this one included. */
	readonly registeredCount: () => number;
	/** Live peers. */
	readonly livePeers: () => ReadonlySet<MemberName>;
};

/** The token that an admitted call has used. */
export type RateCredit = {
	/** Returns the token of a call that was rejected later without having run. */
	refund(): void;
};

/** A call is admitted, or may be retried later. */
export type LimitDecision = {readonly credit: RateCredit} | {readonly retryAfterMs: number};

type Refusals = {count: number; reportedAt: number};

const unlimited: LimitDecision = {credit: {refund: () => undefined}};

const isLimited = (limit: RateLimit | undefined): limit is RateLimit => limit !== undefined && limit.perSecond > 0;

/** See the module's head. */
export class RateLimits {
	readonly #parts: RateLimitsParts;
	readonly #startedAt: number;
	readonly #startedAtWall: number;
	readonly #buckets = new Map<ClientAccountName, SharedBucket>();
	readonly #refusals = new Map<ClientAccountName, Refusals>();

	constructor(parts: RateLimitsParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.now();
		this.#startedAtWall = parts.clock.wall();
	}

	/** Decides on a call of the account. */
	admit({name, rateLimit}: ClientAccount): LimitDecision {
		if (!isLimited(rateLimit)) {
			return unlimited;
		}

		const now = this.#parts.clock.now();
		const bucket = this.#bucketOf(name, rateLimit, now);
		const admission = bucket.admit(rateLimit, this.#membership(now), now);
		if (!admission.isAdmitted) {
			this.#report(name, bucket, rateLimit, now);
			return admission;
		}

		return {
			credit: {
				refund: () => {
					bucket.refund(this.#parts.clock.now());
				},
			},
		};
	}

	/** Usage to announce to the peers now. */
	announcement(): readonly AccountUsage[] {
		const now = this.#parts.clock.now();
		this.#removeIdle(now);
		return [...this.#buckets]
			.filter(([, {ownChangedAt}]) => now - ownChangedAt < repeatedForMs)
			.map(([account, {usage}]) => ({account, ...usage}));
	}

	/** Applies the usage that a peer announced. Accounts without calls here are tracked too: their next call may come here. */
	receiveUsage({member, startedAt, accountUsage = []}: Pick<PeerState, 'member' | 'startedAt' | 'accountUsage'>, limitOf: (account: ClientAccountName) => RateLimit | undefined): void {
		const now = this.#parts.clock.now();
		const isNewPeer = startedAt > this.#startedAtWall - countedBeforeMs;
		accountUsage.forEach(({account, admitted, asked}) => {
			const limit = limitOf(account);
			if (isLimited(limit)) {
				this.#bucketOf(account, limit, now).receiveUsage(member, {admitted, asked}, {isNewPeer, now});
			}
		});
	}

	#bucketOf(account: ClientAccountName, limit: RateLimit, now: number): SharedBucket {
		const existing = this.#buckets.get(account);
		if (existing) {
			return existing;
		}

		const bucket = new SharedBucket(limit, {tolerance: this.#parts.tolerance, idleMs: now - this.#startedAt, now});
		this.#buckets.set(account, bucket);
		return bucket;
	}

	#membership(now: number): Membership {
		const live = this.#parts.livePeers();
		const registered = Math.max(this.#parts.registeredCount(), live.size + 1);
		const hasJustStarted = now - this.#startedAt < unknownShareForMs;
		return {
			isLivePeer: peer => live.has(peer),
			unknownShare: hasJustStarted ? (registered - 1 - live.size) / registered : 0,
			leastShare: 1 / registered,
		};
	}

	#removeIdle(now: number) {
		[...this.#buckets].filter(([, {changedAt}]) => now - changedAt > retainIdleMs).forEach(([account]) => {
			this.#buckets.delete(account);
			this.#refusals.delete(account);
		});
	}

	#report(account: ClientAccountName, {level, usage}: SharedBucket, limit: RateLimit, now: number) {
		const refusals = this.#refusals.get(account) ?? {count: 0, reportedAt: -Infinity};
		this.#refusals.set(account, refusals);
		refusals.count += 1;
		if (now - refusals.reportedAt < reportIntervalMs) {
			return;
		}

		this.#parts.log.emit(gatewayEvents.rateLimitReached, {
			account, refused: refusals.count, level: Math.round(level), ...usage, ...limit,
		});
		refusals.count = 0;
		refusals.reportedAt = now;
	}
}
