/**
Reads the body of a request up to a limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {BodyError} from './exchange.js';

/**
Reads all of a body. What exceeds the limit is read and thrown away, so that the caller, which is still sending, gets to see the refusal.

@param limit - The most bytes that are accepted.
*/
export const readBody = async (req: IncomingMessage, limit: number): Promise<Either<BodyError, Buffer>> => {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of req) {
			const bytes = chunk as Buffer;
			size += bytes.length;
			if (size <= limit) {
				chunks.push(bytes);
			}
		}
	} catch {
		return Left({status: 400, message: 'the body broke off'});
	}

	return size > limit
		? Left({status: 413, message: `the body is larger than ${limit} bytes`})
		: Right(Buffer.concat(chunks));
};
