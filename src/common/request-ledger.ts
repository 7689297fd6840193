/**
The agent's ledger of attempts. It answers what became of an attempt whose connection was lost, keeps the chunks of an answer so that its stream can be taken up again, and records revocations, which make "not run" true: a revoked attempt that arrives late is refused.
*/
import type {AttemptKey, Incarnation, LedgerAnswer} from './protocol.js';
import type {Clock} from './services.js';

/** What is kept of an answer: chunks as the backend server sent them, then the last event. */
export type LedgerEnd = {readonly event: 'end' | 'failed' | 'refused'; readonly data: string};

/** Receives the rest of an attempt's answer. */
export type LedgerReader = {
	chunk(index: number, data: string): void;
	end(end: LedgerEnd): void;
};

/** Bounds of the ledger. */
export type LedgerLimits = {
	/** Milliseconds that an ended answer stays readable. */
	readonly retainMs: number;
	/** Bytes of ended answers kept at the most; the oldest lose their chunks first. */
	readonly retainBytes: number;
};

type Entry = {
	state: 'queued' | 'running' | 'done' | 'revoked';
	chunks: string[];
	bytes: number;
	end?: LedgerEnd;
	reader?: LedgerReader;
	/** When the entry may be forgotten. */
	until: number;
};

/** The outcome of {@link RequestLedger.begin}. */
export type BeginOutcome = 'new' | 'known' | 'revoked';

const nameOf = (key: AttemptKey) => `${key.id}/${key.attempt}`;

/** Keeps attempts by id and attempt number. */
export class RequestLedger {
	readonly #entries = new Map<string, Entry>();
	readonly #clock: Clock;
	readonly #limits: LedgerLimits;
	readonly #incarnation: Incarnation;
	#endedBytes = 0;

	constructor(clock: Clock, limits: LedgerLimits, incarnation: Incarnation) {
		this.#clock = clock;
		this.#limits = limits;
		this.#incarnation = incarnation;
	}

	/** Attempts known, ended ones included. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Records an attempt that arrived.

	@param deadlineInMs - Milliseconds until its deadline; it is remembered at least that long.
	*/
	begin(key: AttemptKey, deadlineInMs: number): BeginOutcome {
		const known = this.#entries.get(nameOf(key));
		if (known) {
			return known.state === 'revoked' ? 'revoked' : 'known';
		}

		this.#entries.set(nameOf(key), {
			state: 'queued', chunks: [], bytes: 0, until: this.#clock.now() + deadlineInMs + this.#limits.retainMs,
		});
		return 'new';
	}

	/** Says that the backend server was given the attempt: from now on it counts as run. */
	start(key: AttemptKey): void {
		const entry = this.#entries.get(nameOf(key));
		if (entry?.state === 'queued') {
			entry.state = 'running';
		}
	}

	append(key: AttemptKey, data: string): void {
		const entry = this.#entries.get(nameOf(key));
		if (entry?.state !== 'running') {
			return;
		}

		entry.chunks.push(data);
		entry.bytes += data.length;
		entry.reader?.chunk(entry.chunks.length - 1, data);
	}

	end(key: AttemptKey, end: LedgerEnd): void {
		const entry = this.#entries.get(nameOf(key));
		if (!entry || entry.state === 'done' || entry.state === 'revoked') {
			return;
		}

		entry.state = end.event === 'refused' ? 'revoked' : 'done';
		entry.end = end;
		// The deadline of a refused attempt still counts: its copy may be under way.
		entry.until = Math.max(end.event === 'refused' ? entry.until : 0, this.#clock.now() + this.#limits.retainMs);
		this.#endedBytes += entry.bytes;
		entry.reader?.end(end);
		entry.reader = undefined;
		this.#trim();
	}

	/**
	Gives a reader everything from chunk `from` on, and what comes later. It replaces an earlier reader, whose connection is taken for lost.

	@returns False when the attempt is unknown, revoked, or its chunks are no longer kept.
	*/
	read(key: AttemptKey, from: number, reader: LedgerReader): boolean {
		const entry = this.#entries.get(nameOf(key));
		if (!entry || entry.state === 'revoked' || (entry.state === 'done' && entry.bytes > 0 && entry.chunks.length === 0)) {
			return false;
		}

		entry.chunks.slice(from).forEach((data, offset) => {
			reader.chunk(from + offset, data);
		});
		if (entry.end) {
			reader.end(entry.end);
			return true;
		}

		entry.reader = reader;
		return true;
	}

	/** Takes a reader away, for instance when its connection closed. A newer reader stays. */
	leave(key: AttemptKey, reader: LedgerReader): boolean {
		const entry = this.#entries.get(nameOf(key));
		if (entry?.reader !== reader) {
			return false;
		}

		entry.reader = undefined;
		return true;
	}

	/** True while somebody reads the attempt's answer. */
	isRead(key: AttemptKey): boolean {
		return this.#entries.get(nameOf(key))?.reader !== undefined;
	}

	/**
	Revokes an attempt that has not begun, or says how far it has come.

	An attempt that never arrived is recorded as revoked before the answer is given: a copy still under way is then refused, so that the caller may be told "not run" and another agent may be asked.

	@param deadlineInMs - Milliseconds until the attempt's deadline, after which every agent refuses it anyway.
	*/
	revoke(key: AttemptKey, deadlineInMs: number): LedgerAnswer {
		const known = this.#entries.get(nameOf(key));
		if (known && known.state !== 'queued' && known.state !== 'revoked') {
			return {state: known.state, incarnation: this.#incarnation};
		}

		this.#entries.set(nameOf(key), {
			state: 'revoked', chunks: [], bytes: 0, until: this.#clock.now() + deadlineInMs + this.#limits.retainMs,
		});
		return {state: 'revoked', incarnation: this.#incarnation};
	}

	/** Drops what need not be remembered any more. To be called now and then. */
	sweep(): void {
		const now = this.#clock.now();
		[...this.#entries]
			.filter(([, entry]) => entry.until <= now && entry.state !== 'running')
			.forEach(([name, entry]) => {
				this.#endedBytes -= entry.state === 'done' ? entry.bytes : 0;
				this.#entries.delete(name);
			});
	}

	// The state of an ended attempt is kept, only its chunks go: "unknown" must never be said of an attempt that was run.
	#trim() {
		if (this.#endedBytes <= this.#limits.retainBytes) {
			return;
		}

		[...this.#entries.values()]
			.filter(entry => entry.state === 'done' && entry.chunks.length > 0)
			.some(entry => {
				entry.chunks = [];
				this.#endedBytes -= entry.bytes;
				return this.#endedBytes <= this.#limits.retainBytes;
			});
	}
}
