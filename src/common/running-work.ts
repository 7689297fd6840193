/**
Tracks the work that runs in a backend server, with the tokens that were generated and those still to come. It makes no decisions.
*/
import {ticketPromptTokens, type Ticket} from './admission-types.js';
import type {WorkClass} from './protocol.js';

/** Work in the backend server. Times are the clock's `now`, in milliseconds. */
export type RunningItem = {
	readonly ticket: Ticket;
	readonly startedAt: number;
	/** Tokens of the answer so far. */
	readonly tokens: number;
	/** Time of the last of them; the start before the first. */
	readonly lastTokenAt: number;
};

const tokensLeft = ({ticket, tokens}: RunningItem): number => tokens === 0 ? ticket.costTokens : Math.max(0, ticket.costTokens - (ticket.promptTokens ?? 0) - tokens);

/** Running work by class, with its token totals. */
export class RunningWork {
	readonly #byClass: Readonly<Record<WorkClass, Map<string, RunningItem>>> = {online: new Map(), batch: new Map()};
	#onlineTokensLeft = 0;
	#batchPrefillTokens = 0;

	/** Tokens still to be computed for online work. */
	get onlineTokensLeft(): number {
		return this.#onlineTokensLeft;
	}

	/** Prompt tokens of batch items that have no first token yet. */
	get batchPrefillTokens(): number {
		return this.#batchPrefillTokens;
	}

	/** Number of items of a class that run. */
	count(workClass: WorkClass): number {
		return this.#byClass[workClass].size;
	}

	/** The work of a class, the oldest first. */
	all(workClass: WorkClass): readonly RunningItem[] {
		return [...this.#byClass[workClass].values()];
	}

	get(key: string): RunningItem | undefined {
		return this.#byClass.online.get(key) ?? this.#byClass.batch.get(key);
	}

	begin(ticket: Ticket, now: number): void {
		this.#put({
			ticket, startedAt: now, tokens: 0, lastTokenAt: now,
		});
	}

	/** Records tokens of the answer. */
	progressed(key: string, tokens: number, now: number): void {
		const previous = this.get(key);
		if (previous) {
			this.#count(previous, -1);
			this.#put({...previous, tokens: previous.tokens + tokens, lastTokenAt: now});
		}
	}

	/** @returns The item that has left the backend server; undefined when it was not running. */
	end(key: string): RunningItem | undefined {
		const running = this.get(key);
		if (running) {
			this.#byClass[running.ticket.workClass].delete(key);
			this.#count(running, -1);
		}

		return running;
	}

	#put(running: RunningItem) {
		this.#byClass[running.ticket.workClass].set(running.ticket.key, running);
		this.#count(running, 1);
	}

	#count(running: RunningItem, sign: 1 | -1) {
		const {ticket, tokens} = running;
		if (ticket.workClass === 'online') {
			this.#onlineTokensLeft += sign * tokensLeft(running);
		} else if (tokens === 0) {
			this.#batchPrefillTokens += sign * ticketPromptTokens(ticket);
		}
	}
}
