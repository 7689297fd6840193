/**
Cuts a stream of server-sent events at event boundaries, without changing a byte. A caller must never see the head of an event from one run and its tail from another, so a stream that may be taken up again passes on whole events only, and remembers the last one.
*/
import {Buffer} from 'node:buffer';
import type {AnswerHead} from './attempt.js';

const okStatus = 200;

const eventsType = 'text/event-stream';

const plainEncoding = 'identity';

/** Whether an answer is a stream of events that can be read; those of an encoded one can not. */
export const isEventStream = ({status, headers}: Pick<AnswerHead, 'status' | 'headers'>): boolean => {
	const type = String(headers['content-type'] ?? '').toLowerCase();
	const encoding = String(headers['content-encoding'] ?? plainEncoding).toLowerCase();
	return status === okStatus && type.startsWith(eventsType) && encoding === plainEncoding;
};

/** Blank lines, by the line ends that servers use: the end of the line before, and their own. */
const boundaries = ['\n\n', '\n\r\n', '\r\r'];

const betweenEvents = /\n\n|\n\r\n|\r\r/v;

const idPattern = /^id: ?(?<id>\d+)$/mv;

const allIds = new RegExp(idPattern, 'gmv');

/** A line, or the beginning of one, that is neither blank nor a comment. */
const fieldPattern = /^[^:\r\n]/mv;

const dataPattern = /^data/mv;

const empty: Buffer = Buffer.alloc(0);

/** Where the last whole event ends; 0 if none does. */
const endOfEvents = (bytes: Buffer | string): number => Math.max(...boundaries.map(boundary => {
	const at = bytes.lastIndexOf(boundary);
	return at === -1 ? 0 : at + boundary.length;
}));

/** Whether these are the bytes of one event, as they usually come; it spares the search for others. */
const isOneEvent = (text: string): boolean => text.indexOf('\n\n') === text.length - 2;

/** The numbers of the events in the text, in their order. */
const numbersIn = (text: string): number[] => {
	const matches = isOneEvent(text) ? [idPattern.exec(text)] : [...text.matchAll(allIds)];
	return matches.filter(match => match !== null).map(({groups}) => Number(groups?.id));
};

/** A blank line and the end of the line before have this many bytes at most, so one that is cut in two begins among as many but one. */
const seamLength = 2;

/** Follows a stream that is passed on as it comes, and keeps a few bytes of it. */
export class EventBoundaryTracker {
	/** What has come after the last whole event, shortened to what tells how it goes on. */
	#rest = '';

	/** Whether the stream so far ends within an event. */
	get isWithinEvent(): boolean {
		return fieldPattern.test(this.#rest);
	}

	/** Takes the next bytes. */
	feed(bytes: Buffer): void {
		const all = this.#rest + bytes.toString('latin1');
		const rest = all.slice(endOfEvents(all));
		this.#rest = rest.length > seamLength ? shortened(rest) : rest;
	}
}

/** The first character of a field or a comment, and the line ends after it. */
const shortened = (rest: string): string => (fieldPattern.test(rest) ? 'd' : ':') + rest.slice(-seamLength).replace(/^[\s\S]*[^\r\n]/v, '');

/** Follows one stream over all its runs. */
export class EventFramer {
	readonly #firstId: number;
	/** What has come after the last whole event, in its pieces: put together with each of them, an event of many would cost the square of its length. */
	#rest: Buffer[] = [];
	/** The last bytes of that, as far as a blank line may have begun there. */
	#seam: Buffer = empty;
	#lastId: number;
	#isInOrder = true;
	#isNumbered = true;
	/** Whether it is known that the run under way goes on where the caller stopped. */
	#isPlaced = true;

	/** @param lastId - The last event that the caller has already. */
	constructor(lastId: number) {
		this.#firstId = lastId;
		this.#lastId = lastId;
	}

	/** The id of the last event that was passed on. */
	get lastId(): number {
		return this.#lastId;
	}

	/** False once an event was missing or came twice; what followed was held back. */
	get isInOrder(): boolean {
		return this.#isInOrder;
	}

	/** Whether all events so far bore a number, so that it is known where another run has to go on. */
	get isNumbered(): boolean {
		return this.#isNumbered;
	}

	/** What has come after the last whole event. */
	get remainder(): Buffer {
		return Buffer.concat(this.#rest);
	}

	/** Whether part of an event is held back. Blank lines and comments at the end of a stream are none. */
	get hasPartialEvent(): boolean {
		return fieldPattern.test(this.remainder.toString('latin1'));
	}

	/** Another run goes on. Only its first number shows where, so what comes before that is held back. */
	startNextRun(): void {
		this.discardRemainder();
		this.#isPlaced = this.#lastId === this.#firstId;
	}

	/** @returns The bytes up to the end of the last whole event; may be empty. */
	feed(bytes: Buffer): Buffer {
		const searched = this.#seam.length > 0 ? Buffer.concat([this.#seam, bytes]) : bytes;
		const end = endOfEvents(searched);
		this.#rest.push(bytes);
		if (end === 0) {
			this.#seam = searched.subarray(-seamLength);
			return empty;
		}

		const all = this.#rest.length > 1 ? this.remainder : bytes;
		const whole = this.#placed(all.subarray(0, all.length - searched.length + end));
		this.#keepRest(all.subarray(whole.length));
		this.#isInOrder &&= this.#follow(whole);
		return this.#isInOrder ? whole : empty;
	}

	/** Forgets part of an event: its run has ended, and the next begins with the event anew. */
	discardRemainder(): void {
		this.#keepRest(empty);
	}

	#keepRest(rest: Buffer) {
		this.#rest = rest.length > 0 ? [rest] : [];
		this.#seam = rest.subarray(-seamLength);
	}

	#placed(whole: Buffer): Buffer {
		this.#isPlaced ||= idPattern.test(whole.toString('latin1'));
		return this.#isPlaced ? whole : empty;
	}

	#follow(whole: Buffer): boolean {
		const text = whole.toString('latin1');
		const ids = numbersIn(text);
		const isInOrder = ids.every((id, i) => id === this.#lastId + i + 1);
		if (isInOrder) {
			this.#lastId += ids.length;
		}

		this.#isNumbered &&= (isOneEvent(text) && ids.length > 0) || text.split(betweenEvents).filter(event => dataPattern.test(event)).length <= ids.length;
		return isInOrder;
	}
}
