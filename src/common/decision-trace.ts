/**
The records of a decision trace: for each decision all inputs of its policy, and the choice. Policies are pure, so the same inputs must give the same choice again; a trace is replayed against the policies and against stated invariants.
*/
import type {LeaseDecision, LeaseRequest} from './lease.js';
import type {RouteRecord} from './route-record.js';

/** A decision about a lease. */
export type LeaseRecord = {
	readonly kind: 'lease';
	/** The lease's name. */
	readonly name: string;
	readonly question: LeaseRequest;
	readonly decision: LeaseDecision;
};

/** One line of a trace. */
export type DecisionRecord = RouteRecord | LeaseRecord;

/** Receives decisions as they are made. */
export type DecisionTrace = {
	write(decision: DecisionRecord): void;
};
