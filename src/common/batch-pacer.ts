/**
Limits batch work by the measured harm it does to online work. The engine has no priorities: every batch item beside an online request lengthens the engine's steps, and the prefill of a batch item that starts lengthens one or a few steps by far more. So two things are limited while online work is present: the number of batch items that run, by the time between online tokens measured with and without batch work; and the rate at which batch items start, by the measured duration of a start. Without online work the whole engine is available to batch work.

The number of items follows additive increase and multiplicative decrease, as in congestion control: it is cut at once when online work is harmed, and raised in small steps.
*/
import type {Clock} from './services.js';

/** Settings of the pacer. */
export type PacerSettings = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** From 0 to 1: 0 protects online work as far as possible, 1 gives precedence to batch throughput. */
	readonly batchWeight: number;
};

type Window = {ms: number; tokens: number};

const onlinePresenceMs = 60;
const baselineMaxAgeMs = 30_000;
const windowTokens = 64;
const decreaseFactor = 0.7;
const smoothingFactor = 0.3;
const maxUnusedLimit = 2;
const minTolerance = 0.05;
const maxTolerance = 0.5;
const minStartShare = 0.005;
const maxStartShare = 0.5;
const minPrefillTokens = 512;
const maxPrefillTokens = 2048;

const interpolate = (minimum: number, maximum: number, weight: number) => minimum + ((maximum - minimum) * weight);
const smooth = (mean: number | undefined, value: number) => mean === undefined ? value : mean + (smoothingFactor * (value - mean));

/** Determines how much batch work may run and start. */
export class BatchPacer {
	readonly #clock: Clock;
	readonly #settings: PacerSettings;
	#limit: number;
	#onlineUntil = Number.NEGATIVE_INFINITY;
	/** Mean milliseconds between online tokens without batch work. */
	#baseline: number | undefined;
	#baselineAt = Number.NEGATIVE_INFINITY;
	readonly #windows: Record<'alone' | 'beside', Window> = {alone: {ms: 0, tokens: 0}, beside: {ms: 0, tokens: 0}};
	readonly #handlers: Record<'alone' | 'beside', (mean: number, batchRunning: number) => void> = {
		alone: mean => {
			this.#updateBaseline(mean);
		},
		beside: (mean, batchRunning) => {
			this.#adjustLimit(mean, batchRunning);
		},
	};

	/** Mean milliseconds from the start of a batch item to its first token. */
	#startMs: number | undefined;
	#lastStartAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, settings: PacerSettings) {
		this.#clock = clock;
		this.#settings = settings;
		this.#limit = Math.floor(settings.maxRunning * settings.batchWeight);
	}

	/** Batch items that may run at once now. */
	get limit(): number {
		if (!this.isOnlinePresent) {
			return this.#settings.maxRunning;
		}

		return this.#isBaselineDue ? 0 : Math.floor(this.#limit);
	}

	/** True while online work runs, and for 60 ms longer: the next request of a burst must not find the engine full of batch work. */
	get isOnlinePresent(): boolean {
		return this.#clock.now() < this.#onlineUntil;
	}

	/** Prompt tokens of batch items that may be computed at once; bounds how long an arriving online request waits for them. */
	get prefillTokenLimit(): number {
		return interpolate(minPrefillTokens, maxPrefillTokens, this.#settings.batchWeight);
	}

	/** Records that online work is running or waiting; to be called whenever it is. */
	recordOnlineActivity(): void {
		this.#onlineUntil = this.#clock.now() + onlinePresenceMs;
	}

	/** True when a batch item may start now. */
	mayStart(): boolean {
		return !this.isOnlinePresent || this.#clock.now() - this.#lastStartAt >= this.#startGapMs;
	}

	/** Records the start of a batch item. */
	started(): void {
		this.#lastStartAt = this.#clock.now();
	}

	/** Records the milliseconds from the start of a batch item to its first token. */
	recordFirstBatchToken(ms: number): void {
		this.#startMs = smooth(this.#startMs, ms);
	}

	/**
	Records online tokens from the backend server.

	@param ms - Milliseconds since the previous tokens.
	@param batchRunning - Batch items in the backend server.
	*/
	recordOnlineTokens(ms: number, tokens: number, batchRunning: number): void {
		const name = batchRunning === 0 ? 'alone' : 'beside';
		const window = this.#windows[name];
		window.ms += ms;
		window.tokens += tokens;
		if (window.tokens >= windowTokens) {
			this.#windows[name] = {ms: 0, tokens: 0};
			this.#handlers[name](window.ms / window.tokens, batchRunning);
		}
	}

	// Where batch work is always present, online work is never measured alone, and the delay caused by batch work would be taken for the engine's own speed. So batch work pauses for a moment whenever the baseline is too old.
	get #isBaselineDue() {
		return this.#clock.now() - this.#baselineAt > baselineMaxAgeMs;
	}

	get #startGapMs() {
		const share = interpolate(minStartShare, maxStartShare, this.#settings.batchWeight ** 2);
		return (this.#startMs ?? 0) / share;
	}

	#updateBaseline(mean: number) {
		this.#baseline = smooth(this.#baseline, mean);
		this.#baselineAt = this.#clock.now();
		this.#grow(0);
	}

	#adjustLimit(mean: number, batchRunning: number) {
		const tolerance = interpolate(minTolerance, maxTolerance, this.#settings.batchWeight);
		if (this.#baseline !== undefined && mean > this.#baseline * (1 + tolerance)) {
			this.#limit *= decreaseFactor;
			return;
		}

		this.#grow(batchRunning);
	}

	// A limit that is not reached has not been tested, so it grows only slightly beyond the number of running items.
	#grow(batchRunning: number) {
		const maximum = Math.min(this.#settings.maxRunning, batchRunning + maxUnusedLimit);
		this.#limit = Math.max(this.#limit, Math.min(this.#limit + 1, maximum));
	}
}
