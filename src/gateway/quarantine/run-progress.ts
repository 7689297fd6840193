/**
How far the current run of a request has come. A replica that crashes because of a request does so soon after it has begun to answer it, so a run that has been answered for a while is not the cause of a crash.
*/
import type {Clock} from '../../common/services.js';

/** A run is well under way after at least this many chunks of its answer, received over at least this many milliseconds. Time alone does not suffice: it also passes while this process is paused. */
const minChunks = 8;
const minAnsweringMs = 400;

/** See the module's head. */
export class RunProgress {
	readonly #clock: Pick<Clock, 'now'>;
	#chunks = 0;
	#firstChunkAt = 0;
	#lastChunkAt = 0;

	constructor(clock: Pick<Clock, 'now'>) {
		this.#clock = clock;
	}

	/** Chunks of the answer received so far. */
	get chunks(): number {
		return this.#chunks;
	}

	/** Milliseconds between the first chunk and the last one received. */
	get answeringMs(): number {
		return Math.round(this.#lastChunkAt - this.#firstChunkAt);
	}

	/** Whether the replica has survived the beginning of the answer. */
	get isWellUnderWay(): boolean {
		return this.#chunks >= minChunks && this.#lastChunkAt - this.#firstChunkAt >= minAnsweringMs;
	}

	/** Starts again, for the next run. */
	restart(): void {
		this.#chunks = 0;
		this.#firstChunkAt = 0;
		this.#lastChunkAt = 0;
	}

	noteChunk(): void {
		this.#lastChunkAt = this.#clock.now();
		this.#firstChunkAt ||= this.#lastChunkAt;
		this.#chunks += 1;
	}
}
