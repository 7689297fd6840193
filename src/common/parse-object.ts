/**
Parses JSON that came from another process. What a peer or backend server sends can be broken; that is an outcome of the request, not a broken invariant of this process.
*/
import {Either, Left, Right} from 'purify-ts/Either';

/**
Parses a JSON object.

@returns The object, or why there is none: the text is no JSON, or another kind of value. The object's fields are the caller's to check.
*/
export const parseObject = <T extends object>(text: string): Either<string, T> => Either
	.encase(() => JSON.parse(text) as unknown)
	.mapLeft(err => err.message)
	.chain(value => typeof value === 'object' && value !== null && !Array.isArray(value) ? Right(value as T) : Left('not a JSON object'));
