/**
What a trace of decisions holds: for each decision everything that its policy was given, and what it chose. Policies are pure, so the same inputs must give the same choice again; a trace is replayed against the policies and against stated outcomes.
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

/** Takes decisions as they are made. */
export type DecisionTrace = {
	write(decision: DecisionRecord): void;
};
