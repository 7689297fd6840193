/**
What a caller gets: the answer of a replica, passed on as it comes or held back until it is whole, or an answer of the gateway's own.

An answer of a call that may be repeated is held back where it is short, so that a break within it is mended by another run unnoticed; of a stream that can be resumed whole events are passed on, and a later run goes on behind the last one. Everything else is passed on byte for byte, and after its first byte only a broken connection tells the caller that the rest will not come.
*/
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerHead, Attempt} from './attempt.js';
import {EventFramer} from './event-framer.js';

/** How a call's answer is passed on. */
export type PassingRules = {
	/** Whether another run may follow one that broke. */
	readonly isRepeatable: boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
	/** The last event that the caller has already. */
	readonly lastEventId?: number;
};

/** An answer is held back if it is no longer than this, in bytes. */
const maxHeldBytes = 65_536;

const firstErrorStatus = 300;

const hopByHop = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade']);

const passedOn = (rawHeaders: readonly string[]): string[] => rawHeaders.filter((_, i) => {
	const name = rawHeaders[i - (i % 2)] ?? '';
	return !hopByHop.has(name.toLowerCase());
});

/** See the module's head. */
export class CallerAnswer {
	readonly #res: ServerResponse;
	readonly #isRepeatable: boolean;
	readonly #framer: EventFramer | undefined;
	#head: AnswerHead | undefined;
	#held: Buffer[] | undefined;

	constructor(res: ServerResponse, {isRepeatable, isStream, lastEventId = 0}: PassingRules) {
		this.#res = res;
		this.#isRepeatable = isRepeatable;
		this.#framer = isStream && isRepeatable ? new EventFramer(lastEventId) : undefined;
	}

	/** Whether the caller has got anything. */
	get hasBegun(): boolean {
		return this.#res.headersSent;
	}

	/** The status of the replica's answer; 0 before it has come. */
	get status(): number {
		return this.#head?.status ?? 0;
	}

	/** Whether another run can go on behind this one, also where the caller has part of it. */
	get canBeResumed(): boolean {
		return this.#framer !== undefined;
	}

	/** The last event that the caller has, where a stream can be resumed. */
	get lastEventId(): number | undefined {
		return this.#framer?.lastId;
	}

	/** False once an event was missing or came twice. */
	get isInOrder(): boolean {
		return this.#framer?.isInOrder ?? true;
	}

	/** Whether the stream ended within an event: the replica broke off, though it said that the answer was complete. */
	get endsWithinEvent(): boolean {
		return this.#framer !== undefined && this.#framer.hasRest && this.status < firstErrorStatus;
	}

	/** Takes the head of a run's answer. Of a later run of a stream the caller keeps the head of the first. */
	begin(head: AnswerHead): void {
		if (this.hasBegun) {
			return;
		}

		this.#head = head;
		const length = Number(head.headers['content-length'] ?? Number.NaN);
		this.#held = this.#isRepeatable && !this.#isEvents && length <= maxHeldBytes ? [] : undefined;
	}

	/** @param source - Paused while the caller does not read. */
	take(bytes: Buffer, source: Attempt | undefined): void {
		if (this.#held) {
			this.#held.push(bytes);
			return;
		}

		const passed = this.#isEvents ? this.#framer!.feed(bytes) : bytes;
		if (passed.length > 0) {
			this.#write(passed, source);
		}
	}

	/** Forgets what the caller has not got of a run that broke off. */
	dropRest(): void {
		this.#framer?.dropRest();
		this.#held = undefined;
	}

	/** The run's answer is whole. */
	finish(): void {
		this.#writeHead();
		this.#held?.forEach(bytes => {
			this.#res.write(bytes);
		});
		this.#res.end();
	}

	/** Answers without a body, by the gateway itself. */
	reply(status: number, headers: Readonly<Record<string, string>> = {}): void {
		this.#res.writeHead(status, {...headers, 'content-length': '0'});
		this.#res.end();
	}

	/** Breaks the connection, so that what the caller has can not be taken for whole. */
	cut(): void {
		this.#res.destroy();
	}

	get #isEvents(): boolean {
		return this.#framer !== undefined && this.#head !== undefined && this.#head.status < firstErrorStatus;
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
			this.#res.writeHead(status, statusMessage, passedOn(rawHeaders));
		}
	}
}
