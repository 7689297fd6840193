/**
Parses JSON from another process. Malformed data from a peer or backend server is an outcome of the request, not a violated invariant of this process.
*/
import {Either, Left, Right} from 'purify-ts/Either';

/**
Parses a JSON object.

@returns The object, or the reason why there is none: the text is not JSON, or is another kind of value. The caller has to check the object's fields.
*/
export const parseObject = <T extends object>(text: string): Either<string, T> => Either
	.encase(() => JSON.parse(text) as unknown)
	.mapLeft(err => err.message)
	.chain(value => typeof value === 'object' && value !== null && !Array.isArray(value) ? Right(value as T) : Left('not a JSON object'));
