/**
Runs an engine's steps in real time. Timers are coarser than a step, so steps follow one another on a schedule of their own and a timer that comes late runs all that are due: the mean time of a step holds.
*/
import type {Disposable} from '../common/services.js';
import type {EngineBatch, Step} from './engine-batch.js';

/** A pause of the whole process longer than this, in milliseconds, is not caught up: the engine would else answer in a burst that no real one gives. */
const maxCatchUpMs = 250;

/** The loop over the steps of one batch. */
export class StepLoop implements Disposable {
	readonly #batch: EngineBatch;
	readonly #onSteps: () => void;
	#step: Step | undefined;
	#due = 0;
	#factor = 1;
	#isFrozen = false;
	#timer: NodeJS.Timeout | undefined;

	/** @param onSteps - Called after one or several steps are done. */
	constructor(batch: EngineBatch, onSteps: () => void) {
		this.#batch = batch;
		this.#onSteps = onSteps;
	}

	/** Makes every step from the next on so many times longer. */
	setFactor(factor: number): void {
		this.#factor = factor;
	}

	/** Begins a step when none is under way; to be called when the batch got work. */
	wake(): void {
		if (this.#step !== undefined || this.#isFrozen) {
			return;
		}

		this.#due = performance.now();
		this.#begin();
		this.#schedule();
	}

	/** Stops in the middle of a step, or goes on with it. */
	freeze(isFrozen: boolean): void {
		if (isFrozen === this.#isFrozen) {
			return;
		}

		this.#isFrozen = isFrozen;
		clearTimeout(this.#timer);
		if (!isFrozen) {
			this.#due = performance.now();
			this.#schedule();
			this.wake();
		}
	}

	/** Drops the step under way, as a crash does. */
	reset(): void {
		clearTimeout(this.#timer);
		this.#step = undefined;
	}

	dispose(): void {
		this.#isFrozen = true;
		this.reset();
	}

	#begin(): void {
		this.#step = this.#batch.beginStep();
		this.#due += (this.#step?.costMs ?? 0) * this.#factor;
	}

	#schedule(): void {
		if (this.#step) {
			this.#timer = setTimeout(() => {
				this.#run();
			}, Math.max(0, this.#due - performance.now()));
		}
	}

	#run(): void {
		const now = performance.now();
		this.#due = Math.max(this.#due, now - maxCatchUpMs);
		while (this.#step && this.#due <= now) {
			this.#batch.completeStep(this.#step);
			this.#begin();
		}

		this.#batch.flush();
		this.#onSteps();
		this.#schedule();
	}
}
