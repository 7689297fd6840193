/**
The pace of one replica, estimated from the times between the events of its streams: a slow moving mean for what the replica usually takes, and a fast one for what it takes now. The fast one is in force while it is far from the slow one, so that a slow spell counts from its first few events and is over as soon as events are fast again; without recent events it says nothing.

Its knowledge fades with age and occupies a few numbers, however many streams are observed. `ReplicaPace` owns the estimates of a replica.
*/

/** Half-life of the weight of observed events, in milliseconds. Replicas keep their speed for minutes, but a replica that was slow once must get calls again soon. */
const halfLifeMs = 4000;

/** Number of events whose mean is the usual pace: a few streams of average length. */
export const maxEvents = 32;

/** With fewer events than this left, nothing is known. */
const minEvents = 2;

/** Weight of one event in the fast mean: a replica that becomes two and a half times as slow is found slow at the second event. */
const fastWeight = 0.25;

/** Ratio between the means from which the fast one is in force. A single event that took three times as long as usual does not reach it. */
const spellRatio = 1.6;

/** Age of the last event after which the fast mean says nothing, in milliseconds: slow spells last about this long. */
const spellKnownMs = 500;

/** Limits of one observation relative to the usual pace, for the slow and for the fast mean: a stalled connection says little about its replica. */
const maxSlowRatio = 1.5;
const maxFastRatio = 3;

/** A replica whose fast mean is in force for longer than any slow spell, in milliseconds, has changed its usual pace. */
const lastingMs = 1000;

/** A longer pause, in milliseconds, is a fault of a stream and no pace. */
const maxMsPerEvent = 10_000;

const between = (value: number, least: number, most: number): number => Math.min(most, Math.max(least, value));

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class PaceEstimate {
	#usualMs = 0;
	#currentMs = 0;
	#events = 0;
	#at = -Infinity;
	/** Since when the fast mean has been in force without interruption; `undefined` while it is not. */
	#deviatesSince: number | undefined;

	/** When an event was last observed. */
	get observedAt(): number {
		return this.#at;
	}

	/** Records that `events` events came, `msPerEvent` apart. What is no such number is ignored. */
	observe(msPerEvent: number, events: number, now: number): void {
		if (!(msPerEvent > 0 && msPerEvent <= maxMsPerEvent && events > 0)) {
			return;
		}

		const count = Math.min(events, maxEvents);
		const known = this.events(now);
		if (known < minEvents) {
			this.#usualMs = msPerEvent;
			this.#currentMs = msPerEvent;
		} else {
			const before = now - this.#at > spellKnownMs ? this.#usualMs : this.#currentMs;
			const share = 1 - ((1 - fastWeight) ** count);
			this.#currentMs = before + (share * (between(msPerEvent, 0, maxFastRatio * this.#usualMs) - before));
			const bounded = between(msPerEvent, this.#usualMs / maxSlowRatio, this.#usualMs * maxSlowRatio);
			this.#usualMs += count / (known + count) * (bounded - this.#usualMs);
		}

		this.#events = Math.min(maxEvents, known + count);
		this.#at = now;
		this.#noteDeviation(now);
	}

	/** Number of events that the estimate stands for, decayed with their age. */
	events(now: number): number {
		return this.#events === 0 ? 0 : this.#events * (0.5 ** ((now - this.#at) / halfLifeMs));
	}

	/** Milliseconds between two events of a stream; `undefined` while too little is known. */
	msPerEvent(now: number): number | undefined {
		if (this.events(now) < minEvents) {
			return undefined;
		}

		return this.#deviates && now - this.#at <= spellKnownMs ? this.#currentMs : this.#usualMs;
	}

	get #deviates(): boolean {
		const ratio = this.#currentMs / this.#usualMs;
		return ratio > spellRatio || ratio < 1 / spellRatio;
	}

	#noteDeviation(now: number) {
		this.#deviatesSince = this.#deviates ? (this.#deviatesSince ?? now) : undefined;
		if (this.#deviatesSince !== undefined && now - this.#deviatesSince > lastingMs) {
			this.#usualMs = this.#currentMs;
			this.#deviatesSince = undefined;
		}
	}
}
