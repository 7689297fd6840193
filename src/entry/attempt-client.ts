/**
The entry's side of attempts: starts one at an agent, takes up its stream on a new connection, revokes and cancels it.
*/
import type {Either} from 'purify-ts/Either';
import type {EventSourceMessage} from 'eventsource-parser';
import {
	readerHeader, type AttemptEnd, type AttemptEventName, type AttemptFailure, type AttemptKey, type AttemptRefusal, type AttemptRequest, type CancelAnswer, type LedgerAnswer, type LoadReport, type RevokeRequest,
} from '../common/protocol.js';
import {parseObject} from '../common/parse-object.js';
import type {IssuedAttempt} from '../common/request-ledger.js';
import type {HttpClient, HttpFailure, HttpResponse} from '../io/http-client.js';
import type {RpcClient, RpcFailure} from '../io/rpc-client.js';
import {followEvents, type EventHandler, type StreamPause} from '../io/sse-reader.js';

/** How following an attempt ended. Only the first three came from the agent. */
export type AttemptOutcome
	= | {readonly kind: 'end'; readonly end: AttemptEnd}
		| {readonly kind: 'refused'; readonly refusal: AttemptRefusal}
		| {readonly kind: 'failed'; readonly failure: AttemptFailure}
	/** No connection was made: not a byte was sent. */
		| {readonly kind: 'notSent'; readonly reason: string}
	/** The connection ended or went silent: what became of the attempt is not known. */
		| {readonly kind: 'lost'; readonly reason: string}
	/** The agent has no stream to take up. */
		| {readonly kind: 'noStream'}
		| {readonly kind: 'aborted'};

/** Receives the chunks of an attempt, in order from the index asked for. False gives the stream up: the chunk can not be used. */
export type ChunkHandler = (index: number, data: string) => boolean;

/** How to reach an attempt. */
export type AttemptPlace = {
	/** The agent's `ip:port`. */
	readonly address: string;
	/** Names who reads: its later connection takes the place of an earlier one, others read beside it. */
	readonly reader: string;
	readonly signal: AbortSignal;
	readonly onChunk: ChunkHandler;
	readonly pause?: StreamPause;
	/** Receives the agent's load, with which a new attempt's stream begins. */
	readonly onLoad?: (load: LoadReport) => void;
};

/** How to ask an agent's ledger. */
export type RevokeOptions = {
	/** Milliseconds until the attempt's deadline. */
	readonly deadlineInMs: number;
	/** Milliseconds to wait for the answer; the time of silence by default. */
	readonly timeoutMs?: number;
};

const cancelTimeoutMs = 1000;

/** Talks with agents about attempts. */
export class AttemptClient {
	readonly #http: HttpClient;
	readonly #rpc: RpcClient;
	readonly #silenceMs: number;

	/** @param silenceMs - Milliseconds without a byte after which a connection is taken for lost; a few heartbeats. */
	constructor(http: HttpClient, rpc: RpcClient, silenceMs: number) {
		this.#http = http;
		this.#rpc = rpc;
		this.#silenceMs = silenceMs;
	}

	/** Starts an attempt and follows it to its end. */
	async begin(attempt: AttemptRequest, place: AttemptPlace): Promise<AttemptOutcome> {
		const sent = await this.#http.send({
			address: place.address,
			method: 'POST',
			path: '/v1/attempts',
			headers: {'content-type': 'application/json', [readerHeader]: place.reader},
			body: JSON.stringify(attempt),
			timeoutMs: this.#silenceMs,
			signal: place.signal,
		});
		return this.#follow(sent, place);
	}

	/** Takes up an attempt's stream from a chunk on, over a connection of its own. */
	async resume(key: AttemptKey, from: number, place: AttemptPlace): Promise<AttemptOutcome> {
		const sent = await this.#http.send({
			address: place.address,
			method: 'GET',
			path: `/v1/attempts/${key.id}/${key.attempt}?from=${from}`,
			headers: {[readerHeader]: place.reader},
			timeoutMs: this.#silenceMs,
			signal: place.signal,
			fresh: true,
		});
		return this.#follow(sent, place);
	}

	/** Asks the agent's ledger, over a connection of its own; see {@link RequestLedger.revoke}. */
	async revoke(address: string, {id, attempt, issuedAt}: IssuedAttempt, {deadlineInMs, timeoutMs = this.#silenceMs}: RevokeOptions): Promise<Either<RpcFailure, LedgerAnswer>> {
		const params: RevokeRequest = {key: {id, attempt}, issuedAt, deadlineInMs};
		return this.#rpc.call<LedgerAnswer>({address, timeoutMs, fresh: true}, 'ledger.revoke', params);
	}

	/**
	Tells the agent that nobody waits for the attempt any more.

	@returns Whether the agent says that its run was under way and was stopped by this.
	*/
	async cancel(address: string, {id, attempt}: AttemptKey): Promise<boolean> {
		const answer = await this.#rpc.call<Partial<CancelAnswer>>({address, timeoutMs: cancelTimeoutMs}, 'attempt.cancel', {key: {id, attempt}});
		return answer.map(({isStopped}) => isStopped === true).orDefault(false);
	}

	async #follow(sent: Either<HttpFailure, HttpResponse>, place: AttemptPlace): Promise<AttemptOutcome> {
		if (sent.isLeft()) {
			return this.#outcomeOf(sent.extract(), place);
		}

		const res = sent.extract() as HttpResponse;
		if (res.status !== 200) {
			void res.body.dump().catch(() => undefined);
			return res.status === 404 ? {kind: 'noStream'} : {kind: 'lost', reason: `status ${res.status}`};
		}

		let outcome: AttemptOutcome | undefined;
		const take = <T extends object>(event: EventSourceMessage, toOutcome: (value: T) => AttemptOutcome): boolean => parseObject<T>(event.data)
			.ifRight(value => {
				outcome = toOutcome(value);
			})
			.isRight();
		const handlers: Record<AttemptEventName, EventHandler> = {
			load: event => parseObject<LoadReport>(event.data).ifRight(load => {
				place.onLoad?.(load);
			}).isRight(),
			chunk: event => place.onChunk(Number(event.id), event.data),
			end: event => take<AttemptEnd>(event, end => ({kind: 'end', end})),
			refused: event => take<AttemptRefusal>(event, refusal => ({kind: 'refused', refusal})),
			failed: event => take<AttemptFailure>(event, failure => ({kind: 'failed', failure})),
		};
		const streamEnd = await followEvents(res.body, this.#silenceMs, event => (handlers as Partial<Record<string, EventHandler>>)[event.event ?? '']?.(event), place.pause);
		return outcome ?? this.#cut(streamEnd, place);
	}

	#cut(streamEnd: string, place: AttemptPlace): AttemptOutcome {
		if (place.signal.aborted) {
			return {kind: 'aborted'};
		}

		if (streamEnd === 'silent') {
			// Its neighbours in the pool may be silent too; new requests must not wait on them.
			this.#http.discardPool(place.address);
		}

		return {kind: 'lost', reason: `stream ${streamEnd}`};
	}

	#outcomeOf(failure: HttpFailure, place: AttemptPlace): AttemptOutcome {
		const {reason} = failure;
		const outcomes: Record<HttpFailure['kind'], () => AttemptOutcome> = {
			notSent: () => ({kind: 'notSent', reason}),
			silent: () => this.#cut('silent', place),
			lost: () => ({kind: 'lost', reason}),
			aborted: () => ({kind: 'aborted'}),
		};
		return outcomes[failure.kind]();
	}
}

