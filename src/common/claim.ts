/**
The claim of an idempotency key: an object of the object API that is created before a keyed, non-idempotent request is run. When the request is sent again, through any entry, the claim shows which agent to ask for the answer.
*/
import type {VmName} from './ids.js';
import type {Incarnation} from './protocol.js';
import type {IssuedAttempt} from './request-ledger.js';

/** The attempt that was sent last. */
export type ClaimedAttempt = IssuedAttempt & {
	readonly vm: VmName;
	readonly address: string;
	readonly incarnation: Incarnation;
};

/** How the request ended, once that is known. */
export type ClaimedOutcome = {
	/** The answer's chunks; left out when they are larger than {@link maxClaimedCharacters}. */
	readonly chunks?: readonly string[];
	/** The backend server's own error, when the request ended with one. */
	readonly rejected?: {readonly status: number; readonly body: string};
};

/** The value of a claim. */
export type ClaimValue = {
	/** Identifies the request that wrote the claim, so that it recognises its own write when the answer to it was lost. */
	readonly writer: string;
	/** Digest of method, path and body; a key that is reused with another request is refused. */
	readonly digest: string;
	readonly attempt: ClaimedAttempt;
	/** Milliseconds since 1970 when the writer's deadline passes. */
	readonly deadlineAt: number;
	readonly end?: ClaimedOutcome;
};

/** Answers up to this size are stored in the claim, so that they stay available after the agent's ledger has dropped them. */
export const maxClaimedCharacters = 16_384;
