/**
What is known of the pace of one start of a replica: from this process's own streams, and from its peers' announcements as well. It belongs to the `Replica` object, so it is forgotten with that start.

A process announces what its own streams show only where it differs from the last announcement, by whichever process, or where that is long ago. Processes that observe the same thus send nothing, and a lost message is made up for by the next process whose streams show something else.
*/
import {maxEvents, PaceEstimate} from './pace-estimate.js';

/** A relative difference that is announced at once; smaller ones affect hardly any decision. */
const announcedDifference = 0.15;

/** Age after which a pace is announced again, in milliseconds: within the half-life of an observation. */
const announceAgainMs = 3000;

/** Own events that are older than this, in milliseconds, say nothing new about a replica. */
const recentMs = 500;

/** A figure to be announced, see `SharedPace`. */
export type PaceFigure = {
	readonly msPerEvent: number;
	readonly events: number;
};

const rounded = (value: number, unit: number): number => Math.round(value / unit) * unit;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class ReplicaPace {
	readonly #own = new PaceEstimate();
	readonly #all = new PaceEstimate();
	#announcedMs = 0;
	#announcedAt = -Infinity;

	/** Records events of one of this process's own streams. */
	observe(msPerEvent: number, events: number, now: number): void {
		this.#own.observe(msPerEvent, events, now);
		this.#all.observe(msPerEvent, events, now);
	}

	/** Merges what a peer has announced, by the number of events that it stands for. */
	receive({msPerEvent, events}: PaceFigure, now: number): void {
		if (msPerEvent > 0 && events > 0) {
			this.#all.observe(msPerEvent, Math.min(events, maxEvents), now);
			this.#announcedMs = msPerEvent;
			this.#announcedAt = now;
		}
	}

	/** Milliseconds between two events of a stream; `undefined` while too little is known. */
	msPerEvent(now: number): number | undefined {
		return this.#all.msPerEvent(now);
	}

	/** Number of events that the pace stands for, decayed with their age. */
	events(now: number): number {
		return this.#all.events(now);
	}

	/** Milliseconds since an event was last observed, here or at the peer that announced it; `Infinity` if none was. */
	ageMs(now: number): number {
		return now - this.#all.observedAt;
	}

	/** Relative difference between what own streams show and what was last announced; 0 if there is nothing to announce, `Infinity` if that was long ago. */
	unannounced(now: number): number {
		const ownMs = this.#own.msPerEvent(now);
		if (ownMs === undefined || now - this.#own.observedAt > recentMs) {
			return 0;
		}

		if (now - this.#announcedAt > announceAgainMs) {
			return Infinity;
		}

		const difference = Math.abs((ownMs / this.#announcedMs) - 1);
		return difference > announcedDifference ? difference : 0;
	}

	/** What own streams show, which then counts as announced. */
	announce(now: number): PaceFigure {
		const msPerEvent = this.#own.msPerEvent(now) ?? 0;
		this.#announcedMs = msPerEvent;
		this.#announcedAt = now;
		return {msPerEvent: Number(rounded(msPerEvent, 0.1).toFixed(1)), events: Math.ceil(this.#own.events(now))};
	}
}
