/**
Online attempts at this agent: each is admitted, run once, and its answer kept in the ledger, from which any connection can read it.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {branded, type BlockHash} from '../common/ids.js';
import type {CacheMirror} from '../common/cache-mirror.js';
import {blockHashes, tokensPerBlock} from '../common/prefix-blocks.js';
import {promptTextOf} from '../common/prompt-text.js';
import type {Ticket} from '../common/admission-types.js';
import type {
	AttemptEnd, AttemptFailure, AttemptKey, AttemptRefusal, AttemptRequest, LedgerAnswer, LoadReport, RefusalReason, RevokeRequest,
} from '../common/protocol.js';
import {parseObject} from '../common/parse-object.js';
import type {RequestLedger} from '../common/request-ledger.js';
import type {Clock, Disposable, EventLog} from '../common/services.js';
import {readBody} from '../io/read-body.js';
import type {Route} from '../io/http-server.js';
import {SseWriter} from '../io/sse-writer.js';
import {streamAnswer} from './answer-stream.js';
import type {Backend, BackendFailure} from './backend.js';
import {agentEvents} from './log-events.js';
import type {Work, WorkRunner} from './work-runner.js';

/** What the attempts need of the agent. */
export type AttemptSurroundings = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly ledger: RequestLedger;
	readonly runner: WorkRunner;
	readonly backend: Backend;
	/** What the engine's prefix cache holds; left out beside a plain service. */
	readonly cache?: CacheMirror;
	/** The agent's state now. */
	readonly load: () => LoadReport;
	/** Milliseconds that an answer goes on after its reader's connection was lost. */
	readonly orphanMs: number;
	readonly maxBodyBytes: number;
};

const sweepMs = 1000;

const tableKey = (key: AttemptKey) => `${key.id}/${key.attempt}`;

/** Takes attempts, gives out their answers, revokes and cancels them. */
export class OnlineAttempts implements Disposable {
	readonly #around: AttemptSurroundings;
	readonly #open = new Map<string, AttemptRequest>();
	readonly #timer: NodeJS.Timeout;

	constructor(around: AttemptSurroundings) {
		this.#around = around;
		this.#timer = setInterval(() => {
			around.ledger.sweep();
		}, sweepMs);
	}

	/** Attempts whose answer is not whole yet. */
	get open(): number {
		return this.#open.size;
	}

	/** Rows for the agent's table of routes. */
	get routes(): Route[] {
		return [
			{
				method: 'POST',
				pattern: /^\/v1\/attempts$/v,
				handle: async (req, res) => this.#accept(req, res),
			},
			{
				method: 'GET',
				pattern: /^\/v1\/attempts\/(?<id>[^\/]+)\/(?<attempt>\d+)$/v,
				handle: (req, res, {url, params}) => {
					const key: AttemptKey = {id: branded(params.id ?? ''), attempt: Number(params.attempt)};
					this.#attach(key, Number.parseInt(url.searchParams.get('from') ?? '', 10) || 0, req, res);
				},
			},
		];
	}

	/** See {@link RequestLedger.revoke}. Work that waits is taken out of the queue first, and its readers learn of it. */
	revoke({key, issuedAt, deadlineInMs}: RevokeRequest): LedgerAnswer {
		if (this.#around.runner.withdraw(tableKey(key))) {
			this.#refuse(key, 'revoked', 0);
		}

		const answer = this.#around.ledger.revoke({...key, issuedAt}, deadlineInMs);
		if (answer.state === 'revoked') {
			this.#around.log.emit(agentEvents.revoked, {...key});
		}

		return answer;
	}

	/**
	Cancels an attempt whose caller has gone.

	A non-idempotent one that has begun goes on: cutting it off would leave its effect unknown, and a caller who sends it again is to find its answer.

	@returns Whether its run was under way and was stopped by this.
	*/
	cancel(key: AttemptKey): boolean {
		if (this.#around.runner.withdraw(tableKey(key))) {
			this.#refuse(key, 'cancelled', 0);
			return false;
		}

		if (this.#open.get(tableKey(key))?.idempotent) {
			this.#around.ledger.markDelivered(key);
			return this.#around.runner.cancel(tableKey(key));
		}

		return false;
	}

	/** True while somebody may still come for an answer: it is not whole, or nobody has had it to its end. */
	get isAwaited(): boolean {
		return this.#open.size > 0 || this.#around.ledger.undelivered > 0;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	async #accept(req: IncomingMessage, res: ServerResponse) {
		const body = await readBody(req, this.#around.maxBodyBytes);
		if (body.isLeft()) {
			res.writeHead(413, {connection: 'close'}).end();
			return;
		}

		parseObject<AttemptRequest>((body.extract() as Buffer).toString('utf8')).caseOf({
			Left() {
				res.writeHead(400).end();
			},
			Right: attempt => {
				this.#begin(attempt, req, res);
			},
		});
	}

	#begin(attempt: AttemptRequest, req: IncomingMessage, res: ServerResponse) {
		const load = this.#around.load();
		if (attempt.incarnation !== load.incarnation) {
			// The entry addressed the process before this one; whatever that one did is unknown here, but this copy is not run.
			this.#refuseUnrecorded(res, 'otherIncarnation');
			return;
		}

		const begun = this.#around.ledger.begin(attempt, attempt.deadlineInMs);
		if (begun === 'revoked') {
			this.#refuseUnrecorded(res, 'revoked');
			return;
		}

		const writer = this.#attach(attempt, 0, req, res);
		if (begun === 'new') {
			this.#submit(attempt, load);
		}

		if (!res.writableEnded) {
			writer?.send('load', JSON.stringify(this.#around.load()));
		}
	}

	#submit(attempt: AttemptRequest, load: LoadReport) {
		this.#open.set(tableKey(attempt), attempt);
		if (load.draining) {
			this.#refuse(attempt, 'draining', 0);
			return;
		}

		if (!load.serves.includes(`${attempt.work.kind === 'call' ? 'service' : 'model'}:${attempt.work.target}`)) {
			this.#refuse(attempt, 'notServed', 0);
			return;
		}

		this.#around.runner.submit(this.#workOf(attempt));
	}

	#workOf(attempt: AttemptRequest): Work {
		const blocks = this.#promptBlocks(attempt);
		const cachedTokens = Math.min(attempt.promptTokens ?? 0, (this.#around.cache?.heldPrefix(blocks).length ?? 0) * tokensPerBlock);
		const ticket: Ticket = {
			key: tableKey(attempt),
			workClass: 'online',
			account: attempt.account,
			share: attempt.share,
			costTokens: attempt.costTokens - cachedTokens,
			promptTokens: attempt.promptTokens === undefined ? undefined : attempt.promptTokens - cachedTokens,
			deadlineAt: this.#around.clock.now() + attempt.deadlineInMs,
		};
		return {
			ticket,
			run: async signal => this.#run(attempt, blocks, signal),
			refuse: (reason, retryAfterMs) => {
				this.#refuse(attempt, reason, retryAfterMs);
			},
		};
	}

	#promptBlocks({work}: AttemptRequest): readonly BlockHash[] {
		return this.#around.cache && work.kind === 'generate' ? blockHashes(promptTextOf(work.body)) : [];
	}

	async #run(attempt: AttemptRequest, blocks: readonly BlockHash[], signal: AbortSignal): Promise<'done'> {
		const {ledger, backend, runner} = this.#around;
		let chunks = 0;
		ledger.start(attempt);
		const outcome = await backend.run({
			key: tableKey(attempt),
			work: attempt.work,
			signal,
			onChunk(data) {
				chunks += 1;
				ledger.append(attempt, data);
				runner.progressed(tableKey(attempt), 1);
			},
		});
		this.#open.delete(tableKey(attempt));
		outcome
			.ifRight(() => {
				const end: AttemptEnd = {chunks, load: this.#around.load(), ...this.#confirmed(blocks)};
				ledger.end(attempt, {event: 'end', data: JSON.stringify(end)});
			})
			.ifLeft(failure => {
				this.#fail(attempt, failure);
			});
		return 'done';
	}

	// The last held block stands for all before it.
	#confirmed(blocks: readonly BlockHash[]) {
		const {cache} = this.#around;
		const held = cache?.heldPrefix(blocks) ?? [];
		cache?.recordAnsweredPrompt(held);
		return {cachedBlocks: held.slice(-1), cacheSeq: cache?.seq};
	}

	#fail(attempt: AttemptRequest, failure: BackendFailure) {
		const handlers: {[Kind in BackendFailure['kind']]: (failure: Extract<BackendFailure, {kind: Kind}>) => void} = {
			rejected: ({status, body}) => {
				this.#endFailed(attempt, {
					kind: 'rejected', reason: `backend server answered ${status}`, status, body,
				});
			},
			full: ({retryAfterMs}) => {
				this.#refuse(attempt, 'queueFull', retryAfterMs);
			},
			unreachable: () => {
				this.#refuse(attempt, 'backendUnreachable', 0);
			},
			lost: ({reason}) => {
				this.#around.log.emit(agentEvents.backendLost, {id: attempt.id, attempt: attempt.attempt, reason});
				this.#endFailed(attempt, {kind: 'backendLost', reason});
			},
			cancelled: () => {
				this.#endFailed(attempt, {kind: 'backendLost', reason: 'cancelled'});
			},
		};
		(handlers[failure.kind] as (failure: BackendFailure) => void)(failure);
	}

	#endFailed(key: AttemptKey, failure: AttemptFailure) {
		this.#around.ledger.end(key, {event: 'failed', data: JSON.stringify(failure)});
	}

	#refuse(key: AttemptKey, reason: RefusalReason, retryAfterMs: number) {
		this.#open.delete(tableKey(key));
		const refusal: AttemptRefusal = {reason, retryAfterMs, load: this.#around.load()};
		this.#around.ledger.end(key, {event: 'refused', data: JSON.stringify(refusal)});
	}

	#refuseUnrecorded(res: ServerResponse, reason: RefusalReason) {
		const refusal: AttemptRefusal = {reason, retryAfterMs: 0, load: this.#around.load()};
		const writer = new SseWriter(res);
		writer.send('refused', JSON.stringify(refusal));
		writer.end();
	}

	#attach(key: AttemptKey, from: number, req: IncomingMessage, res: ServerResponse): SseWriter | undefined {
		return streamAnswer({
			ledger: this.#around.ledger,
			key,
			from,
			req,
			res,
			onLost: () => {
				this.#watchOrphan(key);
			},
		});
	}

	// The entry may be about to ask again on another connection; if nobody does, the entry is gone and the engine's time is better spent elsewhere.
	#watchOrphan(key: AttemptKey) {
		setTimeout(() => {
			const isOrphan = this.#open.has(tableKey(key)) && !this.#around.ledger.hasReaders(key);
			if (isOrphan) {
				this.#around.log.emit(agentEvents.orphaned, {...key});
				this.cancel(key);
			}
		}, this.#around.orphanMs).unref();
	}
}
