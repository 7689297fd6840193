/**
Keeps what is known of the object API fresh with few calls. Each process watches for itself, but a watch that went silent shows only when it ends; so one process reads every now and then, and tells the others up to which change it knows. A process that lacks that change reads too; one that hears of no read for too long makes it itself, so nothing depends on the first one.
*/
import type {Revision} from '../../common/ids.js';
import type {Clock, Disposable} from '../../common/services.js';
import type {ObjectKind} from '../../common/types.js';
import type {ObjectFeed} from '../object-feed.js';
import type {MemberName} from '../types.js';
import type {PeerState} from './peer-state.js';
import type {PeerTable} from './peer-table.js';

/** What a process has read of one kind of object of late. */
export type FeedCheck = {
	readonly kind: ObjectKind;
	/** The last change of the kind that it knows of. */
	readonly changedAt: Revision;
	/** How long ago the object API told it that there was none after that, in milliseconds. */
	readonly ageMs: number;
};

/** A feed that is kept fresh. */
export type CheckedFeed = {
	readonly kind: ObjectKind;
	readonly feed: ObjectFeed;
	/** Milliseconds without a read, by this process or another, until one is due. */
	readonly everyMs: number;
};

/** What the checks need. */
export type SharedChecksParts = {
	readonly self: MemberName;
	readonly peers: Pick<PeerTable, 'live' | 'onState'>;
	readonly feeds: readonly CheckedFeed[];
	readonly clock: Clock;
	/** Tells the peers soon. */
	readonly announce: () => void;
};

/** The process that is next in line reads when the first has not, so much later, in milliseconds; those behind the third in line all at once. */
const standInMs = 60;
const mostStandIns = 3;

/** A change comes with the own watch at about the time at which a peer tells of it; after this long, in milliseconds, it is asked for. */
const patienceMs = 150;

/** A read that failed is made again after this long, in milliseconds. */
const retryMs = 250;

/** A read is told in each message for this long, in milliseconds. */
const toldForMs = 500;

/** See the module's head. */
export class SharedChecks implements Disposable {
	readonly #parts: SharedChecksParts;
	readonly #checks: readonly FeedCheckLoop[];

	constructor(parts: SharedChecksParts) {
		this.#parts = parts;
		this.#checks = parts.feeds.map(feed => new FeedCheckLoop(feed, parts.clock, {
			delayMs: () => standInMs * Math.min(mostStandIns, this.#rank()),
			announce: parts.announce,
		}));
		parts.peers.onState(state => {
			this.#take(state);
		});
	}

	/** What the peers must hear now. */
	news(): readonly FeedCheck[] | undefined {
		const news = this.#checks.flatMap(check => check.news());
		return news.length === 0 ? undefined : news;
	}

	/** When the object API last told this process, or a peer, that nothing of the kind has changed that is not known here; in milliseconds on the monotonic clock. */
	freshAt(kind: ObjectKind): number {
		return this.#checks.find(check => check.kind === kind)?.freshAt ?? -Infinity;
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

	#take({checks = []}: PeerState) {
		checks.forEach(told => {
			this.#checks.find(({kind}) => kind === told.kind)?.take(told);
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
	readonly #options: {readonly delayMs: () => number; readonly announce: () => void};
	/** When the object API last told a peer that there is nothing which this process does not know. */
	#confirmedAt = -Infinity;
	#behindSince: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	constructor(checked: CheckedFeed, clock: Clock, options: {readonly delayMs: () => number; readonly announce: () => void}) {
		this.kind = checked.kind;
		this.#checked = checked;
		this.#clock = clock;
		this.#options = options;
	}

	get freshAt(): number {
		return Math.max(this.#confirmedAt, this.#checked.feed.heardAt);
	}

	start(): void {
		this.#wait(this.#checked.everyMs);
	}

	news(): FeedCheck[] {
		const {feed} = this.#checked;
		const ageMs = this.#clock.now() - feed.heardAt;
		return feed.changedAt === undefined || ageMs > toldForMs ? [] : [{kind: this.kind, changedAt: feed.changedAt, ageMs: Math.round(ageMs)}];
	}

	take({changedAt, ageMs}: FeedCheck): void {
		const now = this.#clock.now();
		const {revision} = this.#checked.feed;
		if (revision !== undefined && changedAt <= revision) {
			this.#confirmedAt = Math.max(this.#confirmedAt, now - ageMs);
			return;
		}

		if (this.#behindSince === undefined) {
			this.#behindSince = now;
			this.#wait(patienceMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
	}

	#wait(ms: number) {
		clearTimeout(this.#timer);
		if (!this.#isDisposed) {
			this.#timer = setTimeout(() => {
				void this.#look();
			}, ms);
		}
	}

	async #look() {
		const dueInMs = this.#dueAt() - this.#clock.now();
		if (dueInMs > 0) {
			this.#wait(dueInMs);
			return;
		}

		const {feed, everyMs} = this.#checked;
		this.#behindSince = undefined;
		const isKnown = await feed.sync();
		if (isKnown) {
			this.#options.announce();
		}

		this.#wait(isKnown ? everyMs : retryMs);
	}

	#dueAt(): number {
		const {feed, everyMs} = this.#checked;
		const behindDueAt = this.#behindSince === undefined ? Infinity : this.#behindSince + patienceMs;
		if (!feed.isFollowing) {
			// Its own next call is about to be made.
			return this.#clock.now() + retryMs;
		}

		return feed.isAway ? -Infinity : Math.min(behindDueAt, this.freshAt + everyMs + this.#options.delayMs());
	}
}
