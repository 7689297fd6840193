/**
Keeps less urgent ranks from starving: while a more urgent rank competes for the slots, each arrival of a less urgent one earns a part of a call that is admitted as if it were not outranked. The part follows what the more urgent ranks are served, so that a less urgent one is never served better.
*/
import {RateMeter} from '../accounts/rate-meter.js';

/** What an outranked rank is served at least, as a share of what the more urgent ones are: a caller that is served less than a quarter as often as the others takes the service for broken. */
const leastShare = 0.3;

/** Fewer arrivals a second than this do not compete. */
const competingPerSecond = 0.5;

/** Calls that found free slots count towards the least share of those that arrive after them, up to this number. */
const maxDebt = 5;

type RankCounts = {readonly arrived: RateMeter; readonly begun: RateMeter; credit: number};

/** The ranks of one service at this process. Times are milliseconds on the monotonic clock. */
export class LeastShares {
	readonly #ranks = new Map<number, RankCounts>();

	/** Counts an arrival. */
	noteArrival(rank: number, now: number): void {
		const counts = this.#countsOf(rank);
		counts.arrived.note(1, now);
		counts.credit = Math.min(1, counts.credit + (leastShare * this.#servedShareAbove(rank, now)));
	}

	/** Counts a call that begins. */
	noteBegun(rank: number, now: number): void {
		const counts = this.#countsOf(rank);
		counts.begun.note(1, now);
		counts.credit = Math.max(-maxDebt, counts.credit - 1);
	}

	/** Whether a more urgent rank competes for the slots. */
	hasRival(rank: number, now: number): boolean {
		return this.#above(rank).some(({arrived}) => arrived.perSecond(now) >= competingPerSecond);
	}

	/** Whether the rank's next call is part of its least share. */
	hasEarned(rank: number): boolean {
		return this.#countsOf(rank).credit >= 1;
	}

	#above(rank: number): readonly RankCounts[] {
		return [...this.#ranks].filter(([other]) => other < rank).map(([, counts]) => counts);
	}

	#servedShareAbove(rank: number, now: number): number {
		const above = this.#above(rank);
		const arrived = above.reduce((sum, counts) => sum + counts.arrived.perSecond(now), 0);
		const begun = above.reduce((sum, counts) => sum + counts.begun.perSecond(now), 0);
		return arrived === 0 ? 1 : Math.min(1, begun / arrived);
	}

	#countsOf(rank: number): RankCounts {
		const counts = this.#ranks.get(rank) ?? {arrived: new RateMeter(), begun: new RateMeter(), credit: 0};
		this.#ranks.set(rank, counts);
		return counts;
	}
}
