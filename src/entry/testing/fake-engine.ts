/**
A model engine in memory: answers every item at once unless it is held, remembers what it ran, and crashes on items that say so.
*/
import {EventEmitter} from 'node:events';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {
	Backend, BackendFailure, BackendRequest, ServesFailure,
} from '../../agent/backend.js';
import type {GenerateWork} from '../../common/protocol.js';

/** The text of an item that takes the engine down. */
export const crashText = '[[crash]]';

const answerChunk = JSON.stringify({choices: [{index: 0, delta: {content: 'done'}, finish_reason: 'stop'}]});

/** See above. */
export class FakeEngine implements Backend {
	/** While true, items stay in the engine. */
	held = false;
	/** How long an item takes. */
	itemMs = 1;
	/** Prompts of the items that were answered, in order. */
	readonly answered: string[] = [];
	/** Prompts of the items that came, in order. */
	readonly begun: string[] = [];
	/** Called for each item that was answered. */
	onAnswer: (() => void) | undefined;
	/** How often it crashed. */
	crashes = 0;
	readonly #events = new EventEmitter().setMaxListeners(0);

	/** Lets the items in it end. */
	release(): void {
		this.held = false;
		this.#events.emit('release');
	}

	async run(req: BackendRequest): Promise<Either<BackendFailure, void>> {
		const prompt = String((req.work as GenerateWork).body.prompt);
		this.begun.push(prompt);
		if (prompt.includes(crashText)) {
			// The others that came with it are in the engine by then.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			this.crashes += 1;
			this.#events.emit('crash');
			return Left({kind: 'lost', reason: 'crashed'});
		}

		const end = await this.#stay(req.signal);
		if (end) {
			return Left(end);
		}

		req.onChunk(answerChunk);
		this.answered.push(prompt);
		this.onAnswer?.();
		return Right(undefined);
	}

	async serves(): Promise<Either<ServesFailure, readonly string[]>> {
		return Right(['model:m']);
	}

	async #stay(signal: AbortSignal): Promise<BackendFailure | undefined> {
		return new Promise(resolve => {
			const finish = (end: BackendFailure | undefined) => {
				this.#events.off('release', onRelease).off('crash', onCrash);
				resolve(end);
			};

			const onRelease = () => {
				finish(undefined);
			};

			const onCrash = () => {
				finish({kind: 'lost', reason: 'crashed'});
			};

			this.#events.on('release', onRelease).on('crash', onCrash);
			signal.addEventListener('abort', () => {
				finish({kind: 'cancelled'});
			}, {once: true});
			if (!this.held) {
				setTimeout(onRelease, this.itemMs);
			}
		});
	}
}
