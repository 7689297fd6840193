/**
Continuous batching: waiting sequences are admitted in the order of their arrival while there is room; each step computes a share of the prompts and one token of every sequence whose prompt is done. It knows no priorities and no time: whoever runs it asks for the next step's cost and says when that has passed.
*/
import type {PrefixCache, CacheChange} from './prefix-cache.js';
import {Sequence, type SequenceOutput} from './sequence.js';
import type {EngineRequest} from './engine-request.js';
import type {FullEngineSettings} from './engine-settings.js';

/** What the batch needs of the engine's settings. */
export type BatchSettings = Pick<FullEngineSettings, 'stepMs' | 'prefillMsPerKiloToken' | 'perSequenceMicros' | 'maxBatch' | 'prefillTokensPerStep' | 'kvTokens'>;

/** A step under way. */
export type Step = {
	/** How long it takes, in milliseconds. */
	readonly costMs: number;
	readonly prefill: ReadonlyMap<Sequence, number>;
};

/** The load as the engine reports it. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Prompt tokens still to be computed, of the sequences that run and of those that wait. */
	readonly prefillTokens: number;
	readonly kvTokensUsed: number;
	readonly kvTokensTotal: number;
	readonly steps: number;
};

/** The waiting and the running sequences. */
export class EngineBatch {
	readonly #settings: BatchSettings;
	readonly #cache: PrefixCache;
	readonly #onCacheChange: (change: CacheChange) => void;
	readonly #touched = new Set<Sequence>();
	#waiting: Sequence[] = [];
	#running: Sequence[] = [];
	#steps = 0;
	#peak = 0;
	#generated = 0;

	constructor(settings: BatchSettings, cache: PrefixCache, onCacheChange: (change: CacheChange) => void) {
		this.#settings = settings;
		this.#cache = cache;
		this.#onCacheChange = onCacheChange;
	}

	get load(): EngineLoad {
		const all = [...this.#running, ...this.#waiting];
		return {
			running: this.#running.length,
			waiting: this.#waiting.length,
			prefillTokens: all.reduce((sum, sequence) => sum + sequence.prefillLeft, 0),
			kvTokensUsed: this.#kvUsed,
			kvTokensTotal: this.#settings.kvTokens,
			steps: this.#steps,
		};
	}

	/** The most sequences that ran at once. */
	get peak(): number {
		return this.#peak;
	}

	/** Tokens generated since the start. */
	get generated(): number {
		return this.#generated;
	}

	/** Adds a request at the end of the queue. Its need must not exceed `kvTokens`, else nothing behind it would ever run. */
	submit(request: EngineRequest, output: SequenceOutput): Sequence {
		const sequence = new Sequence(request, output);
		this.#waiting.push(sequence);
		return sequence;
	}

	/** Ends a sequence early. Returns false when it had ended. */
	cancel(sequence: Sequence): boolean {
		if (sequence.isEnded) {
			return false;
		}

		this.#remove(sequence);
		sequence.end('abort');
		sequence.output.flush();
		return true;
	}

	/** The sequences of a request, by its id. */
	find(requestId: string): Sequence[] {
		return [...this.#running, ...this.#waiting].filter(sequence => sequence.request.requestId === requestId);
	}

	/** Admits what there is room for and begins a step; undefined when there is nothing to do. */
	beginStep(): Step | undefined {
		this.#admit();
		if (this.#running.length === 0) {
			return undefined;
		}

		const prefill = this.#sharePrefill();
		const prefilled = [...prefill.values()].reduce((sum, tokens) => sum + tokens, 0);
		const costMs = this.#settings.stepMs
			+ (prefilled * this.#settings.prefillMsPerKiloToken / 1000)
			+ (this.#running.length * this.#settings.perSequenceMicros / 1000);
		return {costMs, prefill};
	}

	/** Completes a step: its part of the prompts is computed, and every sequence past its prompt has one token more. */
	completeStep(step: Step): void {
		this.#steps++;
		step.prefill.forEach((tokens, sequence) => {
			this.#advance(sequence, tokens);
		});
		this.#running.filter(sequence => sequence.prefillLeft === 0).forEach(sequence => {
			this.#generate(sequence);
		});
	}

	/** Sends the answers that came in since the last call. */
	flush(): void {
		this.#touched.forEach(sequence => {
			sequence.output.flush();
		});
		this.#touched.clear();
	}

	/** Forgets all sequences, as a crash does. Their outputs hear nothing. */
	clear(): void {
		[...this.#running, ...this.#waiting].forEach(sequence => {
			sequence.isEnded = true;
		});
		this.#running = [];
		this.#waiting = [];
		this.#touched.clear();
	}

	get #kvUsed(): number {
		return this.#running.reduce((sum, sequence) => sum + sequence.kvTokens, 0);
	}

	#admit(): void {
		let next = this.#waiting[0];
		while (next && this.#running.length < this.#settings.maxBatch && this.#kvUsed + next.kvTokens <= this.#settings.kvTokens) {
			this.#waiting.shift();
			next.skip(this.#cache.match(next.blocks));
			this.#running.push(next);
			next = this.#waiting[0];
		}

		this.#peak = Math.max(this.#peak, this.#running.length);
	}

	#sharePrefill(): Map<Sequence, number> {
		let left = this.#settings.prefillTokensPerStep;
		const shares = new Map<Sequence, number>();
		this.#running.filter(sequence => sequence.prefillLeft > 0).forEach(sequence => {
			const tokens = Math.min(left, sequence.prefillLeft);
			left -= tokens;
			if (tokens > 0) {
				shares.set(sequence, tokens);
			}
		});
		return shares;
	}

	#advance(sequence: Sequence, tokens: number): void {
		// Cancelled while the step was under way.
		if (sequence.isEnded) {
			return;
		}

		sequence.prefillLeft -= tokens;
		if (sequence.prefillLeft === 0) {
			this.#onCacheChange(this.#cache.insert(sequence.blocks));
		}
	}

	#generate(sequence: Sequence): void {
		this.#generated += sequence.generate() ? 1 : 0;
		this.#touched.add(sequence);
		if (sequence.isComplete) {
			this.#remove(sequence);
			sequence.end(sequence.request.finishReason);
		}
	}

	#remove(sequence: Sequence): void {
		this.#running = this.#running.filter(other => other !== sequence);
		this.#waiting = this.#waiting.filter(other => other !== sequence);
	}
}
