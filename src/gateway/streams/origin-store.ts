/**
The origins of streams that this process keeps, for itself and for its peers. An origin is removed once its stream can no longer be resumed.
*/
import type {Clock} from '../../common/services.js';
import type {AnnouncedOrigin, StreamKey, StreamOrigin} from './stream-origin.js';

type Entry = {readonly origin: StreamOrigin; readonly expiresAt: number};

/** The maximum number of origins; the oldest are removed first. One takes about 300 bytes. */
const maxEntries = 50_000;

/** Expired origins are removed at this interval, in milliseconds, so that each is visited a few times only. */
const sweepIntervalMs = 5000;

/** See the module's head. */
export class OriginStore {
	readonly #clock: Pick<Clock, 'now'>;
	readonly #entries = new Map<StreamKey, Entry>();
	#sweptAt: number;

	constructor(clock: Pick<Clock, 'now'>) {
		this.#clock = clock;
		this.#sweptAt = clock.now();
	}

	get size(): number {
		return this.#entries.size;
	}

	/** All origins that are still valid, as they are announced. */
	get all(): AnnouncedOrigin[] {
		return [...this.#entries.keys()].flatMap(key => this.announced(key) ?? []);
	}

	/** Adds an origin, or replaces the one of an earlier run. */
	put({keepMs, ...origin}: AnnouncedOrigin): void {
		const now = this.#clock.now();
		const known = this.#entries.get(origin.key);
		if (known && known.origin.run > origin.run) {
			return;
		}

		this.#sweep(now);
		this.#entries.set(origin.key, {origin, expiresAt: Math.max(known?.expiresAt ?? 0, now + keepMs)});
		if (this.#entries.size > maxEntries) {
			this.#entries.delete(this.#entries.keys().next().value!);
		}
	}

	get(key: StreamKey): StreamOrigin | undefined {
		const entry = this.#entries.get(key);
		return entry && entry.expiresAt > this.#clock.now() ? entry.origin : undefined;
	}

	/** An origin with the time for which it is still to be kept. */
	announced(key: StreamKey): AnnouncedOrigin | undefined {
		const origin = this.get(key);
		return origin && {...origin, keepMs: Math.ceil(this.#entries.get(key)!.expiresAt - this.#clock.now())};
	}

	#sweep(now: number) {
		if (now - this.#sweptAt < sweepIntervalMs) {
			return;
		}

		this.#sweptAt = now;
		[...this.#entries].filter(([, {expiresAt}]) => expiresAt <= now).forEach(([key]) => {
			this.#entries.delete(key);
		});
	}
}
