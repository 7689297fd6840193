/**
The log lines and metrics of one online call.
*/
import {gatewayEvents} from '../log-events.js';
import type {GatewayParts} from '../parts.js';
import {registrationAge} from '../registration-age.js';
import type {Replica} from '../replica.js';
import type {CallFields, GatewayRoute} from '../types.js';
import type {AnswerHead, AttemptEnd} from './attempt.js';

/** Where a call was sent. */
export type RoutedCall = {
	readonly replica: Replica;
	/** Number of the offer, from 1. */
	readonly attempt: number;
	readonly resumeAfter: number | undefined;
	/** Expected time until its first token, in milliseconds. */
	readonly expectedMs: number;
};

/** How a run after the first one ended. */
export type EndedRerun = {
	readonly replica: Replica;
	readonly head: AnswerHead | undefined;
	readonly resumeAfter: number | undefined;
	readonly lastEventId: number | undefined;
	readonly end: AttemptEnd;
};

/** How a call ended. */
export type EndedCall = {
	/** 0 if the connection was closed without a final answer. */
	readonly status: number;
	readonly reason: string;
	readonly elapsedMs: number;
	readonly firstByteMs: number;
	readonly offers: number;
	readonly runs: number;
	readonly lastEnd: AttemptEnd['kind'] | undefined;
	readonly content: string | undefined;
	readonly heldParts: readonly string[] | undefined;
};

/** See the module's head. */
export class CallLog {
	readonly #parts: GatewayParts;
	readonly #route: GatewayRoute;
	readonly #fields: CallFields;

	constructor(parts: GatewayParts, route: GatewayRoute, fields: CallFields) {
		this.#parts = parts;
		this.#route = route;
		this.#fields = fields;
	}

	/** The call is sent to a replica. */
	routed({replica, attempt, resumeAfter, expectedMs}: RoutedCall): void {
		const {paces, clock, metrics} = this.#parts;
		metrics.timing('gateway.expectedFirstToken', expectedMs);
		const paceAgeMs = replica.pace.ageMs(clock.now());
		const {requestId, resumedId} = this.#fields;
		this.#parts.log.emit(gatewayEvents.callRouted, {
			id: requestId, route: this.#route.name, replica: replica.record.id, softwareVersion: replica.record.softwareVersion, resumedId, online: replica.allOnline, batch: replica.allBatch, attempt, resumeAfter, expectedMs: Math.round(expectedMs), pace: Number(paces.factorOf(replica).toFixed(2)), paceAgeMs: paceAgeMs === Infinity ? undefined : Math.round(paceAgeMs), ...registrationAge(this.#parts, replica),
		});
	}

	/** The origin of a resumed stream was searched for since `startedAt`, on the monotonic clock. */
	originSearched(outcome: string, softwareVersion: string | undefined, startedAt: number): void {
		const {requestId, resumedId} = this.#fields;
		this.#parts.log.emit(gatewayEvents.originSearched, {
			id: requestId, resumedId, outcome, softwareVersion, waitedMs: Math.round(this.#parts.clock.now() - startedAt),
		});
	}

	/** An attempt has ended without a complete answer. */
	attemptFailed(replica: Replica, end: AttemptEnd, contentFields: Readonly<Record<string, unknown>>): void {
		this.#parts.log.emit(gatewayEvents.attemptFailed, {
			id: this.#fields.requestId, replica: replica.record.id, ...end, ...contentFields,
		});
	}

	/** A run after the first one has ended. */
	rerunEnded({replica, head, resumeAfter, lastEventId, end}: EndedRerun): void {
		this.#parts.log.emit(gatewayEvents.rerunEnded, {
			id: this.#fields.requestId, replica: replica.record.id, status: head?.status ?? 0, contentType: head?.headers['content-type'], isFramed: head?.isFramed, softwareVersion: replica.record.softwareVersion, resumeAfter, lastEventId, outcome: end.kind,
		});
	}

	/** The call has ended. */
	ended({elapsedMs, firstByteMs, ...end}: EndedCall): void {
		const {log, metrics} = this.#parts;
		const {kind, name} = this.#route;
		const roundedMs = Math.round(elapsedMs);
		log.emit(gatewayEvents.callEnded, {
			id: this.#fields.requestId, route: name, ...end, elapsedMs: roundedMs, firstByteMs: Math.round(firstByteMs),
		});
		this.#parts.outcomes.note(end.reason);
		metrics.count('gateway.calls', 1, {kind, status: String(end.status)});
		if (end.reason === 'shutdown') {
			metrics.count('gateway.callsEndedByShutdown', 1, {status: String(end.status)});
		}

		metrics.timing('gateway.call', roundedMs, {kind});
		metrics.timing('gateway.firstByte', firstByteMs, {kind});
	}
}
