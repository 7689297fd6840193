/**
Reads the header by which a caller says whether its request may be run again.
*/
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import {invalidRequest, type ApiError} from './api-error.js';

/** The header's name, as Node gives it. */
export const idempotentHeader = 'x-citronyard-idempotent';

const values = new Map([['true', true], ['false', false]]);

/**
Says whether a request is idempotent.

Client libraries print booleans in their own way (`False`), and a value that was misread as idempotent would run the request twice. So letter case does not count, and anything else is refused before the request runs.

@param declared - What holds without the header.
*/
export const idempotentOf = (req: IncomingMessage, declared: boolean): Either<ApiError, boolean> => {
	const header = req.headers[idempotentHeader];
	const value = header === undefined ? declared : values.get(String(header).trim().toLowerCase());
	return value === undefined
		? Left(invalidRequest('X-Citronyard-Idempotent must be true or false', {code: 'invalid_header', param: 'X-Citronyard-Idempotent'}))
		: Right(value);
};
