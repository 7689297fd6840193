/**
Takes callers' connections and hands each call to what serves its route: an online call to a replica, a batch job to the intake, a question about a job to its reader.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Left, Right, type Either} from 'purify-ts/Either';
import {errorOf} from '../common/error-of.js';
import type {Disposable} from '../common/services.js';
import {formatAddress, parseAddress} from '../io/address.js';
import {exitCodes} from '../io/exit-codes.js';
import type {StartError} from '../io/program.js';
import {readBody, type BodyFailure} from '../io/read-body.js';
import {branded} from '../common/ids.js';
import type {
	AdmittedCaller, Caller, CallerGate, CallHead, GateRefusal,
} from './accounts/caller-gate.js';
import type {JobIntake, SubmissionOutcome} from './batch/job-intake.js';
import type {JobReader, JobReadError} from './batch/job-reader.js';
import type {JobCall, JobCallDialect} from './job-calls.js';
import type {FeedFreshness} from './feed-freshness.js';
import {gatewayEvents} from './log-events.js';
import {OnlineCall} from './online-call.js';
import type {GatewayParts} from './parts.js';
import type {BatchJobId, CallFields, GatewayRoute} from './types.js';

/** What the server hands calls to. */
export type FrontServerParts = GatewayParts & {
	readonly intake: JobIntake;
	readonly reader: JobReader;
	readonly jobCalls: JobCallDialect;
	readonly gate: CallerGate;
	/** Of the configuration. */
	readonly configFreshness: FeedFreshness;
};

/** Callers reuse a connection that has been idle for a good part of the configured time; it is kept this much longer than that, so that no call crosses the close. */
const idleFactor = 2;

/** Until a configuration says otherwise, in milliseconds. */
const defaultIdleMs = 60_000;

/** A body that no configuration bounds yet may not fill this process's memory, in bytes. */
const defaultBodyBytes = 4_194_304;

/** The largest head of a call that Node reads, in bytes; the configured bound may be lower. */
const maxHeaderBytes = 65_536;

/** When to come back, in milliseconds: a process that has just started knows the configuration within a second. */
const notReadyMs = 500;
const quotaMs = 1000;
const awayMs = 700;

type JobAnswers = Readonly<Record<SubmissionOutcome, {readonly status: number; readonly comeBackMs?: number}>>;

/** 503 and 429 promise that nothing of the job will run; `uncertain` promises nothing. */
const submissionAnswers: JobAnswers = {
	accepted: {status: 202},
	full: {status: 429, comeBackMs: quotaMs},
	away: {status: 503, comeBackMs: awayMs},
	tooLarge: {status: 413},
	uncertain: {status: 504},
	foreign: {status: 404},
};

const noAnswerStatus: Readonly<Record<JobReadError, number>> = {unknown: 404, unsure: 503};

const answer = (res: ServerResponse, status: number, comeBackMs?: number) => {
	if (res.headersSent || res.destroyed) {
		return;
	}

	res.writeHead(status, {'content-length': '0', ...(comeBackMs !== undefined && {'retry-after': String(comeBackMs / 1000)})});
	res.end();
};

const answerBody = (res: ServerResponse, type: string, body: string | Buffer) => {
	res.writeHead(200, {'content-type': type, 'content-length': String(Buffer.byteLength(body))});
	res.end(body);
};

type JobHandlers = {readonly [K in JobCall['kind']]: (call: Extract<JobCall, {kind: K}>, res: ServerResponse, caller: Caller) => Promise<void>};

/** What is known of a call once its body has come. */
type ReceivedCall = {
	readonly route: GatewayRoute;
	readonly caller: AdmittedCaller;
	readonly fields: CallFields;
	readonly body: Buffer;
};

/** See the module's head. */
export class FrontServer implements Disposable {
	readonly #parts: FrontServerParts;
	readonly #server: Server;
	readonly #calls = new Set<OnlineCall>();
	#isLeaving = false;

	readonly #jobHandlers: JobHandlers = {
		results: async (call, res, {identity}) => {
			const page = await this.#parts.reader.results(call, identity);
			if (typeof page === 'string') {
				this.#answerNothing(res, call, page);
				return;
			}

			answerBody(res, 'application/json', this.#parts.jobCalls.writeResults(page));
		},
		body: async (call, res, {identity}) => {
			const body = await this.#parts.reader.body(call, identity);
			if (typeof body === 'string') {
				this.#answerNothing(res, call, body);
				return;
			}

			answerBody(res, 'application/octet-stream', body);
		},
		end: async (call, res, {identity}) => {
			const outcome = await this.#parts.reader.end(call.job, identity);
			if (outcome !== 'ended') {
				this.#answerNothing(res, call, outcome);
				return;
			}

			answer(res, 200);
		},
	};

	constructor(parts: FrontServerParts) {
		this.#parts = parts;
		this.#server = createServer({keepAliveTimeout: defaultIdleMs, requestTimeout: 0, maxHeaderSize: maxHeaderBytes}, (req, res) => {
			void this.#serve(req, res);
		});
		parts.board.onChange(({limits}) => {
			this.#server.keepAliveTimeout = Math.max(defaultIdleMs, idleFactor * limits.idleTimeoutMs);
			this.#server.headersTimeout = limits.headerTimeoutMs;
		});
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return formatAddress({host: address, port});
	}

	/** Calls under way. */
	get activeCalls(): number {
		return this.#calls.size;
	}

	/** @param address - `ip:port`; port 0 takes any free port. */
	async listen(address: string): Promise<Either<StartError, string>> {
		const {host, port} = parseAddress(address) ?? {host: '', port: 0};
		return new Promise(resolve => {
			this.#server.once('error', err => {
				resolve(Left({exitCode: exitCodes.unavailable, message: `can not listen on ${address}: ${err.message}`}));
			});
			this.#server.listen({host, port, backlog: 1024}, () => {
				resolve(Right(this.address));
			});
		});
	}

	/** Asks each caller to close its connection after its next answer. */
	disableKeepAlive(): void {
		this.#isLeaving = true;
	}

	/** Takes no more connections, closes idle ones, and resolves once the last call has ended. */
	async close(): Promise<void> {
		this.#isLeaving = true;
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeIdleConnections();
		await closed;
	}

	dispose(): void {
		this.#calls.forEach(call => {
			call.dispose();
		});
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(req: IncomingMessage, res: ServerResponse) {
		const arrivedAt = this.#parts.clock.now();
		res.on('error', () => undefined);
		if (this.#isLeaving) {
			res.shouldKeepAlive = false;
		}

		const jobCall = this.#parts.jobCalls.match(req);
		if (jobCall) {
			req.resume();
			await this.#answerJobCall(jobCall, req, res);
			return;
		}

		if (!this.#parts.configFreshness.isFresh) {
			await this.#parts.configFreshness.refresh();
		}

		const route = this.#routeOf(req);
		if (!route) {
			this.#rejectUnrouted(req, res);
			return;
		}

		const admitted = this.#parts.gate.admit(this.#headOf(req), route);
		const refusal = errorOf(admitted);
		if (refusal) {
			req.resume();
			this.#answerRefused(res, refusal);
			return;
		}

		const caller = admitted.unsafeCoerce();
		const read = await readBody(req, this.#parts.board.config?.limits.maxBodyBytes ?? defaultBodyBytes);
		const failure = errorOf(read);
		if (failure) {
			caller.credit?.refund();
			this.#rejectBody(res, failure);
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

	#headOf(req: IncomingMessage): CallHead {
		return {id: this.#parts.dialect.readCall(req.headers).requestId, headers: req.rawHeaders};
	}

	#answerRefused(res: ServerResponse, {status, retryAfterMs}: GateRefusal) {
		answer(res, status, retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs));
	}

	/** Whose job it is cannot be told before the configuration is known. */
	async #answerJobCall(call: JobCall, req: IncomingMessage, res: ServerResponse) {
		const {board, gate} = this.#parts;
		if (!board.config) {
			this.#answerNothing(res, call, 'unsure');
			return;
		}

		const caller = gate.identify(this.#headOf(req), board.hasAnonymousJobs);
		const refusal = errorOf(caller);
		if (refusal) {
			this.#answerRefused(res, refusal);
			return;
		}

		await (this.#jobHandlers[call.kind] as (call: JobCall, res: ServerResponse, caller: Caller) => Promise<void>)(call, res, caller.unsafeCoerce());
	}

	#routeOf(req: IncomingMessage): GatewayRoute | undefined {
		return this.#parts.board.routes.match(req.headers.host ?? '', req.url ?? '');
	}

	/** A process that knows no configuration yet cannot tell that a route does not exist. */
	#rejectUnrouted(req: IncomingMessage, res: ServerResponse) {
		const {board, dialect, log} = this.#parts;
		const status = board.config ? 404 : 503;
		log.emit(gatewayEvents.callRejected, {
			id: dialect.readCall(req.headers).requestId, host: req.headers.host, target: req.url, status, configVersion: board.config?.version,
		});
		req.resume();
		answer(res, status, status === 503 ? notReadyMs : undefined);
	}

	/** A caller that went away within its body hears nothing. */
	#rejectBody(res: ServerResponse, {kind}: BodyFailure) {
		if (kind === 'tooLarge') {
			res.shouldKeepAlive = false;
			answer(res, 413);
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
		const {intake, jobCalls, log} = this.#parts;
		const items = jobCalls.readItems(body.toString('utf8'));
		if (items.isLeft() || fields.requestId === '') {
			log.emit(gatewayEvents.callRejected, {
				id: fields.requestId, host: req.headers.host, target: req.url, status: 400, reason: items.swap().orDefault('a job without an id'),
			});
			answer(res, 400);
			return;
		}

		const outcome = await intake.submit({
			job: branded<BatchJobId>(fields.requestId), account: caller.account?.name, route, host: req.headers.host ?? '', target: req.url ?? '', items: items.unsafeCoerce(),
		});
		const {status, comeBackMs} = submissionAnswers[outcome];
		answer(res, status, comeBackMs);
	}

	#answerNothing(res: ServerResponse, call: JobCall, reason: JobReadError) {
		const status = noAnswerStatus[reason];
		this.#parts.log.emit(gatewayEvents.jobReadFailed, {
			id: call.job, question: call.kind, status, reason,
		});
		answer(res, status, status === 503 ? notReadyMs : undefined);
	}
}
