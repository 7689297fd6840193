/**
One run of a batch item at a replica. It resumes after the last event received by earlier runs and lasts until the end of the stream, or until it is preempted by an online call.
*/
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {
	Clock, Disposable, EventLog, Metrics,
} from '../../common/services.js';
import {
	Attempt, type AnswerHead, type AttemptEnd, type AttemptTimeouts,
} from '../calls/attempt.js';
import type {AttemptReachability} from '../contacts/replica-reachability.js';
import {EventFramer, isEventStream} from '../calls/event-framer.js';
import {RequestGuard} from '../calls/request-guard.js';
import {StreamPace} from '../placement/stream-pace.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {Replica} from '../replica.js';
import type {CallDialect, CallerIdentity} from '../types.js';
import type {BatchItem} from './batch-records.js';

/**
The outcome of a run. `finished`: the text is complete. `failed`: the replica answered that the run failed. `hopeless`: the item can never succeed, as the replica answered, or since it is no request that can be sent. `declined`: it did not run the item. `unreachable`: the item was not run, since no connection could be made. `misdirected`: it was not run, since another replica has the address. `lost`: the connection broke. `broken`: the replica became unresponsive, or sent unusable data. `endless`: it sent more than an item can have, so that the text is worth nothing. After `lost` and `broken`, the next run can resume from the text received so far. `cut`: this process cancelled the run.
*/
export type ItemRunEnd = 'finished' | 'failed' | 'hopeless' | 'declined' | 'unreachable' | 'misdirected' | 'lost' | 'broken' | 'endless' | 'cut';

/** Called once, at the end of a run. */
export type ItemRunListener = (end: ItemRunEnd, reason: string) => void;

/** Dependencies and parameters of a run. */
export type ItemRunParts = {
	readonly item: BatchItem;
	readonly replica: Replica;
	readonly connection: ReplicaConnection;
	readonly reachability: AttemptReachability;
	readonly clock: Clock;
	readonly dialect: CallDialect;
	/** See `Attempt`. */
	readonly isEligible: () => boolean;
	/** Names and values, alternating. */
	readonly headers: readonly string[];
	/** The data of the events received so far. The run appends to them. */
	readonly events: string[];
	/** The owner of the item, if there are accounts. */
	readonly caller?: CallerIdentity;
	/** Called for each chunk of a stream. */
	readonly onChunk: () => void;
	/** Whether the replica has ended since the item was sent. */
	readonly hasReplicaEnded: () => Promise<boolean>;
	readonly onEnd: ItemRunListener;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** An engine may be full of online calls for a second or two; a run that receives no byte for longer than `silenceMs` has lost its replica or its connection. */
const timeouts: AttemptTimeouts = {silenceMs: 2500, canFailOver: true};

/** Bytes may arrive for this long, in milliseconds, without an event being complete: comments, or an event without an end. */
const maxEventGapMs = 10_000;

/** The text of an answer that is no stream is of no use, and is received for this long at most, in milliseconds, and up to this many bytes. */
const otherAnswerMs = 2500;
const maxOtherAnswerBytes = 1_048_576;

/** The maximum size of an item's text, in characters: more than an answer can list. */
const maxTextLength = 4_194_304;

const lineEnd = /\r\n?/gv;

/** The HTTP method with which every item is sent. */
export const itemMethod = 'POST';

const statusEnds: Readonly<Record<number, ItemRunEnd>> = {
	422: 'hopeless',
	500: 'failed',
};

const endsByAttempt: Readonly<Record<Exclude<AttemptEnd['kind'], 'complete'>, ItemRunEnd>> = {
	notSent: 'unreachable',
	unsendable: 'hopeless',
	refused: 'declined',
	misdirected: 'misdirected',
	silent: 'broken',
	cutOff: 'broken',
	lost: 'lost',
	outdated: 'cut',
	dropped: 'cut',
};

/** See the module's head. */
export class ItemRun implements Disposable {
	readonly replica: Replica;
	readonly #parts: ItemRunParts;
	readonly #attempt: Attempt;
	readonly #pace: StreamPace;
	readonly #framer: EventFramer;
	readonly #parser = createParser({
		onEvent: event => {
			this.#onEvent(event);
		},
	});

	/** The number of events that earlier runs have received. */
	readonly #resumedAfter: number;
	#head: AnswerHead | undefined;
	/** Whether an event was received that does not follow the last one: it belongs to another run. */
	#hasStrayEvent = false;
	#hasEnded = false;
	#isReported = false;
	#textLength: number;
	#otherBytes = 0;
	/** Ends an answer that goes on without bringing the item further. */
	#progressTimer: NodeJS.Timeout | undefined;
	readonly #guard: RequestGuard;

	constructor(parts: ItemRunParts) {
		const {
			item, replica, connection, reachability, clock, dialect, isEligible, headers, events, caller,
		} = parts;
		this.#parts = parts;
		this.replica = replica;
		this.#pace = new StreamPace(replica.pace, clock);
		this.#resumedAfter = events.length;
		this.#textLength = events.reduce((sum, event) => sum + event.length, 0);
		this.#framer = new EventFramer(events.length);
		this.#guard = new RequestGuard(parts, {kind: 'item', id: () => item.id}, () => {
			this.#endByDefect();
		});
		this.#attempt = new Attempt({
			connection,
			reachability,
			clock,
			dialect,
			message: {
				method: itemMethod, target: item.path, headers, body: Buffer.from(item.body, 'base64'),
			},
			fields: {
				requestId: item.id, replica: replica.record.id, lastEventId: events.length, caller,
			},
			timeouts,
			isEligible,
			listener: {
				onHead: head => {
					this.#head = head;
					this.#awaitProgress();
				},
				onBytes: this.#guard.wrap(bytes => {
					this.#onBytes(bytes);
				}),
				onEnd: this.#guard.wrap(end => {
					this.#onAttemptEnd(end);
				}),
			},
		});
	}

	/** Sends the item. The listener of the end may be called before this returns. */
	start(): void {
		this.#attempt.start();
	}

	/** The number of events received so far, including those of earlier runs. */
	get progress(): number {
		return this.#parts.events.length;
	}

	/** Cancels the run; the events received so far are retained. */
	dispose(): void {
		this.#attempt.dispose();
	}

	#onBytes(bytes: Buffer) {
		if (!this.#isStream) {
			this.#discard(bytes);
			return;
		}

		this.#parts.onChunk();
		this.#pace.noteChunk(bytes);

		if (!this.#hasStrayEvent) {
			// After a lone CR the parser waits for the next character, and would never emit the last event.
			this.#parser.feed(this.#framer.feed(bytes).toString().replaceAll(lineEnd, '\n'));
		}

		if (this.#framer.isEventTooLong) {
			this.#endEarly('broken', 'an event without an end');
		}
	}

	#discard(bytes: Buffer) {
		this.#otherBytes += bytes.length;
		if (this.#otherBytes > maxOtherAnswerBytes) {
			this.#endEarly(this.#endOfAnswer(), `status ${this.#head?.status ?? 0} without an end`);
		}
	}

	/** Starts to wait for the next event, or for the end of an answer that is no stream. */
	#awaitProgress() {
		clearTimeout(this.#progressTimer);
		this.#progressTimer = setTimeout(this.#guard.wrap(() => {
			this.#endEarly(this.#isStream ? 'broken' : this.#endOfAnswer(), 'the answer goes on without bringing the item further');
		}), this.#isStream ? maxEventGapMs : otherAnswerMs);
	}

	/** Closes the connection, so that the replica stops its work at once. */
	#endEarly(end: ItemRunEnd, reason: string) {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		this.#attempt.dispose();
		this.#report(end, reason);
	}

	/** The ids of events count from 1 without gaps. */
	#onEvent({id, data}: EventSourceMessage) {
		if (this.#hasEnded) {
			return;
		}

		const {events} = this.#parts;
		this.#hasStrayEvent ||= Number(id) !== events.length + 1;
		if (this.#hasStrayEvent) {
			return;
		}

		events.push(data);
		this.#textLength += data.length;
		this.#progressTimer?.refresh();
		if (this.#isTextTooLong) {
			events.length = 0;
			this.#endEarly('endless', 'more events or text than an item can have');
		}
	}

	/** An event brings one token at least, and an item states its tokens, those of its prompt included. */
	get #isTextTooLong(): boolean {
		const {item: {tokens}, events} = this.#parts;
		return this.#textLength > maxTextLength || (tokens > 0 && events.length > tokens);
	}

	get #isStream(): boolean {
		return this.#head !== undefined && isEventStream(this.#head);
	}

	#onAttemptEnd(end: AttemptEnd) {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		if (end.kind === 'complete') {
			this.#guard.run(async () => this.#handleEndOfAnswer());
			return;
		}

		this.#report(endsByAttempt[end.kind], 'reason' in end ? end.reason : end.kind);
	}

	/** The system closes the connections of a process that has crashed in the regular way, so an answer without a length may have ended with its replica. */
	async #handleEndOfAnswer() {
		if (this.#head?.isFramed === false && await this.#parts.hasReplicaEnded()) {
			this.#report('lost', 'the replica ended with its answer');
			return;
		}

		this.#report(this.#endOfAnswer(), `status ${this.#head?.status ?? 0}`);
	}

	/** Counts as a failed run: an item whose handling fails each time is given up in the end. */
	#endByDefect() {
		if (!this.#isReported) {
			this.#hasEnded = true;
			this.#attempt.dispose();
			this.#report('failed', 'its handling broke an invariant');
		}
	}

	#report(end: ItemRunEnd, reason: string) {
		this.#isReported = true;
		clearTimeout(this.#progressTimer);
		this.#parts.onEnd(end, reason);
	}

	#endOfAnswer(): ItemRunEnd {
		if (this.#isStream) {
			return this.#isTextComplete ? 'finished' : 'broken';
		}

		return statusEnds[this.#head?.status ?? 0] ?? 'broken';
	}

	/** A content length or a terminating chunk proves that a text is complete. Without either it may have been truncated anywhere, until a run that was asked for the rest ends without an event. */
	get #isTextComplete(): boolean {
		const isInOrder = this.#framer.isInOrder && !this.#hasStrayEvent && !this.#framer.hasPartialEvent;
		return isInOrder && (this.#head?.isFramed === true || this.#isEndConfirmed);
	}

	get #isEndConfirmed(): boolean {
		return this.#resumedAfter > 0 && this.progress === this.#resumedAfter;
	}
}
