/**
Reads the body of an HTTP request up to a size limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';

/** Why a body was not read. `tooLarge`: it exceeds the size limit. `cut`: its sender closed the connection. */
export type BodyFailure
	= | {readonly kind: 'tooLarge'; readonly limitBytes: number}
		| {readonly kind: 'cut'};

// A sender whose connection is closed while it sends the body receives a reset instead of the rejection. Up to this many bytes above the limit are therefore read and discarded; a body that exceeds this, too, is cut off.
const maxDiscardedBytes = 67_108_864;

/**
Reads a complete body. A limited number of bytes above the limit is read and discarded, so that the sender receives the rejection.

@param limitBytes - Maximum accepted size of the body.
@returns The body, or the failure. Never rejects.
*/
export const readBody = async (req: IncomingMessage, limitBytes: number): Promise<Either<BodyFailure, Buffer>> => {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of req as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size <= limitBytes) {
				chunks.push(chunk);
			} else if (size > limitBytes + maxDiscardedBytes) {
				break;
			}
		}
	} catch {
		return Left({kind: 'cut'});
	}

	return size > limitBytes ? Left({kind: 'tooLarge', limitBytes}) : Right(Buffer.concat(chunks));
};
