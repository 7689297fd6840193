/**
What an agent can have beside it: one interface for model engines and plain services.
*/
import type {Either} from 'purify-ts/Either';
import type {BackendWork} from '../common/protocol.js';
import type {ModelControl} from './model-control.js';

/** Work for the backend server. */
export type BackendRequest = {
	/** The id under which the backend server knows the work. */
	readonly key: string;
	readonly work: BackendWork;
	readonly signal: AbortSignal;
	/** Receives each chunk of the answer, without a line break. */
	readonly onChunk: (data: string) => void;
};

/**
Why there is no whole answer. `rejected`: the backend server's own final error. `full`: it took the request but has no room, and did not run it. `unreachable`: not a byte of the request was sent, so it was not run. `lost`: it may have been run. `cancelled`: the signal aborted.
*/
export type BackendFailure
	= | {readonly kind: 'rejected'; readonly status: number; readonly body: string}
		| {readonly kind: 'full'; readonly retryAfterMs: number}
		| {readonly kind: 'unreachable'; readonly reason: string}
		| {readonly kind: 'lost'; readonly reason: string}
		| {readonly kind: 'cancelled'};

/** Why a backend server does not say what it serves. `unreachable`: nobody listens. `lost`: the connection ended, or the answer could not be read. `silent`: no answer came in time. */
export type ServesFailure = {readonly kind: 'unreachable' | 'lost' | 'silent'; readonly reason: string};

/** A backend server. */
export type Backend = {
	/** How its models are changed, where it has any. */
	readonly models?: ModelControl;
	/** Resolves when the answer is whole, or with why it is not. Never rejects. */
	run(req: BackendRequest): Promise<Either<BackendFailure, void>>;
	/** What it can serve now, as `model:<name>` or `service:<name>`, or why it does not say. */
	serves(): Promise<Either<ServesFailure, readonly string[]>>;
};
