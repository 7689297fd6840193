/**
Tells the peers of this process what it has in flight: soon after each change, and at least several times a second.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {DatagramChannel} from '../../io/datagram-channel.js';
import type {AccountUsage} from '../accounts/account-usage.js';
import type {RateLimits} from '../accounts/rate-limits.js';
import type {FailedRun, FailedRuns} from '../batch/failed-runs.js';
import type {OutcomeCounts} from '../contacts/recent-outcomes.js';
import type {LoadBoard} from '../load-board.js';
import type {CrashAnnouncement, Quarantine} from '../quarantine/quarantine.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {BatchJobId, MemberName} from '../types.js';
import {
	peerStateMethod, type PeerState, type SharedLoad, type SharedOutcomes, type SharedWaiting,
} from './peer-state.js';
import type {PeerTable} from './peer-table.js';
import type {FeedCheck} from './shared-checks.js';

/** Changes are gathered for this long at least, in milliseconds: short against the near second that an online call holds its place, and 25 messages a second at most to each peer. */
const leastGatherMs = 40;

/** And for this long for each peer, so that the messages of one process stay at 500 a second however many peers it has. Later news sends the calls of a wave to replicas that are full by then. */
const gatherMsForEachPeer = 2;

/** An online call that finds no free place at a replica with items is told this soon, in milliseconds, so that whoever runs the items cuts one off. */
const urgentMs = 5;

/**
@param peers - How many peers are heard.
@returns Milliseconds until a change has been told.
*/
export const announcementDelayMs = (peers: number): number => Math.max(leastGatherMs, gatherMsForEachPeer * peers);

/** Without a change, milliseconds between messages. */
const heartbeatMs = 250;

/** News of crashes is told at once, and again this often, in milliseconds: a request that ends replicas is back at another process within a tenth of a second, and single messages are lost. */
const crashesEveryMs = 250;

/** Failed runs of items are told soon, and again this often, in milliseconds; an item's next run follows 200 ms after the one that failed. */
const failedRunsEveryMs = 250;

/** Calls of limited accounts are told this often, in milliseconds: near a limit, what has not been told yet is admitted twice. */
const accountUsageEveryMs = 100;

/** Outcomes are told this often, in milliseconds, and only where any request failed: they fade over seconds, and in each message they would double its size while half of the replicas fail now and then. */
const outcomesEveryMs = 250;

/** To hundredths, which decide nothing, so that a message stays short. */
const rounded = ({requests, failures}: OutcomeCounts): OutcomeCounts => ({requests: Math.round(100 * requests) / 100, failures: Math.round(100 * failures) / 100});

/** What the announcer reads. */
export type AnnouncerParts = {
	readonly self: MemberName;
	readonly channel: DatagramChannel;
	readonly peers: PeerTable;
	readonly directory: ReplicaDirectory;
	readonly loads: LoadBoard;
	readonly quarantine: Quarantine;
	readonly failedRuns: FailedRuns;
	readonly rateLimits: RateLimits;
	readonly checks: () => readonly FeedCheck[] | undefined;
	readonly clock: Clock;
	/** Addresses of members that were registered, heard or not. */
	readonly memberAddresses: () => readonly string[];
	readonly claimedJobs: () => readonly BatchJobId[];
	readonly waitingItems: () => readonly SharedWaiting[];
	readonly isLeaving: () => boolean;
	/** `ip:port` where this process takes its peers' calls. */
	readonly rpcAddress: () => string;
	readonly reachesObjectApi: () => boolean;
};

/** See the module's head. */
export class PeerAnnouncer implements Disposable {
	readonly #parts: AnnouncerParts;
	readonly #startedAt: number;
	#seq = 0;
	#pendingAt = 0;
	#outcomesToldAt = -Infinity;
	#crashesToldAt = -Infinity;
	#failedRunsToldAt = -Infinity;
	#accountUsageToldAt = -Infinity;
	#pending: NodeJS.Timeout | undefined;
	#heartbeat: NodeJS.Timeout | undefined;
	#isDisposed = false;

	constructor(parts: AnnouncerParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.wall();
		parts.loads.onLocalChange(({total, allBatch, batch, record}) => {
			const peersMustCut = total > record.slots && allBatch > batch;
			this.#announceWithin(peersMustCut ? urgentMs : announcementDelayMs(parts.peers.live.length));
		});
		parts.quarantine.onAnnouncementDue(() => {
			this.#crashesToldAt = -Infinity;
			this.#announceWithin(urgentMs);
		});
		parts.failedRuns.onAnnouncementDue(() => {
			this.#failedRunsToldAt = -Infinity;
			this.#announceWithin(announcementDelayMs(parts.peers.live.length));
		});
		parts.peers.onMembership(() => {
			parts.quarantine.reannounce();
			// A peer that has just come must hear soon which jobs are run here.
			this.#announceWithin(announcementDelayMs(parts.peers.live.length));
		});
	}

	/** Begins to send. */
	start(): void {
		this.#heartbeat = setInterval(() => {
			this.#send();
		}, heartbeatMs);
		this.#send();
	}

	/** Sends within the gathering time. */
	announceSoon(): void {
		this.#announceWithin(leastGatherMs);
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#pending);
		clearInterval(this.#heartbeat);
	}

	#announceWithin(ms: number) {
		// Whether a replica has ended may be found out after the channel was closed.
		if (this.#isDisposed) {
			return;
		}

		const dueAt = this.#parts.clock.now() + ms;
		if (this.#pending && this.#pendingAt <= dueAt) {
			return;
		}

		clearTimeout(this.#pending);
		this.#pendingAt = dueAt;
		this.#pending = setTimeout(() => {
			this.#send();
		}, ms);
	}

	#send() {
		clearTimeout(this.#pending);
		this.#pending = undefined;
		this.#heartbeat?.refresh();
		const {channel, peers, memberAddresses} = this.#parts;
		// Under load every message comes from a change and the heartbeat never falls due, so silence is looked for with each message: a peer that died would otherwise keep its jobs until the load ends.
		peers.removeUnresponsive();
		const addresses = new Set([...memberAddresses(), ...peers.live.map(({state}) => state.address)]);
		addresses.delete(channel.address);
		channel.send([...addresses], peerStateMethod, this.#state());
	}

	#state(): PeerState {
		const {
			self, channel, claimedJobs, waitingItems, isLeaving, rpcAddress, reachesObjectApi, checks,
		} = this.#parts;
		this.#seq += 1;
		return {
			member: self, address: channel.address, rpcAddress: rpcAddress(), reachesObjectApi: reachesObjectApi(), startedAt: this.#startedAt, seq: this.#seq, isLeaving: isLeaving(), loads: this.#loads(), outcomes: this.#outcomesDue(), ...this.#crashesDue(), failedRuns: this.#failedRunsDue(), accountUsage: this.#accountUsageDue(), checks: checks(), jobs: claimedJobs(), waiting: waitingItems(),
		};
	}

	#crashesDue(): Partial<CrashAnnouncement> {
		const {quarantine, clock} = this.#parts;
		if (!quarantine.hasSuspects || clock.now() - this.#crashesToldAt < crashesEveryMs) {
			return {};
		}

		this.#crashesToldAt = clock.now();
		return quarantine.announcement();
	}

	#failedRunsDue(): readonly FailedRun[] | undefined {
		const {failedRuns, clock} = this.#parts;
		if (clock.now() - this.#failedRunsToldAt < failedRunsEveryMs) {
			return undefined;
		}

		this.#failedRunsToldAt = clock.now();
		return failedRuns.announcement();
	}

	#accountUsageDue(): readonly AccountUsage[] | undefined {
		const {rateLimits, clock} = this.#parts;
		if (clock.now() - this.#accountUsageToldAt < accountUsageEveryMs) {
			return undefined;
		}

		this.#accountUsageToldAt = clock.now();
		const news = rateLimits.announcement();
		return news.length === 0 ? undefined : news;
	}

	#outcomesDue(): SharedOutcomes[] | undefined {
		const now = this.#parts.clock.now();
		if (now - this.#outcomesToldAt < outcomesEveryMs) {
			return undefined;
		}

		this.#outcomesToldAt = now;
		return [...this.#parts.directory.all]
			.filter(({outcomes}) => outcomes.failureShare(now) > 0)
			.map(({record, outcomes}) => ({replica: record.id, startedAt: record.startedAt, ...rounded(outcomes.ownCounts(now))}));
	}

	#loads(): SharedLoad[] {
		return [...this.#parts.directory.all]
			.filter(({online, batch}) => online > 0 || batch > 0)
			.map(({record, online, batch}) => ({
				replica: record.id, startedAt: record.startedAt, online, batch,
			}));
	}
}
