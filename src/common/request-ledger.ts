/**
The agent's ledger of attempts. It reports the state of an attempt whose connection was lost, retains the chunks of an answer so that its stream can be resumed, and records revocations, which make "not run" reliable: a revoked attempt that arrives late is refused.

Entries expire, and an expired attempt must not be mistaken for one that never arrived. So every attempt, and every query about one, carries the time of the load report by which the replica was chosen, on this agent's own clock: an attempt older than the ledger's retention is neither run nor reported as "not run".
*/
import type {AttemptKey, Incarnation, LedgerAnswer} from './protocol.js';
import type {Clock} from './services.js';

/** The final event of an answer, after the chunks as the backend server sent them. */
export type LedgerEnd = {readonly event: 'end' | 'failed' | 'refused'; readonly data: string};

/** Receives the remaining part of an attempt's answer. */
export type LedgerReader = {
	/** The reader's name. A reader replaces an earlier one of the same name, whose connection is assumed to be lost. */
	readonly name: string;
	chunk(index: number, data: string): void;
	end(end: LedgerEnd): void;
	/** Called when another reader of the same name has replaced this one. */
	replaced(): void;
};

/** Bounds of the ledger. */
export type LedgerLimits = {
	/** Milliseconds that an ended answer stays readable. */
	readonly retainMs: number;
	/** Maximum bytes of ended answers that are retained; the oldest lose their chunks first. */
	readonly retainBytes: number;
};

/** An attempt, with the time on the agent's clock of the load report by which its replica was chosen. */
export type IssuedAttempt = AttemptKey & {readonly issuedAt: number};

/** The outcome of {@link RequestLedger.begin}. */
export type BeginOutcome = 'new' | 'known' | 'revoked';

/** Minimum time in milliseconds for which the ledger retains the state of an attempt; its chunks may be dropped earlier. */
export const ledgerRetentionMs = 300_000;

type Entry = {
	state: 'queued' | 'running' | 'done' | 'revoked';
	/** The chunks retained; empty again once they are dropped. */
	chunks: string[];
	/** Number of chunks of the answer, retained or not. */
	count: number;
	/** Bytes in `chunks`. */
	bytes: number;
	end?: LedgerEnd;
	readers?: Map<string, LedgerReader>;
	/** True once a reader has received the complete answer. */
	isDelivered: boolean;
	/** When the chunks are dropped. */
	readableUntil: number;
	/** When the entry is removed. */
	until: number;
};

const nameOf = (key: AttemptKey) => `${key.id}/${key.attempt}`;

/** Stores attempts by id and attempt number. */
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

	/** Number of attempts, including ended ones. */
	get size(): number {
		return this.#entries.size;
	}

	/** Bytes of ended answers that are retained. */
	get endedBytes(): number {
		return this.#endedBytes;
	}

	/** Number of answers that are still readable and that no reader has received completely. */
	get undelivered(): number {
		const now = this.#clock.now();
		return [...this.#entries.values()].filter(entry => entry.state === 'done' && !entry.isDelivered && entry.readableUntil > now).length;
	}

	/**
	Records an attempt that arrived.

	@param deadlineInMs - Milliseconds until its deadline; the entry is retained for longer.
	@returns `revoked` when it must not run.
	*/
	begin(attempt: IssuedAttempt, deadlineInMs: number): BeginOutcome {
		const existing = this.#entries.get(nameOf(attempt));
		if (existing) {
			return existing.state === 'revoked' ? 'revoked' : 'known';
		}

		// A request can stay in the buffers of an unresponsive connection for many minutes and arrive after its revocation was removed.
		if (this.#isBeyondRetention(attempt)) {
			return 'revoked';
		}

		this.#add(attempt, 'queued', deadlineInMs);
		return 'new';
	}

	/** Records that the attempt was passed to the backend server: from now on it counts as run. */
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
	Sends a reader all chunks from `from` on, and those that follow. Several readers may read one answer, for instance for a caller who sent its request again through another entry.

	@returns False when the attempt is unknown, was revoked before it arrived, or its chunks are no longer retained.
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
		const previousReader = entry.readers.get(reader.name);
		entry.readers.set(reader.name, reader);
		previousReader?.replaced();
		return true;
	}

	/** Records that a reader has received the complete answer. */
	markDelivered(key: AttemptKey): void {
		const entry = this.#entries.get(nameOf(key));
		if (entry) {
			entry.isDelivered = true;
		}
	}

	/** Removes a reader, for instance when its connection closed. False when it was no longer reading. */
	removeReader(key: AttemptKey, reader: LedgerReader): boolean {
		const readers = this.#entries.get(nameOf(key))?.readers;
		return readers?.get(reader.name) === reader && readers.delete(reader.name);
	}

	/** True while at least one reader reads the attempt's answer. */
	hasReaders(key: AttemptKey): boolean {
		return (this.#entries.get(nameOf(key))?.readers?.size ?? 0) > 0;
	}

	/**
	Revokes an attempt that has not started, or returns its state.

	An attempt that never arrived is recorded as revoked before the answer is returned: a copy that is still in transit is then refused, so that the caller can be told "not run" and another agent can be tried. An attempt older than the ledger's retention may have been run and removed, so its state is `unknown`.

	@param deadlineInMs - Milliseconds until the attempt's deadline.
	*/
	revoke(attempt: IssuedAttempt, deadlineInMs: number): LedgerAnswer {
		const existing = this.#entries.get(nameOf(attempt));
		if (existing && existing.state !== 'queued') {
			return {state: existing.state, incarnation: this.#incarnation};
		}

		if (!existing && this.#isBeyondRetention(attempt)) {
			return {state: 'unknown', incarnation: this.#incarnation};
		}

		this.#add(attempt, 'revoked', deadlineInMs);
		return {state: 'revoked', incarnation: this.#incarnation};
	}

	/** Drops expired chunks and entries. To be called periodically. */
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
		// Counted from now, while `issuedAt` lies in the past: when the entry expires, the attempt is older than the retention.
		const until = this.#clock.now() + Math.max(deadlineInMs + this.#limits.retainMs, ledgerRetentionMs);
		this.#entries.set(nameOf(attempt), {
			state, chunks: [], count: 0, bytes: 0, isDelivered: false, readableUntil: until, until,
		});
	}

	#isBeyondRetention({issuedAt}: IssuedAttempt): boolean {
		return issuedAt <= this.#clock.now() - ledgerRetentionMs;
	}

	#dropChunks(entry: Entry) {
		this.#endedBytes -= entry.bytes;
		entry.chunks = [];
		entry.bytes = 0;
	}

	// Only the chunks of an ended attempt are dropped, its state is retained: an attempt that was run must never be taken for one that was not.
	#trim() {
		[...this.#entries.values()]
			.filter(entry => this.#endedBytes > this.#limits.retainBytes && entry.state === 'done' && entry.bytes > 0)
			.some(entry => {
				this.#dropChunks(entry);
				return this.#endedBytes <= this.#limits.retainBytes;
			});
	}
}
