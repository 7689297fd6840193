/**
Errors as callers of the OpenAI-compatible API know them, with two headers: `Retry-After` says when to come back, and `X-Citronyard-Run` whether the request was run: `not-run`, `run` or `unknown`.
*/
import type {ServerResponse} from 'node:http';
import type {RequestOutcome} from './online-work.js';

/** What an error says about the work. */
export type RunHeader = 'not-run' | 'run' | 'unknown';

/** An error for a caller. */
export type ApiError = {
	readonly status: number;
	readonly type: string;
	readonly code: string;
	readonly message: string;
	readonly param?: string;
	readonly run: RunHeader;
	/** Milliseconds; sent in whole seconds, rounded up, at least 1. */
	readonly retryAfterMs?: number;
};

/** An error in the request itself. */
export const invalidRequest = (message: string, options: {param?: string; status?: number; code?: string} = {}): ApiError => ({
	status: options.status ?? 400,
	type: 'invalid_request_error',
	code: options.code ?? 'invalid_request',
	message,
	param: options.param,
	run: 'not-run',
});

/** The system can not take the request now. */
export const unavailable = (message: string, retryAfterMs: number, code = 'unavailable'): ApiError => ({
	status: 503, type: 'server_error', code, message, run: 'not-run', retryAfterMs,
});

/** The account has too much under way. */
export const tooMany = (message: string, retryAfterMs: number): ApiError => ({
	status: 429, type: 'rate_limit_error', code: 'rate_limit_exceeded', message, run: 'not-run', retryAfterMs,
});

/** The body in the shape that the OpenAI clients parse. */
export const errorBody = ({message, type, param, code}: ApiError) => ({
	error: {
		message, type, param: param ?? null, code,
	},
});

const retryAfterSeconds = (ms: number) => String(Math.max(1, Math.ceil(ms / 1000)));

/** Sends an error as a response. */
export const sendError = (res: ServerResponse, err: ApiError): void => {
	if (res.headersSent || res.destroyed) {
		return;
	}

	res.writeHead(err.status, {
		'content-type': 'application/json',
		'x-citronyard-run': err.run,
		// The official clients would repeat any 5xx by themselves; only what was not run may be.
		'x-should-retry': String(err.run === 'not-run' && err.retryAfterMs !== undefined),
		...(err.retryAfterMs !== undefined && {'retry-after': retryAfterSeconds(err.retryAfterMs)}),
	});
	res.end(JSON.stringify(errorBody(err)));
};

type FailedOutcome = Exclude<RequestOutcome, {kind: 'whole'}>;

const describe = (err: Omit<ApiError, 'type'>): ApiError => ({type: 'server_error', ...err});

const errorsByOutcome: {[Kind in FailedOutcome['kind']]: (outcome: Extract<FailedOutcome, {kind: Kind}>) => ApiError} = {
	refused: ({reason, retryAfterMs}) => reason === 'queueFull' || reason === 'deadline'
		? tooMany(`overloaded (${reason}), not run`, retryAfterMs)
		: unavailable(`no replica took the request (${reason}), not run`, retryAfterMs, 'no_replica'),
	rejected: ({status, body}) => describe({
		status, code: 'backend_rejected', message: body, run: 'run',
	}),
	failed: ({reason, run}) => describe({
		status: 502, code: 'backend_failed', message: `the answer could not be completed: ${reason}`, run, retryAfterMs: 1000,
	}),
	expired: ({run}) => describe({
		status: 504, code: 'deadline_exceeded', message: 'the deadline passed before the answer was complete', run, retryAfterMs: 1000,
	}),
	unknown: ({reason}) => describe({
		status: 502, code: 'outcome_unknown', message: `the request may or may not have run, and was not repeated: ${reason}`, run: 'unknown',
	}),
	keyReused: () => invalidRequest('the idempotency key was used with another request', {status: 422, code: 'idempotency_key_reused'}),
	aborted: () => describe({
		status: 499, code: 'caller_gone', message: 'the caller closed the connection', run: 'unknown',
	}),
};

/** The error that tells a caller of an outcome. */
export const errorOf = (outcome: FailedOutcome): ApiError => (errorsByOutcome[outcome.kind] as (outcome: FailedOutcome) => ApiError)(outcome);
