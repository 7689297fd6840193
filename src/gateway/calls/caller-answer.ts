/**
Writes the answer of one call to its caller: a replica's answer, forwarded as it arrives or buffered until it is complete, or an answer of the gateway itself.

A short answer of a repeatable call is buffered, so that another run can replace it unnoticed if it breaks off. Of a resumable stream only complete events are forwarded, and a later run continues after the last one. Everything else is forwarded byte for byte; after its first byte, only a broken connection tells the caller that the rest will not follow.

Each run's answer is judged by its own head: the caller keeps the head of the first run of which it received anything, and later runs can only add events to that answer.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerHead, Attempt} from './attempt.js';
import {EventFramer, isEventStream, EventBoundaryTracker} from './event-framer.js';
import {reasonBytes} from './header-bytes.js';

/** What determines how a call's answer is forwarded. */
export type ForwardingOptions = {
	/** Whether another run may follow one that broke off. */
	readonly isRepeatable: boolean;
	/** Whether a run that broke off may go on from a copy. */
	readonly isContinued?: boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
	/** Id of the last event that the caller received in an earlier call. */
	readonly lastEventId?: number;
};

/**
How the bytes of one run's answer are forwarded. `held`: buffered until the answer is complete. `events`: complete events only, so that a later run may continue after them. `stream`: events as they arrive, without a later run. `bytes`: as they arrive. `none`: discarded, because the caller has part of an answer that they do not belong to.
*/
type ForwardingMode = 'held' | 'events' | 'stream' | 'bytes' | 'none';

/** The longest answer that is buffered, in bytes. */
const maxBufferedBytes = 65_536;

const hopByHopHeaders = ['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade'];

const removedHeaders = new Set(hopByHopHeaders);

/** `content-length` is the length of one run's answer, and another run may complete the stream. */
const removedEventStreamHeaders = new Set([...hopByHopHeaders, 'content-length']);

const withoutHeaders = (rawHeaders: readonly string[], names: ReadonlySet<string>): string[] => rawHeaders.filter((_, i) => {
	const name = rawHeaders[i - (i % 2)] ?? '';
	return !names.has(name.toLowerCase());
});

const empty: Buffer = Buffer.alloc(0);

/** The answer of one call, over all its runs. */
export class CallerAnswer {
	readonly #res: ServerResponse;
	readonly #isRepeatable: boolean;
	/** Whether further events may follow those of a run that broke off. */
	readonly #mayGoOn: boolean;
	readonly #isStream: boolean;
	/** Id of the event after which the caller asked to resume; 0 if it did not. */
	readonly #firstEventId: number;
	readonly #framer: EventFramer;
	readonly #boundaryTracker = new EventBoundaryTracker();
	/** The head that was sent to the caller, or that will be unless another run starts first. */
	#head: AnswerHead | undefined;
	#mode: ForwardingMode = 'none';
	#buffered: Buffer[] = [];

	readonly #forwarders: Readonly<Record<ForwardingMode, (bytes: Buffer) => Buffer>> = {
		held: bytes => {
			this.#buffered.push(bytes);
			return empty;
		},
		events: bytes => this.#framer.feed(bytes),
		stream: bytes => {
			this.#boundaryTracker.feed(bytes);
			return bytes;
		},
		bytes: bytes => bytes,
		none: () => empty,
	};

	/** Whether an answer that ended without an error is complete. */
	readonly #completeness: Readonly<Record<ForwardingMode, () => boolean>> = {
		held: () => true,
		events: () => !this.#framer.hasPartialEvent,
		stream: () => !this.#boundaryTracker.isWithinEvent,
		bytes: () => true,
		none: () => false,
	};

	constructor(res: ServerResponse, {isRepeatable, isContinued = false, isStream, lastEventId = 0}: ForwardingOptions) {
		this.#res = res;
		this.#isRepeatable = isRepeatable;
		this.#mayGoOn = isRepeatable || isContinued;
		this.#isStream = isStream;
		this.#firstEventId = lastEventId;
		this.#framer = new EventFramer(lastEventId);
	}

	/** Whether anything was sent to the caller. */
	get hasBegun(): boolean {
		return this.#res.headersSent;
	}

	/** Whether another run can supply the rest of the answer. */
	get canResume(): boolean {
		return !this.hasBegun || (this.#isResumable && this.#framer.isNumbered);
	}

	/** Id of the last event that was sent to the caller; `undefined` unless the call is a resumable stream. */
	get lastEventId(): number | undefined {
		return this.#isStream && this.#mayGoOn ? this.#framer.lastId : undefined;
	}

	/** Whether the caller was sent an event that a later run continues. */
	get hasEvents(): boolean {
		return (this.lastEventId ?? 0) > this.#firstEventId;
	}

	/** False once an event of a resumable stream was missing or duplicated. */
	get isInOrder(): boolean {
		return this.#mode !== 'events' || this.#framer.isInOrder;
	}

	/** Whether the run sends an event that does not end. */
	get isEventTooLong(): boolean {
		return this.#mode === 'events' && this.#framer.isEventTooLong;
	}

	/** Whether the run that ended without an error completes the caller's answer. It does not if it ended within an event, or if the caller has part of a stream and the run answered something else. */
	get isComplete(): boolean {
		return this.#completeness[this.#mode]();
	}

	/** Starts forwarding a run's answer. Once a head was sent to the caller, that head stays and only events can follow. */
	begin(head: AnswerHead): void {
		this.#buffered = [];
		if (this.hasBegun) {
			this.#framer.startNextRun();
			this.#mode = this.#isResumable && isEventStream(head) ? 'events' : 'none';
			return;
		}

		this.#head = head;
		this.#mode = this.#modeFor(head);
	}

	/**
	Forwards or buffers bytes of the run's answer.

	@param source - Paused while the caller does not read.
	*/
	forward(bytes: Buffer, source: Pick<Attempt, 'pause' | 'resume'> | undefined): void {
		const forwarded = this.#forwarders[this.#mode](bytes);
		if (forwarded.length > 0) {
			this.#write(forwarded, source);
		}
	}

	/** Discards what was not yet sent to the caller of a run that broke off. */
	discardUnsent(): void {
		this.#framer.discardRemainder();
		this.#buffered = [];
	}

	/** Sends what is buffered and ends the answer; called when the run's answer is complete. */
	finish(): void {
		this.#writeHead();
		this.#buffered.forEach(bytes => {
			this.#res.write(bytes);
		});
		this.#res.end(this.#mode === 'events' ? this.#framer.remainder : empty);
	}

	/** Sends an answer of the gateway itself, without a body. */
	reply(status: number, headers: Readonly<Record<string, string>> = {}): void {
		this.#res.writeHead(status, {...headers, 'content-length': '0'});
		this.#res.end();
	}

	/** Breaks the connection, so that the caller cannot take what it has for a complete answer. To a caller of HTTP/1.0, which has no chunked encoding, an ordinary close of the connection marks the end of an answer, so the connection is reset. */
	cut(): void {
		if (this.#res.req.httpVersion === '1.0') {
			this.#res.socket?.resetAndDestroy();
		}

		this.#res.destroy();
	}

	/** Whether the caller is sent events that a later run may continue. */
	get #isResumable(): boolean {
		return this.#mayGoOn && this.isEventStream;
	}

	/** Whether the answer is a series of events. */
	get isEventStream(): boolean {
		return this.#isStream && this.#head !== undefined && isEventStream(this.#head);
	}

	#modeFor({headers}: AnswerHead): ForwardingMode {
		if (this.isEventStream) {
			return this.#mayGoOn ? 'events' : 'stream';
		}

		const length = Number(headers['content-length'] ?? Number.NaN);
		return this.#isRepeatable && length <= maxBufferedBytes ? 'held' : 'bytes';
	}

	#write(bytes: Buffer, source: Pick<Attempt, 'pause' | 'resume'> | undefined) {
		this.#writeHead();
		if (!this.#res.write(bytes)) {
			source?.pause();
			this.#res.once('drain', () => {
				source?.resume();
			});
		}
	}

	#writeHead() {
		if (!this.hasBegun && this.#head) {
			const {status, statusMessage, rawHeaders} = this.#head;
			this.#res.writeHead(status, reasonBytes(statusMessage), withoutHeaders(rawHeaders, this.#isResumable ? removedEventStreamHeaders : removedHeaders));
		}
	}
}
