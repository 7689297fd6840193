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
The outcome of a run. `finished`: the text is complete. `failed`: the replica answered that the run failed. `hopeless`: the item can never succeed, as the replica answered, or since it is no request that can be sent. `declined`: it did not run the item. `unreachable`: the item was not run, since no connection could be made. `misdirected`: it was not run, since another replica has the address. `lost`: the connection broke. `broken`: the replica became unresponsive, or sent unusable data. After `lost` and `broken`, the next run can resume from the text received so far. `cut`: this process cancelled the run.
*/
export type ItemRunEnd = 'finished' | 'failed' | 'hopeless' | 'declined' | 'unreachable' | 'misdirected' | 'lost' | 'broken' | 'cut';

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
	readonly #guard: RequestGuard;

	constructor(parts: ItemRunParts) {
		const {
			item, replica, connection, reachability, clock, dialect, isEligible, headers, events, caller,
		} = parts;
		this.#parts = parts;
		this.replica = replica;
		this.#pace = new StreamPace(replica.pace, clock);
		this.#resumedAfter = events.length;
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
				},
				onBytes: bytes => {
					this.#guard.run(() => {
						this.#onBytes(bytes);
					});
				},
				onEnd: end => {
					this.#guard.run(() => {
						this.#onAttemptEnd(end);
					});
				},
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
		if (this.#isStream) {
			this.#parts.onChunk();
			this.#pace.noteChunk(bytes);
		}

		if (this.#isStream && !this.#hasStrayEvent) {
			// After a lone CR the parser waits for the next character, and would never emit the last event.
			this.#parser.feed(this.#framer.feed(bytes).toString().replaceAll(lineEnd, '\n'));
		}
	}

	/** The ids of events count from 1 without gaps. */
	#onEvent({id, data}: EventSourceMessage) {
		const {events} = this.#parts;
		this.#hasStrayEvent ||= Number(id) !== events.length + 1;
		if (!this.#hasStrayEvent) {
			events.push(data);
		}
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
