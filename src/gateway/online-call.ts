/**
One caller's call from its arrival to its final answer: which replicas it is sent to, what is passed on, and what the caller is told when no replica answers.

The answers of the gateway itself keep to what is known. 503 is given only while no replica can have run the call; once one may have, the caller hears 502, or 504 when the time is up, and where part of an answer has been passed on, the connection is cut, so that it cannot be taken for whole.
*/
import {type Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Disposable} from '../common/services.js';
import {
	Attempt, type AnswerHead, type AttemptEnd, type CallMessage,
} from './attempt.js';
import {EventFramer} from './event-framer.js';
import {gatewayEvents} from './log-events.js';
import type {GatewayParts} from './parts.js';
import type {Replica} from './replica.js';
import {chooseForOnline} from './replica-choice.js';
import type {ReplicaConnection} from './replica-connections.js';
import type {
	CallFields, GatewayRoute, GatewayServiceName, ReplicaId, RouteKind,
} from './types.js';

/** A caller's call that has arrived whole. */
export type ArrivedCall = {
	readonly route: GatewayRoute;
	readonly fields: CallFields;
	readonly message: CallMessage;
	/** When its head had come, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly res: ServerResponse;
};

/** Without a byte for this long, a call that may be repeated is sent elsewhere, in milliseconds. A queue at an engine clears within about one run, 0.8 s; callers give a stream up after 2 s. */
const repeatableSilenceMs = 1200;

/** Replicas that one call is offered to while each declines or cannot be reached. */
const maxOffers = 4;

/** An answer of a call that may be repeated is held back until it is whole if it is no longer than this, in bytes, so that a break within it is mended by another run unnoticed. */
const maxHeldBytes = 65_536;

/** With less time left than this, in milliseconds, no replica is asked: the answer could not reach the caller. */
const leastTimeMs = 10;

/** When to come back, in milliseconds: after a replica may have been registered, or after places may have become free. */
const comeBackMs = {noReplica: 500, full: 300} as const;

const hopByHop = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade']);

const passedOn = (rawHeaders: readonly string[]): string[] => rawHeaders.filter((_, i) => {
	const name = rawHeaders[i - (i % 2)] ?? '';
	return !hopByHop.has(name.toLowerCase());
});

type Pass = {
	/** Whether another run may follow one that broke. */
	readonly isRepeatable: (route: GatewayRoute) => boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
};

const passes: Readonly<Record<RouteKind, Pass>> = {
	safe: {isRepeatable: () => true, isStream: false},
	unsafe: {isRepeatable: () => false, isStream: false},
	stream: {isRepeatable: route => route.isResumable, isStream: true},
	batch: {isRepeatable: () => false, isStream: false},
};

type EndHandlers = {readonly [K in AttemptEnd['kind']]: (end: Extract<AttemptEnd, {kind: K}>, replica: Replica) => void};

/** See the module's head. */
export class OnlineCall implements Disposable {
	readonly #parts: GatewayParts;
	readonly #call: ArrivedCall;
	readonly #service: GatewayServiceName;
	readonly #tried = new Set<ReplicaId>();
	readonly #framer: EventFramer | undefined;
	readonly #isRepeatable: boolean;
	readonly #timer: NodeJS.Timeout;
	readonly #timeLimitMs: number;
	#attempt: Attempt | undefined;
	#giveBackPlace: (() => void) | undefined;
	#head: AnswerHead | undefined;
	#held: Buffer[] | undefined;
	#offers = 0;
	#runs = 0;
	#isOver = false;
	#firstByteMs = 0;
	#lastEnd: AttemptEnd['kind'] | undefined;

	readonly #onAttemptEnd: EndHandlers = {
		notSent: (_end, replica) => {
			this.#parts.contacts.noteUnreachable(replica);
			this.#offer();
		},
		refused: () => {
			this.#offer();
		},
		misdirected: (_end, replica) => {
			// The registration has not caught up: the replica is gone, and its address belongs to another.
			replica.noteFailure(this.#parts.clock.now());
			this.#offer();
		},
		silent: (_end, replica) => {
			replica.noteFailure(this.#parts.clock.now());
			this.#afterBreak(replica);
		},
		cutOff: (_end, replica) => {
			this.#afterBreak(replica);
		},
		lost: (_end, replica) => {
			this.#afterBreak(replica);
		},
		complete: (_end, replica) => {
			replica.noteAnswer();
			this.#finish(replica);
		},
		dropped: () => undefined,
	};

	constructor(parts: GatewayParts, call: ArrivedCall) {
		this.#parts = parts;
		this.#call = call;
		const {route, fields} = call;
		this.#isRepeatable = passes[route.kind].isRepeatable(route);
		this.#framer = passes[route.kind].isStream && this.#isRepeatable ? new EventFramer(fields.lastEventId ?? 0) : undefined;
		this.#service = this.#chooseService(route);
		this.#timeLimitMs = Math.min(route.timeoutMs, fields.timeLeftMs ?? Infinity);
		this.#timer = setTimeout(() => {
			this.#timeOut();
		}, Math.max(0, this.#timeLimitMs - this.#elapsedMs()));
		call.res.once('close', () => {
			this.#onCallerClose();
		});
	}

	/** Sends the call to its first replica. */
	start(): void {
		this.#offer();
	}

	/** Ends the call at once; nobody is told. */
	dispose(): void {
		this.#close();
	}

	#chooseService({targets}: GatewayRoute): GatewayServiceName {
		const all = targets.reduce((sum, {weight}) => sum + weight, 0);
		let left = this.#parts.random.next() * all;
		const chosen = targets.find(({weight}) => {
			left -= weight;
			return left < 0;
		});
		return (chosen ?? targets[0])?.service ?? ('' as GatewayServiceName);
	}

	#elapsedMs(): number {
		return this.#parts.clock.now() - this.#call.arrivedAt;
	}

	#offer() {
		if (this.#isOver) {
			return;
		}

		const timeLeftMs = this.#timeLimitMs - this.#elapsedMs();
		const replica = this.#offers < maxOffers && timeLeftMs > leastTimeMs ? this.#choose() : undefined;
		const connection = replica && this.#parts.links.take(replica);
		if (!replica || !connection) {
			this.#giveUp();
			return;
		}

		this.#offers += 1;
		this.#tried.add(replica.record.id);
		this.#send(replica, connection, timeLeftMs);
	}

	#choose(): Replica | undefined {
		const {clock, random, failureDomain, directory, sharers} = this.#parts;
		return chooseForOnline(directory.takingWork(this.#service), {
			now: clock.now(), random, failureDomain, tried: this.#tried, sharers: sharers(),
		});
	}

	#send(replica: Replica, connection: ReplicaConnection, timeLeftMs: number) {
		const {
			log, loads, dialect, contacts, clock,
		} = this.#parts;
		const {fields, message, route} = this.#call;
		log.emit(gatewayEvents.callRouted, {
			id: fields.requestId, route: route.name, replica: replica.record.id, online: replica.allOnline, batch: replica.allBatch, attempt: this.#offers, resumeAfter: this.#framer?.lastId,
		});
		this.#giveBackPlace = loads.take(replica, 'online');
		this.#attempt = new Attempt({
			connection,
			contact: contacts.of(replica),
			clock,
			dialect,
			message,
			fields: {
				requestId: fields.requestId,
				replica: replica.record.id,
				timeLeftMs: fields.timeLeftMs === undefined ? undefined : timeLeftMs,
				lastEventId: this.#framer ? this.#framer.lastId : fields.lastEventId,
			},
			patience: {silenceMs: this.#isRepeatable ? repeatableSilenceMs : this.#timeLimitMs, canGoElsewhere: this.#isRepeatable},
			listener: {
				onHead: head => {
					this.#onHead(head);
				},
				onBytes: bytes => {
					this.#onBytes(bytes);
				},
				onEnd: end => {
					this.#onEnd(end, replica);
				},
			},
		});
		this.#attempt.start();
	}

	#onHead(head: AnswerHead) {
		if (this.#call.res.headersSent) {
			// A later run of a stream: the caller keeps the head of the first.
			return;
		}

		this.#head = head;
		const length = Number(head.headers['content-length'] ?? Number.NaN);
		const isEvents = this.#framer !== undefined && head.status < 300;
		this.#held = this.#isRepeatable && !isEvents && length <= maxHeldBytes ? [] : undefined;
	}

	#onBytes(bytes: Buffer) {
		this.#firstByteMs ||= this.#elapsedMs();
		if (this.#held) {
			this.#held.push(bytes);
			return;
		}

		const isEvents = this.#framer && this.#head && this.#head.status < 300;
		const passed = isEvents ? this.#framer.feed(bytes) : bytes;
		if (passed.length > 0) {
			this.#write(passed);
		}

		if (this.#framer && !this.#framer.isInOrder) {
			this.#attempt?.dispose();
			this.#cut('an event of the stream is missing or came twice');
		}
	}

	#write(bytes: Buffer) {
		const {res} = this.#call;
		this.#writeHead();
		if (!res.write(bytes)) {
			const attempt = this.#attempt;
			attempt?.pause();
			res.once('drain', () => {
				attempt?.resume();
			});
		}
	}

	#writeHead() {
		const {res} = this.#call;
		if (!res.headersSent && this.#head) {
			const {status, statusMessage, rawHeaders} = this.#head;
			res.writeHead(status, statusMessage, passedOn(rawHeaders));
		}
	}

	#onEnd(end: AttemptEnd, replica: Replica) {
		this.#giveBackPlace?.();
		this.#giveBackPlace = undefined;
		this.#lastEnd = end.kind;
		if (end.kind !== 'complete' && end.kind !== 'dropped') {
			this.#parts.log.emit(gatewayEvents.attemptFailed, {id: this.#call.fields.requestId, replica: replica.record.id, ...end});
		}

		if (!this.#isOver) {
			(this.#onAttemptEnd[end.kind] as (end: AttemptEnd, replica: Replica) => void)(end, replica);
		}
	}

	/** The replica may have run the call, and its answer is not whole. */
	#afterBreak(replica: Replica) {
		this.#countRun(replica);
		this.#framer?.dropRest();
		this.#held = undefined;
		if (this.#mayRunAgain()) {
			this.#offer();
			return;
		}

		this.#fail('the replica broke off');
	}

	/** Runs at replicas that ended meanwhile do not use up the route's limit: without this, a crash would cost a stream that could go on. */
	#countRun(replica: Replica) {
		if (this.#parts.directory.get(replica.record.id) === replica) {
			this.#runs += 1;
		}
	}

	/** Events go on where they broke off; of any other answer the caller must not get the head of one run and the rest of another. */
	#mayRunAgain(): boolean {
		const canGoOn = this.#framer !== undefined || !this.#call.res.headersSent;
		return this.#isRepeatable && canGoOn && this.#runs < this.#call.route.maxRuns;
	}

	#finish(replica: Replica) {
		const {res} = this.#call;
		const status = this.#head?.status ?? 0;
		if (this.#framer?.hasRest && status < 300) {
			// The end of the stream was announced within an event: the replica broke off.
			this.#afterBreak(replica);
			return;
		}

		if (status >= 500 && !res.headersSent && this.#isRepeatable) {
			this.#countRun(replica);
			if (this.#mayRunAgain() && this.#hasOtherReplica()) {
				this.#held = undefined;
				this.#offer();
				return;
			}
		}

		this.#writeHead();
		this.#held?.forEach(bytes => {
			res.write(bytes);
		});
		res.end();
		this.#endWith(status, 'answered');
	}

	#hasOtherReplica(): boolean {
		return this.#parts.directory.takingWork(this.#service).some(({record}) => !this.#tried.has(record.id));
	}

	/** No replica is left to offer the call to. */
	#giveUp() {
		if (this.#runs > 0) {
			this.#fail('no replica is left for another run');
			return;
		}

		const reason = this.#offers === 0 ? 'noReplica' : 'full';
		this.#refuse(reason);
	}

	#refuse(reason: keyof typeof comeBackMs) {
		const {res} = this.#call;
		if (res.headersSent) {
			this.#cut(reason);
			return;
		}

		res.writeHead(503, {'retry-after': String(comeBackMs[reason] / 1000), 'content-length': '0'});
		res.end();
		this.#endWith(503, reason);
	}

	#fail(reason: string) {
		const {res} = this.#call;
		if (res.headersSent) {
			this.#cut(reason);
			return;
		}

		res.writeHead(502, {'content-length': '0'});
		res.end();
		this.#endWith(502, reason);
	}

	/** Part of the answer has been passed on; only a broken connection tells the caller that the rest will not come. */
	#cut(reason: string) {
		this.#call.res.destroy();
		this.#endWith(0, reason);
	}

	#timeOut() {
		const {res} = this.#call;
		this.#attempt?.dispose();
		if (res.headersSent) {
			this.#cut('time is up within the answer');
			return;
		}

		res.writeHead(504, {'content-length': '0'});
		res.end();
		this.#endWith(504, 'time is up');
	}

	#onCallerClose() {
		if (!this.#isOver) {
			this.#endWith(0, 'the caller left');
		}
	}

	#endWith(status: number, reason: string) {
		const {log, metrics} = this.#parts;
		const {fields, route} = this.#call;
		const elapsedMs = Math.round(this.#elapsedMs());
		log.emit(gatewayEvents.callEnded, {
			id: fields.requestId, route: route.name, status, reason, elapsedMs, firstByteMs: Math.round(this.#firstByteMs), offers: this.#offers, runs: this.#runs, lastEnd: this.#lastEnd,
		});
		metrics.count('gateway.calls', 1, {kind: route.kind, status: String(status)});
		metrics.timing('gateway.call', elapsedMs, {kind: route.kind});
		metrics.timing('gateway.firstByte', this.#firstByteMs, {kind: route.kind});
		this.#close();
	}

	#close() {
		this.#isOver = true;
		clearTimeout(this.#timer);
		this.#attempt?.dispose();
	}
}
