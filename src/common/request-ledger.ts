/**
The agent's ledger of attempts. It answers what became of an attempt whose connection was lost, keeps the chunks of an answer so that its stream can be taken up again, and records revocations, which make "not run" true: a revoked attempt that arrives late is refused.

It forgets, and must not mistake what it forgot for what never came. So every attempt, and every question about one, carries the time of the report of load by which the replica was chosen, on this agent's own clock: what is older than the ledger's memory is neither run nor called "not run".
*/
import type {AttemptKey, Incarnation, LedgerAnswer} from './protocol.js';
import type {Clock} from './services.js';

/** What is kept of an answer: chunks as the backend server sent them, then the last event. */
export type LedgerEnd = {readonly event: 'end' | 'failed' | 'refused'; readonly data: string};

/** Receives the rest of an attempt's answer. */
export type LedgerReader = {
	/** Names who reads. A reader takes the place of an earlier one of the same name, whose connection is taken for lost. */
	readonly name: string;
	chunk(index: number, data: string): void;
	end(end: LedgerEnd): void;
	/** Another reader of the same name has come. */
	replaced(): void;
};

/** Bounds of the ledger. */
export type LedgerLimits = {
	/** Milliseconds that an ended answer stays readable. */
	readonly retainMs: number;
	/** Bytes of ended answers kept at the most; the oldest lose their chunks first. */
	readonly retainBytes: number;
};

/** An attempt and the agent's clock when the report was made by which it was sent here. */
export type IssuedAttempt = AttemptKey & {readonly issuedAt: number};

/** The outcome of {@link RequestLedger.begin}. */
export type BeginOutcome = 'new' | 'known' | 'revoked';

/** How long the ledger remembers at least what became of an attempt, its chunks aside. */
export const ledgerRetentionMs = 300_000;

type Entry = {
	state: 'queued' | 'running' | 'done' | 'revoked';
	/** The chunks kept; empty again once they are dropped. */
	chunks: string[];
	/** Chunks that the answer has, kept or not. */
	count: number;
	/** Bytes in `chunks`. */
	bytes: number;
	end?: LedgerEnd;
	readers?: Map<string, LedgerReader>;
	/** True once a reader has had the whole answer. */
	isDelivered: boolean;
	/** When the chunks are dropped. */
	readableUntil: number;
	/** When the entry is forgotten. */
	until: number;
};

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

	/** Bytes of ended answers that are kept. */
	get endedBytes(): number {
		return this.#endedBytes;
	}

	/** Answers that are still readable and that no reader has had to the end. */
	get undelivered(): number {
		const now = this.#clock.now();
		return [...this.#entries.values()].filter(entry => entry.state === 'done' && !entry.isDelivered && entry.readableUntil > now).length;
	}

	/**
	Records an attempt that arrived.

	@param deadlineInMs - Milliseconds until its deadline; it is remembered longer than that.
	@returns `revoked` when it must not run.
	*/
	begin(attempt: IssuedAttempt, deadlineInMs: number): BeginOutcome {
		const known = this.#entries.get(nameOf(attempt));
		if (known) {
			return known.state === 'revoked' ? 'revoked' : 'known';
		}

		// A request can lie in the buffers of a silent connection for many minutes and arrive after its revocation was forgotten.
		if (this.#isBeyondMemory(attempt)) {
			return 'revoked';
		}

		this.#add(attempt, 'queued', deadlineInMs);
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

		const index = entry.count;
		entry.chunks.push(data);
		entry.count += 1;
		entry.bytes += data.length;
		entry.readers?.forEach(reader => {
			reader.chunk(index, data);
		});
	}

	end(key: AttemptKey, end: LedgerEnd): void {
		const entry = this.#entries.get(nameOf(key));
		if (!entry || entry.state === 'done' || entry.state === 'revoked') {
			return;
		}

		const now = this.#clock.now();
		entry.state = end.event === 'refused' ? 'revoked' : 'done';
		entry.end = end;
		entry.readableUntil = now + this.#limits.retainMs;
		entry.until = Math.max(entry.until, now + ledgerRetentionMs);
		this.#endedBytes += entry.bytes;
		const readers = [...entry.readers?.values() ?? []];
		entry.readers = undefined;
		readers.forEach(reader => {
			reader.end(end);
		});
		this.#trim();
	}

	/**
	Gives a reader everything from chunk `from` on, and what comes later. Several may read one answer, for instance for a caller who sent its request again through another entry.

	@returns False when the attempt is unknown, revoked before it arrived, or its chunks are no longer kept.
	*/
	read(key: AttemptKey, from: number, reader: LedgerReader): boolean {
		const entry = this.#entries.get(nameOf(key));
		if (!entry || (entry.state === 'revoked' && !entry.end) || (from < entry.count && entry.chunks.length === 0)) {
			return false;
		}

		entry.chunks.slice(from).forEach((data, offset) => {
			reader.chunk(from + offset, data);
		});
		if (entry.end) {
			reader.end(entry.end);
			return true;
		}

		entry.readers ??= new Map();
		const earlier = entry.readers.get(reader.name);
		entry.readers.set(reader.name, reader);
		earlier?.replaced();
		return true;
	}

	/** Says that a reader has had the whole answer. */
	markDelivered(key: AttemptKey): void {
		const entry = this.#entries.get(nameOf(key));
		if (entry) {
			entry.isDelivered = true;
		}
	}

	/** Takes a reader away, for instance when its connection closed. False when it did not read any more. */
	removeReader(key: AttemptKey, reader: LedgerReader): boolean {
		const readers = this.#entries.get(nameOf(key))?.readers;
		return readers?.get(reader.name) === reader && readers.delete(reader.name);
	}

	/** True while somebody reads the attempt's answer. */
	hasReaders(key: AttemptKey): boolean {
		return (this.#entries.get(nameOf(key))?.readers?.size ?? 0) > 0;
	}

	/**
	Revokes an attempt that has not begun, or says how far it has come.

	An attempt that never arrived is recorded as revoked before the answer is given: a copy still under way is then refused, so that the caller may be told "not run" and another agent may be asked. An attempt older than the ledger's memory may have been here and been forgotten, so nothing is said of it.

	@param deadlineInMs - Milliseconds until the attempt's deadline.
	*/
	revoke(attempt: IssuedAttempt, deadlineInMs: number): LedgerAnswer {
		const known = this.#entries.get(nameOf(attempt));
		if (known && known.state !== 'queued') {
			return {state: known.state, incarnation: this.#incarnation};
		}

		if (!known && this.#isBeyondMemory(attempt)) {
			return {state: 'unknown', incarnation: this.#incarnation};
		}

		this.#add(attempt, 'revoked', deadlineInMs);
		return {state: 'revoked', incarnation: this.#incarnation};
	}

	/** Drops what need not be remembered any more. To be called now and then. */
	sweep(): void {
		const now = this.#clock.now();
		this.#entries.forEach((entry, name) => {
			if (entry.state === 'done' && entry.readableUntil <= now) {
				this.#dropChunks(entry);
			}

			if (entry.until <= now && entry.state !== 'running') {
				this.#entries.delete(name);
			}
		});
	}

	#add(attempt: IssuedAttempt, state: Entry['state'], deadlineInMs: number) {
		// Counted from now, while `issuedAt` lies in the past: when this is forgotten, the attempt is beyond the memory.
		const until = this.#clock.now() + Math.max(deadlineInMs + this.#limits.retainMs, ledgerRetentionMs);
		this.#entries.set(nameOf(attempt), {
			state, chunks: [], count: 0, bytes: 0, isDelivered: false, readableUntil: until, until,
		});
	}

	#isBeyondMemory({issuedAt}: IssuedAttempt): boolean {
		return issuedAt <= this.#clock.now() - ledgerRetentionMs;
	}

	#dropChunks(entry: Entry) {
		this.#endedBytes -= entry.bytes;
		entry.chunks = [];
		entry.bytes = 0;
	}

	// The state of an ended attempt is kept, only its chunks go: an attempt that was run must never be taken for one that was not.
	#trim() {
		[...this.#entries.values()]
			.filter(entry => this.#endedBytes > this.#limits.retainBytes && entry.state === 'done' && entry.bytes > 0)
			.some(entry => {
				this.#dropChunks(entry);
				return this.#endedBytes <= this.#limits.retainBytes;
			});
	}
}
