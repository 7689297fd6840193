/**
What a caller gets: the answer of a replica, passed on as it comes or held back until it is whole, or an answer of the gateway's own.

An answer of a call that may be repeated is held back where it is short, so that a break within it is mended by another run unnoticed; of a stream that can be resumed whole events are passed on, and a later run goes on behind the last one. Everything else is passed on byte for byte, and after its first byte only a broken connection tells the caller that the rest will not come.

Each run's answer is judged by its own head: the caller keeps the head of the first run of which it has got anything, and a later run can only add events to that.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerHead, Attempt} from './attempt.js';
import {EventFramer, isEventStream, EventBoundaryTracker} from './event-framer.js';

/** How a call's answer is passed on. */
export type PassingRules = {
	/** Whether another run may follow one that broke. */
	readonly isRepeatable: boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
	/** The last event that the caller has already. */
	readonly lastEventId?: number;
};

/**
How the bytes of one run's answer are passed on. `held`: once the answer is whole. `events`: whole events, which a later run may go on behind. `stream`: events that no other run may follow, as they come. `bytes`: as they come. `none`: not at all, since the caller has part of an answer that they do not belong to.
*/
type Passing = 'held' | 'events' | 'stream' | 'bytes' | 'none';

/** An answer is held back if it is no longer than this, in bytes. */
const maxHeldBytes = 65_536;

const hopByHop = ['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade'];

const notPassedOn = new Set(hopByHop);

/** The length is that of one run, and other runs may end the stream. */
const notPassedOnOfEvents = new Set([...hopByHop, 'content-length']);

const withoutHeaders = (rawHeaders: readonly string[], names: ReadonlySet<string>): string[] => rawHeaders.filter((_, i) => {
	const name = rawHeaders[i - (i % 2)] ?? '';
	return !names.has(name.toLowerCase());
});

const empty: Buffer = Buffer.alloc(0);

/** See the module's head. */
export class CallerAnswer {
	readonly #res: ServerResponse;
	readonly #isRepeatable: boolean;
	readonly #isStream: boolean;
	readonly #framer: EventFramer;
	readonly #streamEnd = new EventBoundaryTracker();
	/** What the caller has got, or is to get unless another run begins before. */
	#head: AnswerHead | undefined;
	#passing: Passing = 'none';
	#held: Buffer[] = [];

	readonly #takers: Readonly<Record<Passing, (bytes: Buffer) => Buffer>> = {
		held: bytes => {
			this.#held.push(bytes);
			return empty;
		},
		events: bytes => this.#framer.feed(bytes),
		stream: bytes => {
			this.#streamEnd.feed(bytes);
			return bytes;
		},
		bytes: bytes => bytes,
		none: () => empty,
	};

	/** Whether an answer that has ended in order is whole. */
	readonly #wholeness: Readonly<Record<Passing, () => boolean>> = {
		held: () => true,
		events: () => !this.#framer.hasPartialEvent,
		stream: () => !this.#streamEnd.isWithinEvent,
		bytes: () => true,
		none: () => false,
	};

	constructor(res: ServerResponse, {isRepeatable, isStream, lastEventId = 0}: PassingRules) {
		this.#res = res;
		this.#isRepeatable = isRepeatable;
		this.#isStream = isStream;
		this.#framer = new EventFramer(lastEventId);
	}

	/** Whether the caller has got anything. */
	get hasBegun(): boolean {
		return this.#res.headersSent;
	}

	/** Whether another run can bring what the caller lacks. */
	get canResume(): boolean {
		return !this.hasBegun || (this.#isResumable && this.#framer.isNumbered);
	}

	/** The last event that the caller has, where a stream can be resumed. */
	get lastEventId(): number | undefined {
		return this.#isStream && this.#isRepeatable ? this.#framer.lastId : undefined;
	}

	/** False once an event of a stream that can be resumed was missing or came twice. */
	get isInOrder(): boolean {
		return this.#passing !== 'events' || this.#framer.isInOrder;
	}

	/** Whether the run that has ended in order makes the caller's answer whole. It does not if it ended within an event, or if the caller has part of a stream and the run answered something else. */
	get isComplete(): boolean {
		return this.#wholeness[this.#passing]();
	}

	/** Takes the head of a run's answer. Of a later run of a stream the caller keeps the head of the first. */
	begin(head: AnswerHead): void {
		this.#held = [];
		if (this.hasBegun) {
			this.#framer.startNextRun();
			this.#passing = this.#isResumable && isEventStream(head) ? 'events' : 'none';
			return;
		}

		this.#head = head;
		this.#passing = this.#passingOf(head);
	}

	/** @param source - Paused while the caller does not read. */
	forward(bytes: Buffer, source: Attempt | undefined): void {
		const passed = this.#takers[this.#passing](bytes);
		if (passed.length > 0) {
			this.#write(passed, source);
		}
	}

	/** Forgets what the caller has not got of a run that broke off. */
	discardUnsent(): void {
		this.#framer.discardRemainder();
		this.#held = [];
	}

	/** The run's answer is whole. */
	finish(): void {
		this.#writeHead();
		this.#held.forEach(bytes => {
			this.#res.write(bytes);
		});
		this.#res.end(this.#passing === 'events' ? this.#framer.remainder : empty);
	}

	/** Answers without a body, by the gateway itself. */
	reply(status: number, headers: Readonly<Record<string, string>> = {}): void {
		this.#res.writeHead(status, {...headers, 'content-length': '0'});
		this.#res.end();
	}

	/** Breaks the connection, so that what the caller has can not be taken for whole. To a caller of HTTP/1.0, which knows no chunks, an ordinary end of the connection ends an answer. */
	cut(): void {
		if (this.#res.req.httpVersion === '1.0') {
			this.#res.socket?.resetAndDestroy();
		}

		this.#res.destroy();
	}

	/** Whether what the caller gets are events behind which a later run may go on. */
	get #isResumable(): boolean {
		return this.#isRepeatable && this.#hasEvents;
	}

	get #hasEvents(): boolean {
		return this.#isStream && this.#head !== undefined && isEventStream(this.#head);
	}

	#passingOf({headers}: AnswerHead): Passing {
		if (this.#hasEvents) {
			return this.#isRepeatable ? 'events' : 'stream';
		}

		const length = Number(headers['content-length'] ?? Number.NaN);
		return this.#isRepeatable && length <= maxHeldBytes ? 'held' : 'bytes';
	}

	#write(bytes: Buffer, source: Attempt | undefined) {
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
			this.#res.writeHead(status, statusMessage, withoutHeaders(rawHeaders, this.#isResumable ? notPassedOnOfEvents : notPassedOn));
		}
	}
}
