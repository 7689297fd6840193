/**
One run of a call at one replica: the attempt, the slot that it occupies, the head of its answer, and what its bytes show about the replica. `OnlineCall` has one at a time, and decides what follows when it has ended.
*/
import type {Buffer} from 'node:buffer';
import type {Disposable} from '../../common/services.js';
import type {GatewayParts} from '../parts.js';
import {StreamPace} from '../placement/stream-pace.js';
import {isEligible} from '../replica-eligibility.js';
import type {Replica} from '../replica.js';
import type {AttemptFields, GatewayServiceName, RequestSize} from '../types.js';
import {
	Attempt, type AnswerHead, type AttemptListener, type AttemptTimeouts, type CallMessage,
} from './attempt.js';
import type {OfferedReplica} from './replica-offers.js';

/** Parameters of a run. */
export type RunOfCall = {
	readonly offered: OfferedReplica;
	readonly service: GatewayServiceName;
	readonly message: CallMessage;
	readonly size?: RequestSize;
	readonly fields: AttemptFields;
	readonly timeouts: AttemptTimeouts;
	/** Whether the caller has had no byte yet, so that the time to the first one shows how long the prompt takes. */
	readonly isFirst: boolean;
	/** Whether the answer is a series of events, once its head has been received. */
	readonly isEventStream: () => boolean;
	readonly listener: AttemptListener;
};

/** See the module's head. */
export class ReplicaRun implements Disposable {
	readonly #parts: GatewayParts;
	readonly #run: RunOfCall;
	readonly #attempt: Attempt;
	readonly #pace: StreamPace;
	readonly #sentAt: number;
	/** Whether the replica had a free slot when the call was sent. */
	readonly #hadFreeSlot: boolean;
	readonly #releaseSlot: () => void;
	#hasBytes = false;
	#head: AnswerHead | undefined;

	/** Acquires the slot; {@link start} sends the call. */
	constructor(parts: GatewayParts, run: RunOfCall) {
		const {clock, dialect, loads, reachability} = parts;
		const {offered: {replica, connection}, message, fields, timeouts, listener} = run;
		this.#parts = parts;
		this.#run = run;
		this.#pace = new StreamPace(replica.pace, clock);
		this.#sentAt = clock.now();
		this.#hadFreeSlot = replica.total < replica.record.slots;
		this.#releaseSlot = loads.acquireSlot(replica, 'online');
		this.#attempt = new Attempt({
			connection,
			reachability: reachability.of(replica),
			clock,
			dialect,
			message,
			fields,
			timeouts,
			isEligible: () => isEligible(parts, replica),
			listener: {
				onHead: head => {
					this.#head = head;
					listener.onHead(head);
				},
				onBytes: bytes => {
					this.#observe(bytes);
					listener.onBytes(bytes);
				},
				onEnd: end => {
					this.#releaseSlot();
					listener.onEnd(end);
				},
			},
		});
	}

	get replica(): Replica {
		return this.#run.offered.replica;
	}

	/** The event after which the run was asked to resume. */
	get resumeAfter(): number | undefined {
		return this.#run.fields.lastEventId;
	}

	/** `undefined` until the replica has answered. */
	get head(): AnswerHead | undefined {
		return this.#head;
	}

	/** 0 until the replica has answered. */
	get status(): number {
		return this.#head?.status ?? 0;
	}

	get isOver(): boolean {
		return this.#attempt.isOver;
	}

	/** Sends the call. The listener may be called before this returns. */
	start(): void {
		this.#attempt.start();
	}

	pause(): void {
		this.#attempt.pause();
	}

	resume(): void {
		this.#attempt.resume();
	}

	/** See `Attempt`. */
	allowFailOver(): void {
		this.#attempt.allowFailOver();
	}

	/** The caller does not keep up, so the next gap does not show the replica's pace. */
	notePause(): void {
		this.#pace.notePause();
	}

	/** Records how long the call has occupied its slot, if it did not wait for one. To be called when it has been answered. */
	recordDuration(): void {
		const {serviceTimes, paces, clock} = this.#parts;
		if (this.#hadFreeSlot) {
			serviceTimes.recordDuration(this.#run.service, clock.now() - this.#sentAt, paces.factorOf(this.replica));
		}
	}

	/** See `Attempt`. */
	breakOff(reason: string): void {
		this.#attempt.breakOff(reason);
	}

	/** Closes the connection, so that the replica stops its work at once. */
	dispose(): void {
		this.#attempt.dispose();
	}

	#observe(bytes: Buffer) {
		if (this.status >= 300 || !this.#run.isEventStream()) {
			return;
		}

		if (this.#hadFreeSlot && this.#run.isFirst && !this.#hasBytes) {
			this.#parts.serviceTimes.recordFirstToken(this.replica, this.#parts.clock.now() - this.#sentAt, this.#run.size);
		}

		this.#hasBytes = true;
		this.#pace.noteChunk(bytes);
	}
}
