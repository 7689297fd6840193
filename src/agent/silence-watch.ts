/**
Finds runs on the engine whose connection went silent: something between agent and engine has lost track of it, no byte will ever come, and no error either. An engine that is busy, full or reads a long prompt is quiet as well, so that quiet alone ends nothing: the engine is asked on a connection of its own what it has.
*/
import {setTimeout as sleep} from 'node:timers/promises';

/** What an engine says of the work in it. */
export type EngineState = {readonly running: number; readonly waiting: number};

/** How a quiet run is judged. */
export type SilenceParts = {
	/** The shortest quiet that is looked into, in milliseconds. */
	readonly silenceMs: number;
	/** Asks the engine on a new connection; `undefined` when it does not answer or does not tell. */
	readonly probe: () => Promise<EngineState | undefined>;
};

/** Quiet that is looked into, in pauses between chunks as they usually are; engines differ in their steps by more than ten times. */
const pausesInBound = 20;
const pauseWeight = 0.1;
/** An engine's report lags; a run younger than this may not be in it yet. */
const reportLagMs = 2000;
const looksInBound = 5;
const confirmMs = 250;

/** One run while it is watched. */
export class WatchedRun {
	readonly begunAt = performance.now();
	heardAt = this.begunAt;
	lookedAt = this.begunAt;
	hasChunks = false;
	readonly #onChunkPause: (ms: number) => void;

	constructor(onChunkPause: (ms: number) => void) {
		this.#onChunkPause = onChunkPause;
	}

	/** A chunk came. */
	heard(): void {
		const now = performance.now();
		if (this.hasChunks) {
			this.#onChunkPause(now - this.heardAt);
		}

		this.hasChunks = true;
		this.heardAt = now;
		this.lookedAt = now;
	}
}

/** Watches the runs on one engine. */
export class SilenceWatch {
	readonly #parts: SilenceParts;
	readonly #runs = new Set<WatchedRun>();
	#pauseMs = 0;

	constructor(parts: SilenceParts) {
		this.#parts = parts;
	}

	/**
	Watches one run until the task has ended.

	@param task - Receives the run, whose `heard` is to be called for each chunk, and a signal that aborts when the run's connection is taken for silent.
	*/
	async during<T>(task: (run: WatchedRun, silent: AbortSignal) => Promise<T>): Promise<T> {
		const controller = new AbortController();
		const run = new WatchedRun(ms => {
			this.#pauseMs += (ms - this.#pauseMs) * pauseWeight;
		});
		const timer = setInterval(() => {
			void this.#look(run, controller);
		}, this.#parts.silenceMs / looksInBound);
		this.#runs.add(run);
		try {
			return await task(run, controller.signal);
		} finally {
			clearInterval(timer);
			this.#runs.delete(run);
		}
	}

	get #boundMs() {
		return Math.max(this.#parts.silenceMs, pausesInBound * this.#pauseMs);
	}

	async #look(run: WatchedRun, controller: AbortController) {
		const now = performance.now();
		if (now - run.lookedAt < this.#boundMs) {
			return;
		}

		run.lookedAt = now;
		const {heardAt} = run;
		const isSuspect = await this.#isSuspect(run, heardAt);
		if (!isSuspect) {
			return;
		}

		// Another run that ended in the engine while it was asked, and whose end was still on its way, is no longer counted now.
		await sleep(confirmMs);
		const isSilent = await this.#isSuspect(run, heardAt);
		if (isSilent) {
			// Two runs are not ended for one that the engine has too few.
			this.#runs.delete(run);
			controller.abort();
		}
	}

	async #isSuspect(run: WatchedRun, heardAt: number): Promise<boolean> {
		const askedAt = performance.now();
		const state = await this.#parts.probe();
		return state !== undefined && run.heardAt === heardAt && this.#runs.has(run) && this.#isNotProgressing(run, state, askedAt);
	}

	// Either the engine has less than it was given, which is then the run that is quiet; or this one was generating, nothing waits that could have displaced it, and still nothing comes.
	#isNotProgressing({hasChunks}: WatchedRun, {running, waiting}: EngineState, askedAt: number): boolean {
		const given = [...this.#runs].filter(({begunAt}) => askedAt - begunAt > Math.min(reportLagMs, this.#parts.silenceMs / 2)).length;
		return running + waiting < given || (hasChunks && waiting === 0);
	}
}
