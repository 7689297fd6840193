/**
What the backend server beside an agent serves, asked again and again. Entries send requests by what the agent reports of it.
*/
import type {Clock, Disposable, EventLog} from '../common/services.js';
import type {Backend} from './backend.js';
import {agentEvents} from './log-events.js';

/** What is needed to ask. */
export type ServedTargetsParts = {
	readonly backend: Pick<Backend, 'serves'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Between two questions, in milliseconds. */
const pollMs = 500;

/** Asks until disposed. */
export class ServedTargets implements Disposable {
	readonly #parts: ServedTargetsParts;
	#current: readonly string[] = [];
	#isDisposed = false;

	constructor(parts: ServedTargetsParts) {
		this.#parts = parts;
	}

	/** As `model:<name>` or `service:<name>`. */
	get current(): readonly string[] {
		return this.#current;
	}

	/** Asks once. */
	async read(): Promise<void> {
		const answer = await this.#parts.backend.serves();
		answer
			.ifRight(targets => {
				this.#set(targets);
			})
			.ifLeft(({kind, reason}) => {
				this.#set([], `${kind}: ${reason}`);
			});
	}

	/** Asks for good. */
	async run(): Promise<void> {
		while (!this.#isDisposed) {
			await this.#parts.clock.sleep(pollMs);
			await this.read();
		}
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	#set(targets: readonly string[], reason?: string) {
		if (targets.join(',') === this.#current.join(',')) {
			return;
		}

		this.#current = targets;
		this.#parts.log.emit(agentEvents.servesChanged, {targets, reason});
	}
}
