/**
Reads the body of a request up to a limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';

/** Why a body was not read: it is larger than allowed, or its sender went away. */
export type BodyFailure
	= | {readonly kind: 'tooLarge'; readonly limitBytes: number}
		| {readonly kind: 'cut'};

/**
Reads a whole body.

@param limitBytes - The largest body that is taken. Beyond it the rest is left unread and the connection should be closed after the answer.
@returns The bytes, or why there are none. Never rejects.
*/
export const readBody = async (req: IncomingMessage, limitBytes: number): Promise<Either<BodyFailure, Buffer>> => {
	const announced = Number(req.headers['content-length'] ?? 0);
	if (announced > limitBytes) {
		return Left({kind: 'tooLarge', limitBytes});
	}

	const parts: Buffer[] = [];
	let size = 0;
	try {
		for await (const part of req as AsyncIterable<Buffer>) {
			size += part.length;
			if (size > limitBytes) {
				return Left({kind: 'tooLarge', limitBytes});
			}

			parts.push(part);
		}
	} catch {
		return Left({kind: 'cut'});
	}

	return Right(Buffer.concat(parts));
};
