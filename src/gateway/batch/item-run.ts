/**
One run of a batch item at a replica: from the event after those that are known to the end of the stream, or until the run is cut off for an online call.
*/
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {Clock, Disposable} from '../../common/services.js';
import {
	Attempt, type AnswerHead, type AttemptEnd, type AttemptTimeouts,
} from '../attempt.js';
import type {AttemptReachability} from '../contacts/replica-reachability.js';
import {EventFramer, isEventStream} from '../event-framer.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {Replica} from '../replica.js';
import type {CallDialect, CallerIdentity} from '../types.js';
import type {BatchItem} from './batch-records.js';

/**
What came of a run. `finished`: the whole text is known. `failed`: the replica answered that the run failed. `hopeless`: it answered that the item can never be done. `declined`: it has not run. `unreachable` and `misdirected`: nor that, since no connection could be made, or another replica has the address. `lost`: its connection broke. `broken`: the replica fell silent, or sent what cannot be used. After these two, what is known of the text can be gone on from.
*/
export type ItemRunEnd = 'finished' | 'failed' | 'hopeless' | 'declined' | 'unreachable' | 'misdirected' | 'lost' | 'broken' | 'cut';

/** Hears the end of a run, once. */
export type ItemRunListener = (end: ItemRunEnd, reason: string) => void;

/** What a run is made of. */
export type ItemRunParts = {
	readonly item: BatchItem;
	readonly replica: Replica;
	readonly connection: ReplicaConnection;
	readonly reachability: AttemptReachability;
	readonly clock: Clock;
	readonly dialect: CallDialect;
	/** See `Attempt`. */
	readonly isCurrent: () => boolean;
	/** Names and values by turns. */
	readonly headers: readonly string[];
	/** The data of the events that are known already. The run adds to them. */
	readonly events: string[];
	/** Whose item it is, where there are accounts. */
	readonly caller?: CallerIdentity;
	readonly onEnd: ItemRunListener;
};

/** An engine may be full of online calls for a second or two; a run without a byte for longer than this, in milliseconds, has lost its replica or its connection. */
const patience: AttemptTimeouts = {silenceMs: 2500, canGoElsewhere: true};

const lineEnd = /\r\n?/gv;

/** How every item is sent. */
export const itemMethod = 'POST';

const statusEnds: Readonly<Record<number, ItemRunEnd>> = {
	422: 'hopeless',
	500: 'failed',
};

const endsByAttempt: Readonly<Record<Exclude<AttemptEnd['kind'], 'complete'>, ItemRunEnd>> = {
	notSent: 'unreachable',
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
	readonly #framer: EventFramer;
	readonly #parser = createParser({
		onEvent: event => {
			this.#onEvent(event);
		},
	});

	#head: AnswerHead | undefined;
	/** Whether an event has come that does not follow the last one: it belongs to another run. */
	#hasStrayEvent = false;
	#isOver = false;

	constructor(parts: ItemRunParts) {
		const {
			item, replica, connection, reachability: contact, clock, dialect, isCurrent, headers, events, caller,
		} = parts;
		this.#parts = parts;
		this.replica = replica;
		this.#framer = new EventFramer(events.length);
		this.#attempt = new Attempt({
			connection,
			reachability: contact,
			clock,
			dialect,
			message: {
				method: itemMethod, target: item.path, headers, body: Buffer.from(item.body, 'base64'),
			},
			fields: {
				requestId: item.id, replica: replica.record.id, lastEventId: events.length, caller,
			},
			timeouts: patience,
			isEligible: isCurrent,
			listener: {
				onHead: head => {
					this.#head = head;
				},
				onBytes: bytes => {
					this.#onBytes(bytes);
				},
				onEnd: end => {
					this.#onAttemptEnd(end);
				},
			},
		});
	}

	/** Sends. The end may be told before this returns. */
	start(): void {
		this.#attempt.start();
	}

	/** Events known by now, those of earlier runs included. */
	get progress(): number {
		return this.#parts.events.length;
	}

	/** Cuts the run off; what it has brought stays. */
	dispose(): void {
		this.#attempt.dispose();
	}

	#onBytes(bytes: Buffer) {
		if (this.#isStream && !this.#hasStrayEvent) {
			// After a CR alone the parser waits for what comes next, and would never tell of the last event.
			this.#parser.feed(this.#framer.feed(bytes).toString().replaceAll(lineEnd, '\n'));
		}
	}

	/** Events count from 1 without gaps. */
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
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		if (end.kind === 'complete') {
			this.#parts.onEnd(this.#endOfAnswer(), `status ${this.#head?.status ?? 0}`);
			return;
		}

		this.#parts.onEnd(endsByAttempt[end.kind], 'reason' in end ? end.reason : end.kind);
	}

	#endOfAnswer(): ItemRunEnd {
		if (this.#isStream) {
			return this.#isWholeText ? 'finished' : 'broken';
		}

		return statusEnds[this.#head?.status ?? 0] ?? 'broken';
	}

	/** Only a length, or the mark of the last chunk, tells that a text is whole; a text without either may have been cut anywhere. */
	get #isWholeText(): boolean {
		const isInOrder = this.#framer.isInOrder && !this.#hasStrayEvent;
		return isInOrder && !this.#framer.hasPartialEvent && this.#head?.isFramed === true;
	}
}
