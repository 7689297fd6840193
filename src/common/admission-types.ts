/**
What admission decides on, by which limits, and what it has its caller do.
*/
import type {QueueItem} from './fair-queue.js';
import type {RefusalReason, WorkClass} from './protocol.js';

/** A piece of work that wants into the backend server. */
export type Ticket = QueueItem & {
	/** Unique among the tickets of this agent. */
	readonly key: string;
	readonly workClass: WorkClass;
	/** The clock's `now` after which the work is of no use. */
	readonly deadlineAt: number;
	/** The prompt's part of `costTokens`; all of it by default. */
	readonly promptTokens?: number;
};

/** Limits of one agent. */
export type AdmissionLimits = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** Online requests that may wait here. */
	readonly maxQueued: number;
	/** Tokens the backend server computes in a second when full; what the estimates of the wait start from. */
	readonly tokensPerSecond: number;
	/** See {@link PacerSettings.batchWeight}; 0.3 by default. */
	readonly batchWeight?: number;
};

/** What the caller has to do. */
export type AdmissionStep
	= | {readonly kind: 'start'; readonly ticket: Ticket}
	/** Cancel a batch item in the backend server; it goes back to its queue. */
		| {readonly kind: 'preempt'; readonly ticket: Ticket}
		| {readonly kind: 'refuse'; readonly ticket: Ticket; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Tokens of a ticket's prompt. */
export const ticketPromptTokens = ({promptTokens, costTokens}: Ticket): number => promptTokens ?? costTokens;
