/**
Announces this process's state to its peers, such as its requests in flight. The complete state is sent several times a second; in between, each change soon follows in a short message. Peers of a build that doesn't read changes are sent the complete state in their place.

A change lists all counts that differ from the last complete state, with their values: whatever a lost message contained is in the next one, and at the latest in the next complete state.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {DatagramChannel} from '../../io/datagram-channel.js';
import type {AccountUsage} from '../accounts/account-usage.js';
import type {RateLimits} from '../accounts/rate-limits.js';
import type {FailedRun, FailedRuns} from '../batch/failed-runs.js';
import type {OutcomeCounts} from '../contacts/recent-outcomes.js';
import type {LoadBoard} from '../load-board.js';
import type {PartAnnouncement, PartQuarantine} from '../quarantine/part-quarantine.js';
import type {CrashAnnouncement, Quarantine} from '../quarantine/quarantine.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {BatchJobId, MemberName} from '../types.js';
import {
	peerStateMethod, type PeerSections, type PeerState, type SharedLoad, type SharedOutcomes, type SharedWaiting,
} from './peer-state.js';
import {AnnouncedState, stateChangesMethod, type TransientSections} from './state-changes.js';
import type {PeerTable} from './peer-table.js';
import type {FeedCheck} from './shared-checks.js';

/** Minimum time, in milliseconds, for which changes are gathered before they are announced. It is short compared to the almost one second for which an online call occupies its slot, and limits a process to 25 messages a second to each peer. */
const minDelayMs = 40;

/** Gathering time for each peer, in milliseconds, which limits a process to 500 messages a second however many peers it has. With later announcements, the calls of a burst would be sent to replicas that are already full. */
const delayPerPeerMs = 2;

/** An online call that finds no free slot at a replica with items is announced within this time, in milliseconds, so that the process that runs the items preempts one. */
const urgentDelayMs = 5;

/**
@param peers - Number of live peers.
@returns Milliseconds until a change is announced.
*/
export const announcementDelayMs = (peers: number): number => Math.max(minDelayMs, delayPerPeerMs * peers);

/** Interval between announcements of the complete state, in milliseconds; with or without a change. */
export const heartbeatMs = 250;

/** Interval at which the usage of rate-limited accounts is announced, in milliseconds: near a limit, calls that have not been announced yet are admitted twice. */
const accountUsageIntervalMs = 100;

/** Rounds to hundredths to keep messages short; smaller differences affect no decision. */
const rounded = ({requests, failures}: OutcomeCounts): OutcomeCounts => ({requests: Math.round(100 * requests) / 100, failures: Math.round(100 * failures) / 100});

/** Dependencies of the announcer. */
export type AnnouncerParts = {
	readonly self: MemberName;
	readonly failureDomain?: string;
	readonly channel: Pick<DatagramChannel, 'address' | 'send'>;
	readonly peers: PeerTable;
	readonly directory: ReplicaDirectory;
	readonly loads: LoadBoard;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly failedRuns: FailedRuns;
	readonly rateLimits: RateLimits;
	readonly checks: () => readonly FeedCheck[] | undefined;
	/** Each returns the sections that are due, in a new object. */
	readonly sections: ReadonlyArray<() => PeerSections>;
	readonly clock: Clock;
	/** Addresses of registered members, live or not. */
	readonly memberAddresses: () => readonly string[];
	readonly claimedJobs: () => readonly BatchJobId[];
	readonly waitingItems: () => readonly SharedWaiting[];
	readonly isLeaving: () => boolean;
	/** `ip:port` at which this process accepts its peers' calls. */
	readonly rpcAddress: () => string;
	readonly reachesObjectApi: () => boolean;
};

/** See the module's head. */
export class PeerAnnouncer implements Disposable {
	readonly #parts: AnnouncerParts;
	readonly #startedAt: number;
	#seq = 0;
	#pendingAt = 0;
	/** Crashes are announced at once and repeated with each complete state: a request that crashes replicas arrives at another process within a tenth of a second, and single messages are lost. */
	#areCrashesDue = true;
	/** Failed runs of items are announced soon and repeated with each complete state; an item's next run starts 200 ms after the failed one. */
	#areFailedRunsDue = true;
	#accountUsageAnnouncedAt = -Infinity;
	#pending: NodeJS.Timeout | undefined;
	#heartbeat: NodeJS.Timeout | undefined;
	#isDisposed = false;
	/** The last complete state sent, to which later changes refer. */
	#announced: AnnouncedState | undefined;
	/** Whether the next message is a complete state. */
	#isStateDue = true;

	constructor(parts: AnnouncerParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.wall();
		parts.loads.onLocalChange(({total, allBatch, batch, record}) => {
			const peersMustPreempt = total > record.slots && allBatch > batch;
			this.#announceWithin(peersMustPreempt ? urgentDelayMs : announcementDelayMs(parts.peers.live.length));
		});
		[parts.quarantine, parts.partQuarantine].forEach(quarantine => {
			quarantine.onAnnouncementDue(() => {
				this.#areCrashesDue = true;
				this.#announceWithin(urgentDelayMs);
			});
		});
		parts.failedRuns.onAnnouncementDue(() => {
			this.#areFailedRunsDue = true;
			this.#announceWithin(announcementDelayMs(parts.peers.live.length));
		});
		parts.peers.onMembership(() => {
			parts.quarantine.reannounce();
			parts.partQuarantine.reannounce();
			// A peer that has just joined must soon receive the list of jobs that this process runs.
			this.#isStateDue = true;
			this.#announceWithin(announcementDelayMs(parts.peers.live.length));
		});
	}

	/** Starts announcing. */
	start(): void {
		this.#heartbeat = setInterval(() => {
			this.#isStateDue = true;
			this.#send();
		}, heartbeatMs);
		this.#send();
	}

	/** Sends the complete state within the minimum gathering time. */
	announceSoon(): void {
		this.#isStateDue = true;
		this.#announceWithin(minDelayMs);
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#pending);
		clearInterval(this.#heartbeat);
	}

	#announceWithin(ms: number) {
		// A check whether a replica has ended may complete after the channel was closed.
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
		const {channel, peers, memberAddresses} = this.#parts;
		// Under load, the heartbeat is late; a terminated peer would keep its jobs for as long.
		peers.removeUnresponsive();
		const state = this.#state();
		const addresses = new Set([...memberAddresses(), ...peers.live.map(peer => peer.state.address)]);
		addresses.delete(channel.address);
		if (!this.#isStateDue && this.#announced !== undefined) {
			// Members that are not live peers may have just started: they learn of this process from a complete state only.
			const readers = peers.live.filter(peer => peer.state.readsChanges === true).map(peer => peer.state.address);
			channel.send(readers, stateChangesMethod, this.#announced.changesTo(state));
			readers.forEach(address => {
				addresses.delete(address);
			});
		}

		channel.send([...addresses], peerStateMethod, state);
		if (this.#isStateDue) {
			this.#isStateDue = false;
			this.#announced = new AnnouncedState(state);
			this.#heartbeat?.refresh();
		}
	}

	#state(): PeerState {
		const {
			self, failureDomain, channel, claimedJobs, waitingItems, isLeaving, rpcAddress, reachesObjectApi,
		} = this.#parts;
		this.#seq += 1;
		return {
			member: self, address: channel.address, rpcAddress: rpcAddress(), failureDomain, reachesObjectApi: reachesObjectApi(), keepsOrigins: true, readsChanges: true, startedAt: this.#startedAt, seq: this.#seq, isLeaving: isLeaving(), loads: this.#loads(), jobs: claimedJobs(), waiting: waitingItems(), ...this.#sectionsDue(),
		};
	}

	/** What only some messages contain. */
	#sectionsDue(): TransientSections {
		const {checks, sections} = this.#parts;
		return {
			outcomes: this.#outcomesDue(), ...this.#crashesDue(), failedRuns: this.#failedRunsDue(), accountUsage: this.#accountUsageDue(), checks: this.#isStateDue ? checks() : undefined, ...Object.assign({}, ...sections.map(section => section())) as PeerSections,
		};
	}

	#crashesDue(): Partial<CrashAnnouncement> & PartAnnouncement {
		if (!this.#isStateDue && !this.#areCrashesDue) {
			return {};
		}

		const {quarantine, partQuarantine} = this.#parts;
		this.#areCrashesDue = false;
		return {...(quarantine.hasAnnouncement ? quarantine.announcement() : {}), ...partQuarantine.announcement()};
	}

	#failedRunsDue(): readonly FailedRun[] | undefined {
		if (!this.#isStateDue && !this.#areFailedRunsDue) {
			return undefined;
		}

		this.#areFailedRunsDue = false;
		return this.#parts.failedRuns.announcement();
	}

	#accountUsageDue(): readonly AccountUsage[] | undefined {
		const {rateLimits, clock} = this.#parts;
		if (clock.now() - this.#accountUsageAnnouncedAt < accountUsageIntervalMs) {
			return undefined;
		}

		this.#accountUsageAnnouncedAt = clock.now();
		const usage = rateLimits.announcement();
		return usage.length === 0 ? undefined : usage;
	}

	/** With complete states only, and only for replicas where a request failed: they decay over seconds, and in each message they would double its size while half of the replicas fail occasionally. */
	#outcomesDue(): SharedOutcomes[] | undefined {
		if (!this.#isStateDue) {
			return undefined;
		}

		const now = this.#parts.clock.now();
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
