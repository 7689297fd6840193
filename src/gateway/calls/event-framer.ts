/**
Splits a stream of server-sent events at event boundaries, without changing a byte. A caller must never receive the head of an event from one run and its tail from another, so only complete events of a resumable stream are forwarded, and the id of the last one is recorded.
*/
import {Buffer} from 'node:buffer';
import type {AnswerHead} from './attempt.js';

const okStatus = 200;

const eventsType = 'text/event-stream';

const identityEncoding = 'identity';

/** Whether an answer is a readable stream of events; a compressed stream is not. */
export const isEventStream = ({status, headers}: Pick<AnswerHead, 'status' | 'headers'>): boolean => {
	const type = String(headers['content-type'] ?? '').toLowerCase();
	const encoding = String(headers['content-encoding'] ?? identityEncoding).toLowerCase();
	return status === okStatus && type.startsWith(eventsType) && encoding === identityEncoding;
};

/** Blank lines in each of the line-end conventions: the end of the preceding line, followed by their own. */
export const eventBoundaries = ['\n\n', '\n\r\n', '\r\r'];

const betweenEvents = /\n\n|\n\r\n|\r\r/v;

const idPattern = /^id: ?(?<id>\d+)$/mv;

const allIds = new RegExp(idPattern, 'gmv');

/** A line, or the start of one, that is neither blank nor a comment. */
const fieldPattern = /^[^:\r\n]/mv;

const dataPattern = /^data/mv;

const empty: Buffer = Buffer.alloc(0);

/** Offset of the end of the last complete event; 0 if there is none. */
const endOfEvents = (bytes: Buffer | string): number => Math.max(...eventBoundaries.map(boundary => {
	const at = bytes.lastIndexOf(boundary);
	return at === -1 ? 0 : at + boundary.length;
}));

/** Whether the text is exactly one event, which is the usual case and saves the search for others. */
const isOneEvent = (text: string): boolean => text.indexOf('\n\n') === text.length - 2;

/** The ids of the events in the text, in order. */
const eventIds = (text: string): number[] => {
	const matches = isOneEvent(text) ? [idPattern.exec(text)] : [...text.matchAll(allIds)];
	return matches.filter(match => match !== null).map(({groups}) => Number(groups?.id));
};

/** A boundary has at most three bytes, so one that is split between two chunks starts within the last two bytes of the first. */
const boundaryTailLength = 2;

/** Tracks whether a stream that is forwarded as it arrives is within an event; retains a few bytes of it. */
export class EventBoundaryTracker {
	/** What arrived after the last complete event, abridged to what determines how the next bytes are read. */
	#remainder = '';

	/** Whether the stream so far ends within an event. */
	get isWithinEvent(): boolean {
		return fieldPattern.test(this.#remainder);
	}

	/** Processes the next bytes. */
	feed(bytes: Buffer): void {
		const all = this.#remainder + bytes.toString('latin1');
		const rest = all.slice(endOfEvents(all));
		this.#remainder = rest.length > boundaryTailLength ? abridged(rest) : rest;
	}
}

/** Stands in for a longer text: one character for a field or for a comment, then the line ends at the end of the text. */
const abridged = (rest: string): string => (fieldPattern.test(rest) ? 'd' : ':') + rest.slice(-boundaryTailLength).replace(/^[\s\S]*[^\r\n]/v, '');

/** Maximum size of one event, in bytes: as much as an answer that lists results may have. */
const maxEventBytes = 1_048_576;

/** Splits one stream across all its runs. */
export class EventFramer {
	readonly #firstId: number;
	/** Chunks that arrived after the last complete event. Joining them on each arrival would make the cost of an event of many chunks quadratic in its length. */
	#pending: Buffer[] = [];
	#pendingBytes = 0;
	/** The last bytes of these chunks, in which a boundary may have started. */
	#boundaryTail: Buffer = empty;
	#lastId: number;
	#isInOrder = true;
	#isNumbered = true;
	/** Whether the current run is known to continue where the caller's events end. */
	#isAligned = true;

	/** @param lastId - Id of the last event that the caller has already. */
	constructor(lastId: number) {
		this.#firstId = lastId;
		this.#lastId = lastId;
	}

	/** The id of the last event that was forwarded. */
	get lastId(): number {
		return this.#lastId;
	}

	/** False once an event was missing or duplicated; everything from then on is held back. */
	get isInOrder(): boolean {
		return this.#isInOrder;
	}

	/** Whether all events so far had a numeric id, so that it is known where another run has to continue. */
	get isNumbered(): boolean {
		return this.#isNumbered;
	}

	/** Whether an event has become longer than any may be. */
	get isEventTooLong(): boolean {
		return this.#pendingBytes > maxEventBytes;
	}

	/** The bytes that arrived after the last complete event. */
	get remainder(): Buffer {
		return Buffer.concat(this.#pending);
	}

	/** Whether part of an event is held back. Blank lines and comments at the end of a stream do not count. */
	get hasPartialEvent(): boolean {
		return fieldPattern.test(this.remainder.toString('latin1'));
	}

	/** Starts the next run. Only its first id shows where it continues, so bytes before that are held back. */
	startNextRun(): void {
		this.discardRemainder();
		this.#isAligned = this.#lastId === this.#firstId;
	}

	/** @returns The bytes up to the end of the last complete event; may be empty. */
	feed(bytes: Buffer): Buffer {
		const searched = this.#boundaryTail.length > 0 ? Buffer.concat([this.#boundaryTail, bytes]) : bytes;
		const end = endOfEvents(searched);
		this.#pending.push(bytes);
		this.#pendingBytes += bytes.length;
		if (end === 0) {
			this.#boundaryTail = searched.subarray(-boundaryTailLength);
			return empty;
		}

		const all = this.#pending.length > 1 ? this.remainder : bytes;
		const completeEvents = this.#whenAligned(all.subarray(0, all.length - searched.length + end));
		this.#setRemainder(all.subarray(completeEvents.length));
		this.#isInOrder &&= this.#recordIds(completeEvents);
		return this.#isInOrder ? completeEvents : empty;
	}

	/** Discards a partial event: its run has ended, and the next one starts with that event again. */
	discardRemainder(): void {
		this.#setRemainder(empty);
	}

	#setRemainder(rest: Buffer) {
		this.#pending = rest.length > 0 ? [rest] : [];
		this.#pendingBytes = rest.length;
		this.#boundaryTail = rest.subarray(-boundaryTailLength);
	}

	#whenAligned(completeEvents: Buffer): Buffer {
		this.#isAligned ||= idPattern.test(completeEvents.toString('latin1'));
		return this.#isAligned ? completeEvents : empty;
	}

	#recordIds(completeEvents: Buffer): boolean {
		const text = completeEvents.toString('latin1');
		const ids = eventIds(text);
		const isInOrder = ids.every((id, i) => id === this.#lastId + i + 1);
		if (isInOrder) {
			this.#lastId += ids.length;
		}

		this.#isNumbered &&= (isOneEvent(text) && ids.length > 0) || text.split(betweenEvents).filter(event => dataPattern.test(event)).length <= ids.length;
		return isInOrder;
	}
}
