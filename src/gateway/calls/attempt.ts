/**
One attempt at running a call on a replica: the request on one connection, and its outcome. The outcome separates attempts that certainly did not run the call from those where only the replica knows whether it ran; a caller may be told only of the former that the call has not run. Online calls and batch items both use it.
*/
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {Clock, Disposable} from '../../common/services.js';
import {isBeforeSending, isInvalidRequest} from '../../io/http-client.js';
import type {AttemptReachability} from '../contacts/replica-reachability.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {AnswerFields, AttemptFields, CallDialect} from '../types.js';
import {headerStrings} from './header-bytes.js';

/** The request as it is sent, identical for each attempt of a call. */
export type CallMessage = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** The caller's headers, as alternating names and values. */
	readonly headers: readonly string[];
	readonly body?: Buffer;
};

/** The head of a replica's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Decoded as UTF-8; see `reasonBytes`. */
	readonly statusMessage: string;
	/** Alternating names and values, as the replica sent them, with one character for each byte. */
	readonly rawHeaders: string[];
	/** Keyed by lower-case name. */
	readonly headers: NodeJS.Dict<string | string[]>;
	/** False when only the end of the connection delimits the answer. */
	readonly isFramed: boolean;
};

/**
How an attempt ended.

`notSent`: no byte of the call can have reached the replica. `unsendable`: the request is one that no replica can be sent. `refused`: the replica states that it has not run the call. `misdirected`: the address belongs to another replica. `silent`, `cutOff` and `lost`: only the replica knows whether the call ran; `silent` means that the inactivity time-out expired, `cutOff` that the replica can no longer be reached. `outdated`: no byte was sent, because the replica may have left while the connection was being made. `complete`: the complete answer was received. `dropped`: the attempt was disposed of by this process.
*/
export type AttemptEnd
	= | {readonly kind: 'notSent'; readonly reason: string}
		| {readonly kind: 'unsendable'; readonly reason: string}
		| {readonly kind: 'refused'; readonly status: number}
		| {readonly kind: 'misdirected'}
		| {readonly kind: 'silent'; readonly reason: string}
		| {readonly kind: 'cutOff'; readonly reason: string}
		| {readonly kind: 'lost'; readonly reason: string}
		| {readonly kind: 'outdated'}
		| {readonly kind: 'complete'}
		| {readonly kind: 'dropped'};

/** Receives the events of an attempt: head, bytes and end, in this order; `onEnd` is called exactly once. */
export type AttemptListener = {
	onHead(head: AnswerHead): void;
	onBytes(bytes: Buffer): void;
	onEnd(end: AttemptEnd): void;
};

/** When an attempt is aborted for lack of data. */
export type AttemptTimeouts = {
	/** Milliseconds without a byte, counted from when the request was sent. */
	readonly silenceMs: number;
	/** Whether the call can continue at another replica, so that nothing is gained by waiting for one that cannot be reached. Any other call waits: its replica's answer may still arrive. */
	readonly canFailOver: boolean;
};

/** The part of a replica's connection that an attempt uses. */
export type AttemptConnection = Pick<ReplicaConnection, 'isNew' | 'dispatch' | 'release' | 'discard' | 'closeIdleSiblings'>;

/** Dependencies and parameters of an attempt. */
export type AttemptParts = {
	readonly connection: AttemptConnection;
	readonly reachability: AttemptReachability;
	readonly clock: Clock;
	readonly dialect: CallDialect;
	readonly message: CallMessage;
	readonly fields: AttemptFields;
	readonly timeouts: AttemptTimeouts;
	/** Whether the replica may still be sent work; checked again once a new connection has been made. */
	readonly isEligible: () => boolean;
	readonly listener: AttemptListener;
};

const misdirectedStatus = 421;

/** Maximum size of the text of a refusal, which nobody reads, in bytes. */
const maxDiscardedBytes = 65_536;

/** Share of the inactivity time-out in which this process must have been running. The rest may have passed in pauses of the process, during which the replica could have answered. */
const minRunningShare = 1 / 2;

/** A single attempt: started once, and over after its listener's `onEnd`. */
export class Attempt implements Disposable {
	readonly #parts: AttemptParts;
	#connectTimer: NodeJS.Timeout | undefined;
	#inactivityTimer: NodeJS.Timeout | undefined;
	/** Milliseconds without a byte while this process was running; counted in steps, when the timer fires. */
	#inactiveMs = 0;
	/** When the last byte arrived, in milliseconds on the monotonic clock. */
	#lastByteAt = 0;
	#controller: Dispatcher.DispatchController | undefined;
	#isSent = false;
	#isOver = false;
	#canFailOver: boolean;
	#refusal: AttemptEnd | undefined;
	#discardedBytes = 0;

	constructor(parts: AttemptParts) {
		this.#parts = parts;
		this.#canFailOver = parts.timeouts.canFailOver;
	}

	get isOver(): boolean {
		return this.#isOver;
	}

	/** Sends the request. `onEnd` may be called before this returns. */
	start(): void {
		const connectTimeoutMs = Math.round(this.#parts.reachability.connectTimeoutMs);
		this.#connectTimer = setTimeout(() => {
			// After a pause of this process, the connection may have been made but not been handled yet: the event loop runs timers before sockets.
			setImmediate(() => {
				if (!this.#isSent) {
					this.#abort({kind: 'notSent', reason: `no connection within ${connectTimeoutMs} ms`});
				}
			});
		}, connectTimeoutMs);
		this.#send();
	}

	/** From now on, a replica that cannot be reached ends the attempt: the call can continue elsewhere. */
	allowFailOver(): void {
		this.#canFailOver = true;
	}

	/** Stops reading until `resume`, so that a slow caller does not fill this process's memory. */
	pause(): void {
		this.#controller?.pause();
		clearTimeout(this.#inactivityTimer);
		this.#inactivityTimer = undefined;
		this.#inactiveMs = 0;
	}

	resume(): void {
		this.#controller?.resume();
		this.#restartInactivityTimer();
	}

	/** Ends the attempt as one whose answer was lost, since what the replica sends cannot be used. */
	breakOff(reason: string): void {
		this.#abort({kind: 'lost', reason});
	}

	/** Closes the connection, so that the replica stops its work at once. */
	dispose(): void {
		this.#abort({kind: 'dropped'});
	}

	#send() {
		const {
			connection, dialect, message, fields, reachability, clock,
		} = this.#parts;
		const startedAt = clock.now();
		const {isNew} = connection;
		const headers = dialect.toReplica(message.headers, fields);
		connection.dispatch({
			path: message.target,
			method: message.method,
			headers,
			body: message.body && message.body.length > 0 ? message.body : undefined,
		}, {
			onRequestStart: controller => {
				if (isNew && !this.#parts.isEligible()) {
					this.#abort({kind: 'outdated'});
					controller.abort(new Error('the replica may have left while the connection was being made'));
					return;
				}

				this.#controller = controller;
				this.#isSent = true;
				clearTimeout(this.#connectTimer);
				if (isNew) {
					reachability.noteConnected(clock.now() - startedAt);
				}

				this.#restartInactivityTimer();
			},
			onResponseStart: (controller, status, answerHeaders, statusMessage) => {
				this.#onHead(status, answerHeaders, headerStrings(controller.rawHeaders as unknown as Buffer[]), statusMessage ?? '');
			},
			onResponseData: (_controller, bytes) => {
				this.#onBytes(bytes);
			},
			onResponseEnd: () => {
				this.#onResponseEnd();
			},
			onResponseError: (_controller, err) => {
				this.#onError(err);
			},
		});
	}

	#restartInactivityTimer() {
		if (this.#isOver) {
			return;
		}

		this.#inactiveMs = 0;
		this.#lastByteAt = this.#parts.clock.now();
		if (this.#inactivityTimer) {
			this.#inactivityTimer.refresh();
			return;
		}

		const {timeouts: {silenceMs}, reachability: {probeAfterMs}} = this.#parts;
		const stepMs = Math.min(probeAfterMs, silenceMs);
		this.#inactivityTimer = setTimeout(() => {
			this.#inactiveMs += stepMs;
			// Data that arrived during a pause of this process is handled first.
			setImmediate(() => {
				this.#onInactivity();
			});
		}, stepMs);
	}

	#onInactivity() {
		const {silenceMs} = this.#parts.timeouts;
		if (this.#isOver || this.#inactiveMs === 0) {
			return;
		}

		if (this.#isInactiveFor(silenceMs)) {
			this.#abort({kind: 'silent', reason: `no byte within ${silenceMs} ms`});
			return;
		}

		this.#inactivityTimer?.refresh();
		void this.#checkReachability();
	}

	#isInactiveFor(ms: number): boolean {
		const elapsedMs = this.#parts.clock.now() - this.#lastByteAt;
		return this.#inactiveMs >= ms || (this.#inactiveMs >= minRunningShare * ms && elapsedMs >= ms);
	}

	/** Checked for a call that cannot fail over, too: its replica must get no further calls. */
	async #checkReachability() {
		const isReachable = await this.#parts.reachability.isReachable();
		if (!isReachable && this.#inactiveMs > 0 && this.#canFailOver) {
			this.#abort({kind: 'cutOff', reason: `no byte within ${Math.round(this.#inactiveMs)} ms, and no connection can be made`});
		}
	}

	#onHead(status: number, headers: NodeJS.Dict<string | string[]>, rawHeaders: string[], statusMessage: string) {
		if (this.#isOver || status < 200) {
			return;
		}

		this.#onActivity();
		const fields = this.#parts.dialect.readAnswer(status, headers);
		if (!this.#isOwnAnswer(fields)) {
			// A replica may send a second answer late, in the place of the next one. From then on, the connection's answers no longer match its requests.
			this.#abort({kind: 'lost', reason: 'the answer belongs to another call'});
			return;
		}

		this.#refusal = this.#refusalOf(status, fields);
		if (this.#refusal) {
			return;
		}

		this.#parts.listener.onHead({
			status, statusMessage, rawHeaders, headers, isFramed: headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined,
		});
	}

	#isOwnAnswer({requestId}: AnswerFields): boolean {
		return requestId === undefined || requestId === this.#parts.fields.requestId;
	}

	#refusalOf(status: number, {hasNotRun}: AnswerFields): AttemptEnd | undefined {
		if (status === misdirectedStatus) {
			return {kind: 'misdirected'};
		}

		return hasNotRun ? {kind: 'refused', status} : undefined;
	}

	#onBytes(bytes: Buffer) {
		if (this.#isOver) {
			return;
		}

		if (this.#refusal) {
			this.#discard(bytes);
			return;
		}

		this.#onActivity();
		this.#parts.listener.onBytes(bytes);
	}

	/** The connection of a refusal can carry the next call, unless its text does not end. */
	#discard(bytes: Buffer) {
		this.#discardedBytes += bytes.length;
		if (this.#discardedBytes > maxDiscardedBytes) {
			this.#abort({kind: 'lost', reason: 'a refusal without an end'});
		}
	}

	#onActivity() {
		this.#parts.reachability.noteBytes();
		this.#restartInactivityTimer();
	}

	#onResponseEnd() {
		if (this.#isOver) {
			return;
		}

		this.#parts.connection.release();
		this.#end(this.#refusal ?? {kind: 'complete'});
	}

	#onError(err: Error) {
		const reason = (err as {code?: string}).code ?? err.message;
		if (!this.#isSent && isInvalidRequest(err)) {
			this.#abort({kind: 'unsendable', reason: err.message});
			return;
		}

		this.#abort(this.#isSent && !isBeforeSending(err) ? {kind: 'lost', reason} : {kind: 'notSent', reason});
	}

	#abort(end: AttemptEnd) {
		if (this.#isOver) {
			return;
		}

		// Closing the connection fails the request, and that failure is reported synchronously. The attempt must be marked as over before, or its end would be reported twice and the call be retried twice.
		this.#isOver = true;
		const {connection} = this.#parts;
		connection.discard();
		if (end.kind === 'silent' || end.kind === 'cutOff') {
			connection.closeIdleSiblings();
		}

		this.#end(this.#refusal ?? end);
	}

	#end(end: AttemptEnd) {
		this.#isOver = true;
		clearTimeout(this.#connectTimer);
		clearTimeout(this.#inactivityTimer);
		this.#parts.listener.onEnd(end);
	}
}
