/**
What all online requests go through, whatever their API: the account's limit, the deadline, the caller's going away, and the record of the outcome.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {OnlineService, ServedModel} from '../../typings/resources.js';
import type {ConfigTable} from '../common/config-table.js';
import type {BlockHash, RequestId} from '../common/ids.js';
import type {BackendWork} from '../common/protocol.js';
import {RetryBudget} from '../common/retry-budget.js';
import type {Account, Accounts} from './accounts.js';
import type {AnswerSink} from './answer-sink.js';
import {invalidRequest, type ApiError} from './api-error.js';
import type {ClaimStore} from './claim-store.js';
import {KeyedRequest, type KeyedParts} from './keyed-request.js';
import {entryEvents} from './log-events.js';
import {OnlineRequest} from './online-request.js';
import {
	deadlinePassed, type OnlineWork, type RequestOutcome, type RequestSurroundings,
} from './online-work.js';
import {Router, type RouterParts} from './router.js';

/** A request that has been checked. */
export type FrontendRequest = {
	readonly id: RequestId;
	readonly account: Account;
	readonly work: BackendWork;
	readonly idempotent: boolean;
	readonly costTokens: number;
	/** See {@link OnlineWork.promptTokens}. */
	readonly promptTokens?: number;
	/** See {@link OnlineWork.promptBlocks}. */
	readonly promptBlocks?: readonly BlockHash[];
	/** The longest that the request may take, in milliseconds, whatever its caller wants. Default: the caller decides. */
	readonly maxMs?: number;
};

/** The caller's side of a request. */
export type Exchange = {readonly req: IncomingMessage; readonly res: ServerResponse};

/** What the frontend is made of. */
export type FrontendParts = Omit<RequestSurroundings, 'budget' | 'router'> & Pick<RouterParts, 'trace'> & {
	readonly config: ConfigTable;
	readonly accounts: Accounts;
	readonly claims: ClaimStore;
	/** Milliseconds until an answer is of no use, unless the caller says otherwise. */
	readonly deadlineMs: number;
};

// Enough saved up for the streams of one lost replica; a tenth of the successes otherwise.
const retryLimits = {perSuccess: 0.1, max: 100};
// A timer's limit, 24 days.
const longestMs = 2_147_483_647;
const keyHeader = 'idempotency-key';
const deadlineHeader = 'x-citronyard-deadline-ms';

// A caller that does not read makes its answer wait at the agent, which keeps it anyway, instead of in this process.
const whenDrained = (res: ServerResponse): Promise<void> | undefined => res.writableNeedDrain
	? new Promise<void>(resolve => {
		const goOn = () => {
			res.off('drain', goOn).off('close', goOn);
			resolve();
		};

		res.once('drain', goOn).once('close', goOn);
	})
	: undefined;

/** Runs online requests for the routes. */
export class OnlineFrontend {
	readonly #parts: FrontendParts;
	readonly #around: RequestSurroundings;
	readonly #open = new Set<ServerResponse>();
	#settling = 0;

	constructor(parts: FrontendParts) {
		this.#parts = parts;
		this.#around = {...parts, router: new Router(parts), budget: new RetryBudget(retryLimits)};
	}

	get accounts(): Accounts {
		return this.#parts.accounts;
	}

	get config(): ConfigTable {
		return this.#parts.config;
	}

	/** Requests under way, and claims whose end is still to be recorded. */
	get open(): number {
		return this.#open.size + this.#settling;
	}

	/** Bytes of answers that callers have not read yet and that wait in this process. */
	get unsentBytes(): number {
		return [...this.#open].reduce((sum, res) => sum + res.writableLength, 0);
	}

	/** Says whether a model is declared. */
	requireModel(name: string): Either<ApiError, ServedModel> {
		const model = this.config.get<ServedModel>('ServedModel', name);
		return model ? Right(model) : Left(invalidRequest(`the model ${name} does not exist`, {status: 404, code: 'model_not_found', param: 'model'}));
	}

	/** Says whether an online service is declared. */
	requireService(name: string): Either<ApiError, OnlineService> {
		const service = this.config.get<OnlineService>('OnlineService', name);
		return service ? Right(service) : Left(invalidRequest(`the service ${name} does not exist`, {status: 404, code: 'service_not_found'}));
	}

	/** Runs a request to its final outcome. Rejects only for a broken invariant; its place is given back then, too. */
	async run(request: FrontendRequest, sink: AnswerSink, exchange: Exchange): Promise<RequestOutcome> {
		const begun = this.accounts.begin(request.account);
		if (begun.isLeft()) {
			return {kind: 'refused', reason: 'queueFull', retryAfterMs: (begun.extract()).retryAfterMs ?? 0};
		}

		this.#open.add(exchange.res);
		// A place that is not given back when a request ends in an exception would count against its account for good, and a stop would wait for the request.
		try {
			return await this.#runOpen(request, sink, exchange);
		} finally {
			(begun.extract() as () => void)();
			this.#open.delete(exchange.res);
		}
	}

	async #runOpen(request: FrontendRequest, sink: AnswerSink, exchange: Exchange): Promise<RequestOutcome> {
		const startedAt = this.#parts.clock.now();
		const run = this.#start(request, sink, exchange);
		try {
			const outcome = await run.request.run();
			this.#record(request, outcome, run.request.attempts, startedAt);
			return outcome;
		} finally {
			run.stop();
			void this.#awaitSettled(run.request);
		}
	}

	#start(request: FrontendRequest, sink: AnswerSink, {req, res}: Exchange) {
		const {clock} = this.#parts;
		const wantedMs = Number(req.headers[deadlineHeader]);
		const deadlineMs = Math.min(wantedMs > 0 ? wantedMs : request.maxMs ?? this.#parts.deadlineMs, request.maxMs ?? longestMs);
		const controller = new AbortController();
		const abort = () => {
			controller.abort();
		};

		const timer = setTimeout(() => {
			// An answer that came within a pause of this process is read first.
			setImmediate(() => {
				controller.abort(deadlinePassed);
			});
		}, deadlineMs);
		// Closed before it was finished: the caller has gone.
		res.once('close', abort);
		const work: OnlineWork = {
			...request, account: request.account.name, share: request.account.share, deadlineAt: clock.now() + deadlineMs,
		};
		return {
			request: this.#requestFor(req, {
				work, sink, around: this.#around, caller: {signal: controller.signal, pause: whenDrained.bind(undefined, res)}, store: this.#parts.claims,
			}),
			stop() {
				clearTimeout(timer);
				res.off('close', abort);
			},
		};
	}

	#requestFor(req: IncomingMessage, parts: KeyedParts): OnlineRequest | KeyedRequest {
		const key = req.headers[keyHeader];
		return parts.work.idempotent || key === undefined
			? new OnlineRequest(parts.work, parts.sink, parts.around, parts.caller)
			: new KeyedRequest(String(key), parts);
	}

	async #awaitSettled(request: OnlineRequest | KeyedRequest) {
		if (request instanceof KeyedRequest) {
			this.#settling += 1;
			await request.settled();
			this.#settling -= 1;
		}
	}

	#record(request: FrontendRequest, outcome: RequestOutcome, attempts: number, startedAt: number) {
		const ms = Math.round(this.#parts.clock.now() - startedAt);
		this.#parts.metrics.timing('entry.request', ms, {outcome: outcome.kind});
		this.#parts.log.emit(entryEvents.requestEnded, {
			id: request.id, account: request.account.name, target: request.work.target, outcome: outcome.kind, attempts, ms,
		});
	}
}
