/**
Holds batch work back by the harm it does to online work. The engine knows no priorities: every batch item beside an online request lengthens the engine's steps, and the prefill of a batch item that starts lengthens one or a few steps by far more. So two things are paced while online work is present: how many batch items run, by the measured time between online tokens against the same without batch work; and how often a batch item starts, by the measured time that a start takes. Without online work the whole engine is given to batch work.

The number follows additive increase and multiplicative decrease, as congestion control does: harm is cut at once, room is tried in small steps.
*/
import type {Clock} from './services.js';

/** How batch work is weighed. */
export type PacerSettings = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** From 0 to 1: 0 spares online work as far as can be, 1 lets batch throughput go first. */
	readonly batchWeight: number;
};

type Window = {ms: number; tokens: number};

const millisecondsWithoutOnline = 60;
const baselineMaxAgeMs = 30_000;
const windowTokens = 64;
const decrease = 0.7;
const smoothing = 0.3;
const unusedLimit = 2;
const toleranceAtLeast = 0.05;
const toleranceAtMost = 0.5;
const startShareAtLeast = 0.005;
const startShareAtMost = 0.5;
const prefillTokensAtLeast = 512;
const prefillTokensAtMost = 2048;

const between = (least: number, most: number, weight: number) => least + ((most - least) * weight);
const smooth = (mean: number | undefined, value: number) => mean === undefined ? value : mean + (smoothing * (value - mean));

/** Says how much batch work may run and start. */
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
			this.#learn(mean);
		},
		beside: (mean, batchRunning) => {
			this.#judge(mean, batchRunning);
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

	/** True while online work runs, and a moment longer: the next request of a burst must not find the engine full of batch work. */
	get isOnlinePresent(): boolean {
		return this.#clock.now() < this.#onlineUntil;
	}

	/** Prompt tokens of batch items that may be computed at once; bounds how long an online request that comes now waits for them. */
	get prefillTokenLimit(): number {
		return between(prefillTokensAtLeast, prefillTokensAtMost, this.#settings.batchWeight);
	}

	/** To be told whenever online work is running or waiting. */
	recordOnlineActivity(): void {
		this.#onlineUntil = this.#clock.now() + millisecondsWithoutOnline;
	}

	/** True when a batch item may start now. */
	mayStart(): boolean {
		return !this.isOnlinePresent || this.#clock.now() - this.#lastStartAt >= this.#startGapMs;
	}

	/** A batch item starts. */
	started(): void {
		this.#lastStartAt = this.#clock.now();
	}

	/** A batch item has its first token, this long after its start. */
	recordFirstBatchToken(ms: number): void {
		this.#startMs = smooth(this.#startMs, ms);
	}

	/**
	Online tokens came from the backend server.

	@param ms - Milliseconds since the tokens before them.
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

	// Where batch work is always present, online work alone is never seen, and its harm would pass for the engine's own speed. So now and then batch work makes way for a moment.
	get #isBaselineDue() {
		return this.#clock.now() - this.#baselineAt > baselineMaxAgeMs;
	}

	get #startGapMs() {
		const share = between(startShareAtLeast, startShareAtMost, this.#settings.batchWeight ** 2);
		return (this.#startMs ?? 0) / share;
	}

	#learn(mean: number) {
		this.#baseline = smooth(this.#baseline, mean);
		this.#baselineAt = this.#clock.now();
		this.#grow(0);
	}

	#judge(mean: number, batchRunning: number) {
		const tolerance = between(toleranceAtLeast, toleranceAtMost, this.#settings.batchWeight);
		if (this.#baseline !== undefined && mean > this.#baseline * (1 + tolerance)) {
			this.#limit *= decrease;
			return;
		}

		this.#grow(batchRunning);
	}

	// A limit that is not used proves nothing: it grows only little beyond what runs.
	#grow(batchRunning: number) {
		const most = Math.min(this.#settings.maxRunning, batchRunning + unusedLimit);
		this.#limit = Math.max(this.#limit, Math.min(this.#limit + 1, most));
	}
}
