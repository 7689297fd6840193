/**
The entry's numbered events, 200 to 299.
*/
import type {EventDefinition} from '../common/types.js';

export const entryEvents = {
	listening: {number: 200, level: 'info', text: 'entry listens'},
	drainBegun: {number: 201, level: 'info', text: 'entry asks its callers to connect elsewhere'},
	drainEnded: {number: 202, level: 'info', text: 'entry has finished its work'},
	routed: {number: 210, level: 'info', text: 'replica chosen for an attempt'},
	/** Fields: id, target, replicas, serving, heardMs, lastFailure; see `TargetAvailability`. */
	noReplica: {number: 211, level: 'warn', text: 'no replica to route to'},
	attemptRefused: {number: 212, level: 'info', text: 'agent refused an attempt, not run'},
	attemptLost: {number: 213, level: 'warn', text: 'connection to an attempt was lost or went silent'},
	/** Fields: id, attempt, vm, state (of the agent's ledger). */
	attemptFollowedUp: {number: 220, level: 'info', text: 'learnt what became of an attempt that was given up as lost'},
	attemptResumed: {number: 214, level: 'info', text: 'stream of an attempt taken up on a new connection'},
	attemptRevoked: {number: 215, level: 'info', text: 'lost attempt had not begun and is revoked'},
	outcomeUnknown: {number: 216, level: 'warn', text: 'non-idempotent request may have run, its outcome is unknown'},
	requestEnded: {number: 217, level: 'info', text: 'request ended'},
	claimFound: {number: 218, level: 'info', text: 'idempotency key is claimed by an earlier request, which is followed'},
	claimsRemoved: {number: 219, level: 'debug', text: 'claims of idempotency keys removed, their retention is over'},
	vmListFailed: {number: 230, level: 'warn', text: 'VM list could not be read'},
	handlerFailed: {number: 290, level: 'error', text: 'a request handler broke an invariant'},
} as const satisfies Record<string, EventDefinition>;
