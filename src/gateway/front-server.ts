/**
The HTTP server for callers. It admits each call by its route, API key and rate limit, and dispatches it: an online call to a replica, a batch job to the intake, a request about a job to the job reader.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Either} from 'purify-ts/Either';
import {errorOf} from '../common/error-of.js';
import type {Disposable} from '../common/services.js';
import {AcceptQueue} from '../io/accept-queue.js';
import {holdMemory, sendWithoutBody} from '../io/client-connection.js';
import type {ClientLoad} from '../io/client-load.js';
import type {AddressAwaited} from '../io/bind-address.js';
import {listen} from '../io/listen.js';
import type {StartError} from '../io/program.js';
import {readBody, type BodyFailure} from '../io/read-body.js';
import {boundedServerOptions, largestHeadBytes, ServerConnections} from '../io/server-connections.js';
import {branded} from '../common/ids.js';
import type {
	AdmittedCaller, Caller, CallerGate, CallHead, GateRefusal,
} from './accounts/caller-gate.js';
import type {JobIntake, SubmissionOutcome} from './batch/job-intake.js';
import type {JobReader, JobReadError} from './batch/job-reader.js';
import type {JobCall, JobCallDialect} from './job-calls.js';
import type {FeedFreshness} from './feed-freshness.js';
import type {FirstRead} from './serving/first-read.js';
import {gatewayEvents} from './log-events.js';
import {OnlineCall} from './calls/online-call.js';
import {RequestGuard} from './calls/request-guard.js';
import {noConfiguration} from './serving/call-outcomes.js';
import type {GatewayParts} from './parts.js';
import type {BatchJobId, CallFields, GatewayRoute} from './types.js';

/** Dependencies of the server. */
export type FrontServerParts = GatewayParts & {
	readonly intake: JobIntake;
	readonly reader: JobReader;
	readonly jobCalls: JobCallDialect;
	readonly gate: CallerGate;
	/** Freshness of the configuration. */
	readonly configFreshness: FeedFreshness;
	/** What the clients of this process hold. */
	readonly clientLoad: ClientLoad;
	/** The first read of what a call needs. */
	readonly firstRead: FirstRead;
};

/** Multiple of the configured idle time for which a connection is kept alive. Callers reuse connections that were idle for most of the configured time, and a call must not cross the close of its connection. */
const keepAliveFactor = 2;

/** Keep-alive time until a configuration was received, and the least at any time; in milliseconds. */
const defaultIdleMs = 60_000;

/** Bound on a body until a configuration was received, so that it cannot fill this process's memory; in bytes. */
const defaultBodyBytes = 4_194_304;

/** Longest time for which a call that comes before the first read is held, in milliseconds: a quarter of the usual latency target, so that a refused caller can still be served in time by another process. */
const notReadyHoldMs = 75;

/** `retry-after` of a process without a configuration, in milliseconds; it receives one within a second of its start. All processes may start at once, so the callers that they refuse are spread over as long again. */
const notReadyRetryMs = 500;

/** Interval at which calls that wait are checked for whether they can still be served before the shutdown ends, in milliseconds. */
const hopelessCheckMs = 100;

/** Time for the last answers of a shutdown to be sent, in milliseconds. */
const lastAnswersMs = 100;

/** Part of the time until the process ends that a request for results does not wait for, in milliseconds: the read before and the answer after it take some of it. */
const readReserveMs = 1000;

/** `retry-after` of a job over the quota of waiting tokens, in milliseconds. */
const quotaRetryMs = 1000;
/** `retry-after` of a job that cannot be stored because the object API is unavailable, in milliseconds. */
const unavailableRetryMs = 700;

type JobAnswers = Readonly<Record<SubmissionOutcome, {readonly status: number; readonly retryDelayMs?: number}>>;

/** 503 and 429 guarantee that nothing of the job will run; `uncertain` guarantees nothing. */
const submissionAnswers: JobAnswers = {
	accepted: {status: 202},
	full: {status: 429, retryDelayMs: quotaRetryMs},
	away: {status: 503, retryDelayMs: unavailableRetryMs},
	tooLarge: {status: 413},
	uncertain: {status: 504},
	foreign: {status: 404},
};

const failedReadStatus: Readonly<Record<JobReadError, number>> = {unknown: 404, unsure: 503};

const sendEmpty = (res: ServerResponse, status: number, retryDelayMs?: number) => {
	sendWithoutBody(res, status, retryDelayMs === undefined ? {} : {'retry-after': String(retryDelayMs / 1000)});
};

const sendBody = (res: ServerResponse, type: string, body: string | Buffer) => {
	const length = Buffer.byteLength(body);
	if (!holdMemory(res, length)) {
		sendEmpty(res, 503, unavailableRetryMs);
		return;
	}

	res.writeHead(200, {'content-type': type, 'content-length': String(length)});
	res.end(body);
};

/** Whatever was being done for the request, no other answer has been sent. */
const endByDefect = (res: ServerResponse) => {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	sendEmpty(res, 500);
};

type JobHandlers = {readonly [K in JobCall['kind']]: (call: Extract<JobCall, {kind: K}>, res: ServerResponse, caller: Caller) => Promise<void>};

/** A call whose body was received. */
type ReceivedCall = {
	readonly route: GatewayRoute;
	readonly caller: AdmittedCaller;
	readonly fields: CallFields;
	readonly body: Buffer;
};

/** Serves callers, from `listen` to `close`. */
export class FrontServer implements Disposable {
	readonly #parts: FrontServerParts;
	readonly #server: Server;
	readonly #connections: ServerConnections;
	readonly #acceptQueue: AcceptQueue;
	readonly #calls = new Set<OnlineCall>();
	/** Responses to requests that have begun to take effect. */
	readonly #begun = new WeakSet<ServerResponse>();
	#hopelessCheck: NodeJS.Timeout | undefined;
	/** The server has no address while it listens again; see {@link AcceptQueue}. */
	#address = '';

	readonly #jobHandlers: JobHandlers = {
		results: async (call, res, {identity}) => {
			const {reader, shutdown} = this.#parts;
			const page = await reader.results({...call, waitMs: Math.min(call.waitMs, Math.max(0, shutdown.leftMs - readReserveMs))}, identity);
			if (typeof page === 'string') {
				this.#sendReadFailure(res, call, page);
				return;
			}

			sendBody(res, 'application/json', this.#parts.jobCalls.writeResults(page));
		},
		body: async (call, res, {identity}) => {
			const body = await this.#parts.reader.body(call, identity);
			if (typeof body === 'string') {
				this.#sendReadFailure(res, call, body);
				return;
			}

			sendBody(res, 'application/octet-stream', body);
		},
		end: async (call, res, {identity}) => {
			const outcome = await this.#parts.reader.end(call.job, identity);
			if (outcome !== 'ended') {
				this.#sendReadFailure(res, call, outcome);
				return;
			}

			sendEmpty(res, 200);
		},
	};

	constructor(parts: FrontServerParts) {
		this.#parts = parts;
		this.#server = createServer({
			...boundedServerOptions, keepAliveTimeout: defaultIdleMs, requestTimeout: 0, maxHeaderSize: largestHeadBytes,
		});
		this.#connections = new ServerConnections(this.#server, (req, res, waitedMs) => {
			const guard = new RequestGuard(parts, {kind: 'request', id: () => parts.dialect.readCall(req.headers).requestId}, () => {
				endByDefect(res);
			});
			guard.run(async () => this.#serve(req, res, waitedMs));
		}, {load: parts.clientLoad, maxBodyBytes: () => this.#maxBodyBytes});
		this.#acceptQueue = new AcceptQueue(this.#server, waitedMs => {
			parts.metrics.count('gateway.acceptQueueResets');
			parts.log.emit(gatewayEvents.acceptQueueReset, {waitedMs: Math.round(waitedMs), calls: this.activeCalls, connections: this.connectionCount});
		});
		parts.board.onChange(({limits}) => {
			this.#server.keepAliveTimeout = Math.max(defaultIdleMs, keepAliveFactor * limits.idleTimeoutMs);
			this.#server.headersTimeout = limits.headerTimeoutMs;
			this.#connections.limitHeads(limits.maxHeaderBytes);
		});
		parts.partQuarantine.onHeld(() => {
			this.#calls.forEach(call => {
				call.abortIfHeld();
			});
		});
	}

	/** `ip:port` that the server listens on; empty before it does. */
	get address(): string {
		return this.#address;
	}

	/** Number of online calls in progress. */
	get activeCalls(): number {
		return this.#calls.size;
	}

	/**
	Waits for an address that is not available yet.

	@param address - `ip:port`; port 0 takes any free port.
	*/
	async listen(address: string, onAwaited?: AddressAwaited): Promise<Either<StartError, string>> {
		const listening = await listen(this.#server, address, onAwaited);
		return listening.ifRight(bound => {
			this.#address = bound;
		});
	}

	/** Number of open connections of callers. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Asks each caller to close its connection after the next answer on it. */
	announceClose(): void {
		this.#connections.announceClose();
	}

	/** Accepts no more connections, closes those that become idle, and resolves once the last one is closed. Calls that wait and have become hopeless are refused meanwhile. */
	async close(): Promise<void> {
		this.#hopelessCheck = setInterval(() => {
			this.#calls.forEach(call => {
				call.refuseIfHopeless();
			});
		}, hopelessCheckMs);
		this.#acceptQueue.dispose();
		await this.#connections.close();
		clearInterval(this.#hopelessCheck);
	}

	/** Answers what is unanswered, since the process ends: 503 if it has certainly not run. Resolves once the answers were sent. */
	async abortCalls(): Promise<void> {
		this.#calls.forEach(call => {
			call.abortForShutdown();
		});
		this.#connections.openResponses.forEach(res => {
			sendEmpty(res, this.#begun.has(res) ? 504 : 503, 0);
		});
		if (this.#connections.size > 0) {
			await this.#parts.clock.sleep(lastAnswersMs);
		}
	}

	dispose(): void {
		clearInterval(this.#hopelessCheck);
		this.#acceptQueue.dispose();
		this.#calls.forEach(call => {
			call.dispose();
		});
		this.#connections.dispose();
	}

	get #maxBodyBytes(): number {
		return this.#parts.board.config?.limits.maxBodyBytes ?? defaultBodyBytes;
	}

	async #serve(req: IncomingMessage, res: ServerResponse, waitedMs: number) {
		const arrivedAt = this.#parts.clock.now() - waitedMs;
		res.on('error', () => undefined);
		if (!this.#parts.firstRead.isOver) {
			await this.#parts.firstRead.within(notReadyHoldMs);
			if (res.destroyed) {
				return;
			}
		}

		const jobCall = this.#parts.jobCalls.match(req);
		if (jobCall) {
			await this.#skipBody(req, res);
			await this.#answerJobCall(jobCall, req, res);
			return;
		}

		if (!this.#parts.configFreshness.isFresh) {
			await this.#parts.configFreshness.refresh();
		}

		const route = this.#routeOf(req);
		if (!route) {
			await this.#skipBody(req, res);
			this.#rejectUnrouted(req, res);
			return;
		}

		const admitted = this.#parts.gate.admit(this.#headOf(req), route);
		const refusal = errorOf(admitted);
		if (refusal) {
			await this.#skipBody(req, res);
			this.#sendRefusal(res, refusal);
			return;
		}

		const caller = admitted.unsafeCoerce();
		const read = await readBody(req, this.#maxBodyBytes);
		const failure = errorOf(read);
		if (failure) {
			caller.credit?.refund();
			this.#rejectBody(res, failure);
			return;
		}

		if (res.headersSent) {
			// Refused at the end of a shutdown.
			caller.credit?.refund();
			return;
		}

		const body = read.unsafeCoerce();
		const fields = this.#parts.dialect.readCall(req.headers);
		if (route.kind === 'batch') {
			await this.#submit(req, res, {
				route, caller, fields, body,
			});
			return;
		}

		this.#callReplica(req, res, {
			route, caller, fields, body, arrivedAt,
		});
	}

	/** Before an answer after which the connection closes, the body is read: unread bytes would reset the connection, and the answer could be lost. */
	async #skipBody(req: IncomingMessage, res: ServerResponse) {
		if (res.shouldKeepAlive) {
			req.resume();
		} else {
			await readBody(req, 0);
		}
	}

	#headOf(req: IncomingMessage): CallHead {
		return {id: this.#parts.dialect.readCall(req.headers).requestId, headers: req.rawHeaders};
	}

	#sendRefusal(res: ServerResponse, {status, retryAfterMs}: GateRefusal) {
		sendEmpty(res, status, retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs));
	}

	/** Answers 503 before a configuration was received, since the owner of a job cannot be determined without one. */
	async #answerJobCall(call: JobCall, req: IncomingMessage, res: ServerResponse) {
		const {board, gate, shutdown} = this.#parts;
		if (!board.config || !shutdown.mayServeJobRequest) {
			this.#sendReadFailure(res, call, 'unsure');
			return;
		}

		const caller = gate.identify(this.#headOf(req), board.hasAnonymousJobs);
		const refusal = errorOf(caller);
		if (refusal) {
			this.#sendRefusal(res, refusal);
			return;
		}

		this.#begun.add(res);
		await (this.#jobHandlers[call.kind] as (call: JobCall, res: ServerResponse, caller: Caller) => Promise<void>)(call, res, caller.unsafeCoerce());
	}

	#routeOf(req: IncomingMessage): GatewayRoute | undefined {
		return this.#parts.board.routes.match(req.headers.host ?? '', req.url ?? '');
	}

	/** Answers 404, or 503 before a configuration was received, since the process cannot know then that a route does not exist. */
	#rejectUnrouted(req: IncomingMessage, res: ServerResponse) {
		const {board, dialect, log, outcomes} = this.#parts;
		const status = board.config ? 404 : 503;
		if (status === 503) {
			outcomes.note(noConfiguration);
		}

		log.emit(gatewayEvents.callRejected, {
			id: dialect.readCall(req.headers).requestId, host: req.headers.host, target: req.url, status, configVersion: board.config?.version,
		});
		req.resume();
		sendEmpty(res, status, status === 503 ? this.#notReadyDelayMs() : undefined);
	}

	#notReadyDelayMs(): number {
		return Math.round(notReadyRetryMs * (1 + this.#parts.random.next()));
	}

	/** Sends no answer to a caller that disconnected within its body. */
	#rejectBody(res: ServerResponse, {kind}: BodyFailure) {
		if (kind === 'tooLarge') {
			res.shouldKeepAlive = false;
			sendEmpty(res, 413);
		}
	}

	#callReplica(req: IncomingMessage, res: ServerResponse, {route, caller, fields, body, arrivedAt}: ReceivedCall & {readonly arrivedAt: number}) {
		const call = new OnlineCall(this.#parts, {
			route,
			caller,
			fields,
			message: {
				method: req.method ?? 'GET', target: req.url ?? '/', headers: req.rawHeaders, body,
			},
			arrivedAt,
			res,
		});
		this.#calls.add(call);
		res.once('close', () => {
			this.#calls.delete(call);
		});
		call.start();
	}

	async #submit(req: IncomingMessage, res: ServerResponse, {route, caller, fields, body}: ReceivedCall) {
		const {intake, jobCalls, log, shutdown} = this.#parts;
		if (!shutdown.mayServeJobRequest) {
			log.emit(gatewayEvents.callRejected, {
				id: fields.requestId, host: req.headers.host, target: req.url, status: 503, reason: 'shutdown',
			});
			sendEmpty(res, 503, 0);
			return;
		}

		const items = jobCalls.readItems(body.toString('utf8'));
		if (items.isLeft() || fields.requestId === '') {
			log.emit(gatewayEvents.callRejected, {
				id: fields.requestId, host: req.headers.host, target: req.url, status: 400, reason: items.swap().orDefault('a job without an id'),
			});
			sendEmpty(res, 400);
			return;
		}

		this.#begun.add(res);
		const outcome = await intake.submit({
			job: branded<BatchJobId>(fields.requestId), account: caller.account?.name, route, host: req.headers.host ?? '', target: req.url ?? '', items: items.unsafeCoerce(),
		});
		const {status, retryDelayMs} = submissionAnswers[outcome];
		sendEmpty(res, status, retryDelayMs);
	}

	#sendReadFailure(res: ServerResponse, call: JobCall, reason: JobReadError) {
		const status = failedReadStatus[reason];
		this.#parts.log.emit(gatewayEvents.jobReadFailed, {
			id: call.job, question: call.kind, status, reason,
		});
		sendEmpty(res, status, status === 503 ? this.#notReadyDelayMs() : undefined);
	}
}
