/**
Authenticates calls by API key and enforces the rate limit of their account. Where operators have declared no accounts, every call is admitted unchanged.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Clock, EventLog, Metrics} from '../../common/services.js';
import type {CallOutcomes} from '../serving/call-outcomes.js';
import type {ConfigBoard} from '../config-board.js';
import {gatewayEvents} from '../log-events.js';
import type {
	CallDialect, CallerIdentity, ClientAccount, GatewayRoute,
} from '../types.js';
import {identify, type KeyRefusal} from './identify.js';
import type {RateCredit, RateLimits} from './rate-limits.js';

/** The parts of a call that the gate reads. */
export type CallHead = {
	readonly id: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
};

/** An authenticated caller. */
export type Caller = {
	/** Missing where operators have declared no accounts. */
	readonly identity?: CallerIdentity;
	/** Missing for a call without a key. */
	readonly account?: ClientAccount;
};

/** A caller within its rate limit. */
export type AdmittedCaller = Caller & {readonly credit?: RateCredit};

/** The answer to a call that is rejected at the gate. */
export type GateRefusal = {
	readonly status: 401 | 429 | 503;
	/** In milliseconds. */
	readonly retryAfterMs?: number;
};

type RefusalReason = KeyRefusal | 'stale' | 'limit';

/** Dependencies of the gate. */
export type CallerGateParts = {
	readonly board: ConfigBoard;
	readonly dialect: CallDialect;
	readonly limits: RateLimits;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly outcomes: CallOutcomes;
	/** When the configuration was last confirmed to be current, in milliseconds on the monotonic clock. */
	readonly configConfirmedAt: () => number;
	/** Keys are rejected when the configuration has not been confirmed for this long, in milliseconds, since they may have been revoked. `undefined`: they stay valid. */
	readonly staleAfterMs: number | undefined;
};

/** Retry-After while the configuration is stale, in milliseconds: it is read several times a second. */
const staleRetryMs = 500;

/** See the module's head. */
export class CallerGate {
	readonly #parts: CallerGateParts;

	constructor(parts: CallerGateParts) {
		this.#parts = parts;
	}

	/** Admits a call to a route. Batch jobs are exempt from the rate limit: their waiting tokens have a bound of their own. */
	admit(head: CallHead, route: GatewayRoute): Either<GateRefusal, AdmittedCaller> {
		return this.identify(head, route.isAnonymous)
			.chain(caller => route.kind === 'batch' ? Right(caller) : this.#withinLimit(head, caller));
	}

	/** Authenticates a call without counting it. */
	identify(head: CallHead, mayBeAnonymous: boolean): Either<GateRefusal, Caller> {
		const {board, dialect} = this.#parts;
		if (!board.accounts) {
			return Right({});
		}

		if (this.#isStale()) {
			return this.#refuse(head, 'stale', {status: 503, retryAfterMs: staleRetryMs});
		}

		return identify(board.accounts, dialect.readKey(head.headers), mayBeAnonymous).caseOf<Either<GateRefusal, Caller>>({
			Left: reason => this.#refuse(head, reason, {status: 401}),
			Right: account => Right({identity: {account: account?.name}, account}),
		});
	}

	#withinLimit(head: CallHead, caller: Caller): Either<GateRefusal, AdmittedCaller> {
		if (!caller.account) {
			return Right(caller);
		}

		const decision = this.#parts.limits.admit(caller.account);
		return 'credit' in decision
			? Right({...caller, credit: decision.credit})
			: this.#refuse(head, 'limit', {status: 429, retryAfterMs: decision.retryAfterMs}, caller.account);
	}

	#isStale(): boolean {
		const {clock, configConfirmedAt, staleAfterMs} = this.#parts;
		return staleAfterMs !== undefined && clock.now() - configConfirmedAt() > staleAfterMs;
	}

	#refuse({id}: CallHead, reason: RefusalReason, refusal: GateRefusal, account?: ClientAccount): Either<GateRefusal, never> {
		const {log, metrics, board} = this.#parts;
		log.emit(gatewayEvents.callerRefused, {
			id, account: account?.name, reason, status: refusal.status, retryAfterMs: refusal.retryAfterMs && Math.round(refusal.retryAfterMs), configVersion: board.config?.version,
		});
		this.#parts.outcomes.note(reason);
		metrics.count('gateway.callersRefused', 1, {reason});
		return Left(refusal);
	}
}
