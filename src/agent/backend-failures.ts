/**
Turns HTTP failures towards the backend server into what they say about the work.
*/
import type {HttpFailure} from '../io/http-client.js';
import type {BackendFailure, BackendRequest} from './backend.js';

/**
Names a failure that came before any response.

@returns `unreachable` only when nothing was sent.
*/
export const failureBeforeResponse = (failure: HttpFailure, req: BackendRequest): BackendFailure => {
	if (failure.kind === 'notSent') {
		return {kind: 'unreachable', reason: failure.reason};
	}

	return req.signal.aborted ? {kind: 'cancelled'} : {kind: 'lost', reason: failure.reason};
};

/** Names the end of a response before it was whole. */
export const failureInResponse = (reason: string, req: BackendRequest): BackendFailure => req.signal.aborted
	? {kind: 'cancelled'}
	: {kind: 'lost', reason};
