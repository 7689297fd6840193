/**
Types of the admission control: the work offered, the limits that apply to it, and the steps that the caller carries out.
*/
import type {QueueItem} from './fair-queue.js';
import type {RefusalReason, WorkClass} from './protocol.js';

/** A unit of work to be run by the backend server. */
export type Ticket = QueueItem & {
	/** Unique among the tickets of this agent. */
	readonly key: string;
	readonly workClass: WorkClass;
	/** The deadline, as the clock's `now`; a later answer is useless. */
	readonly deadlineAt: number;
	/** The prompt's part of `costTokens`; all of it by default. */
	readonly promptTokens?: number;
};

/** Limits of one agent. */
export type AdmissionLimits = {
	/** Requests the backend server runs at once. */
	readonly maxRunning: number;
	/** Online requests that may wait in the agent's queue. */
	readonly maxQueued: number;
	/** Tokens that the backend server computes per second at full load; initial value for the estimates of the wait. */
	readonly tokensPerSecond: number;
	/** See {@link PacerSettings.batchWeight}; 0.3 by default. */
	readonly batchWeight?: number;
};

/** A step that the caller carries out. */
export type AdmissionStep
	= | {readonly kind: 'start'; readonly ticket: Ticket}
	/** Cancel a batch item in the backend server; it goes back to its queue. */
		| {readonly kind: 'preempt'; readonly ticket: Ticket}
		| {readonly kind: 'refuse'; readonly ticket: Ticket; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Tokens of a ticket's prompt; all of `costTokens` when the ticket does not state them. */
export const ticketPromptTokens = ({promptTokens, costTokens}: Ticket): number => promptTokens ?? costTokens;
