/**
Detects stalled watches with few calls of the object API. Every process watches for itself; one of them also polls and announces the last change that it has seen. A process that lacks that change polls too, and one that sees no announcement in time takes over the polling.
*/
import type {Revision} from '../../common/ids.js';
import type {Clock, Disposable} from '../../common/services.js';
import type {ObjectKind} from '../../common/types.js';
import type {ObjectFeed} from '../object-feed.js';
import type {ReadProgress} from '../read-progress.js';
import type {MemberName} from '../types.js';
import type {PeerState} from './peer-state.js';
import type {PeerTable} from './peer-table.js';

/** The state of one kind of object at a process, as of its last answer from the object API. */
export type FeedCheck = {
	readonly kind: ObjectKind;
	/** The last change of the kind that the process has seen. */
	readonly changedAt: Revision;
	/** Age of the answer that confirmed it, in milliseconds. */
	readonly ageMs: number;
};

/** A feed whose watch is checked. */
export type CheckedFeed = {
	readonly kind: ObjectKind;
	readonly feed: ObjectFeed;
	/** Milliseconds after the last confirmation, here or at a peer, until a poll is due. */
	readonly intervalMs: number;
	/** Milliseconds within which its watch usually delivers a change that a peer announces; 150 by default. */
	readonly lagMs?: number;
};

/** Dependencies of the checks. */
export type SharedChecksParts = {
	readonly self: MemberName;
	readonly peers: Pick<PeerTable, 'live' | 'onState'>;
	readonly feeds: readonly CheckedFeed[];
	readonly clock: Clock;
	readonly progress: Pick<ReadProgress, 'readUntil'>;
	/** Announces this process's state soon. */
	readonly announce: () => void;
};

/** Each process waits this much longer than the one ranked before it until it polls, in milliseconds, up to the third rank. */
const rankDelayMs = 60;
const maxDelayedRank = 3;

/** A process's own watch delivers a change at about the time at which a peer announces it; if it has not after this long, in milliseconds, the change is polled for. */
const defaultLagMs = 150;

/** Pause after a failed poll, in milliseconds. */
const retryMs = 250;

/** A confirmation is announced for this long, in milliseconds. */
const announcedForMs = 500;

/** See the module's head. */
export class SharedChecks implements Disposable {
	readonly #parts: SharedChecksParts;
	readonly #checks: readonly FeedCheckLoop[];

	constructor(parts: SharedChecksParts) {
		this.#parts = parts;
		this.#checks = parts.feeds.map(feed => new FeedCheckLoop(feed, parts, {
			delayMs: () => rankDelayMs * Math.min(maxDelayedRank, this.#rank()),
			announce: parts.announce,
		}));
		parts.peers.onState(state => {
			this.#receive(state);
		});
	}

	/** Confirmations to announce to the peers now. */
	announcement(): readonly FeedCheck[] | undefined {
		const confirmations = this.#checks.flatMap(check => check.confirmations());
		return confirmations.length === 0 ? undefined : confirmations;
	}

	/** When the local state of the kind was last confirmed to be current, here or by a peer; in milliseconds on the monotonic clock. */
	lastConfirmedAt(kind: ObjectKind): number {
		return this.#checks.find(check => check.kind === kind)?.lastConfirmedAt ?? -Infinity;
	}

	start(): void {
		this.#checks.forEach(check => {
			check.start();
		});
	}

	dispose(): void {
		this.#checks.forEach(check => {
			check.dispose();
		});
	}

	#receive({checks = []}: PeerState) {
		checks.forEach(announced => {
			this.#checks.find(({kind}) => kind === announced.kind)?.receive(announced);
		});
	}

	/** How many processes that reach the object API come before this one. */
	#rank(): number {
		const {self, peers} = this.#parts;
		return peers.live.filter(({state}) => state.reachesObjectApi && !state.isLeaving && state.member < self).length;
	}
}

/** One feed's checks. */
class FeedCheckLoop implements Disposable {
	readonly kind: ObjectKind;
	readonly #checked: CheckedFeed;
	readonly #clock: Clock;
	readonly #progress: Pick<ReadProgress, 'readUntil'>;
	readonly #options: {readonly delayMs: () => number; readonly announce: () => void};
	/** When a peer last confirmed that this process lacks no change. */
	#peerConfirmedAt = -Infinity;
	/** The announced change that this process lacks, and since when. */
	#missing: {readonly changedAt: Revision; readonly since: number} | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	constructor(checked: CheckedFeed, {clock, progress}: Pick<SharedChecksParts, 'clock' | 'progress'>, options: {readonly delayMs: () => number; readonly announce: () => void}) {
		this.kind = checked.kind;
		this.#checked = checked;
		this.#clock = clock;
		this.#progress = progress;
		this.#options = options;
	}

	get lastConfirmedAt(): number {
		return Math.max(this.#peerConfirmedAt, this.#checked.feed.currentAsOf);
	}

	start(): void {
		this.#schedule(this.#checked.intervalMs);
	}

	confirmations(): FeedCheck[] {
		const {feed} = this.#checked;
		const ageMs = this.#clock.now() - feed.currentAsOf;
		return feed.changedAt === undefined || ageMs > announcedForMs ? [] : [{kind: this.kind, changedAt: feed.changedAt, ageMs: Math.round(ageMs)}];
	}

	receive({changedAt, ageMs}: FeedCheck): void {
		const now = this.#clock.now();
		const {revision} = this.#checked.feed;
		if (revision !== undefined && changedAt <= revision) {
			this.#peerConfirmedAt = Math.max(this.#peerConfirmedAt, this.#progress.readUntil - ageMs);
			return;
		}

		if (this.#missing === undefined) {
			this.#missing = {changedAt, since: now};
			this.#schedule(this.#lagMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
	}

	#schedule(ms: number) {
		clearTimeout(this.#timer);
		if (!this.#isDisposed) {
			this.#timer = setTimeout(() => {
				void this.#pollIfDue();
			}, ms);
		}
	}

	async #pollIfDue() {
		if ((this.#checked.feed.revision ?? 0) >= (this.#missing?.changedAt ?? Infinity)) {
			this.#missing = undefined;
		}

		const dueInMs = this.#dueAt() - this.#clock.now();
		if (dueInMs > 0) {
			this.#schedule(dueInMs);
			return;
		}

		const {feed, intervalMs} = this.#checked;
		this.#missing = undefined;
		const isKnown = await feed.sync();
		if (isKnown) {
			this.#options.announce();
		}

		this.#schedule(isKnown ? intervalMs : retryMs);
	}

	get #lagMs(): number {
		return this.#checked.lagMs ?? defaultLagMs;
	}

	#dueAt(): number {
		const {feed, intervalMs} = this.#checked;
		const behindDueAt = this.#missing === undefined ? Infinity : this.#missing.since + this.#lagMs;
		if (!feed.isWatching && !feed.mayLag) {
			// The feed is about to make its own next call, which confirms its objects.
			return this.#clock.now() + retryMs;
		}

		return feed.isUnreachable ? -Infinity : Math.min(behindDueAt, this.lastConfirmedAt + intervalMs + this.#options.delayMs());
	}
}
