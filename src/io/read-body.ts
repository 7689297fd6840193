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

// A sender whose connection is closed while it sends the body receives a reset instead of the rejection. Up to this many bytes above the limit are therefore read and discarded; for larger bodies reading stops.
const drainedBytes = 67_108_864;

/**
Reads a complete body. A limited number of bytes above the limit is read and discarded, so that the sender receives the rejection.

@param limitBytes - Maximum accepted size of the body.
@returns The body, or the failure. Never rejects.
*/
export const readBody = async (req: IncomingMessage, limitBytes: number): Promise<Either<BodyFailure, Buffer>> => {
	const parts: Buffer[] = [];
	let size = 0;
	try {
		for await (const part of req as AsyncIterable<Buffer>) {
			size += part.length;
			if (size <= limitBytes) {
				parts.push(part);
			} else if (size > limitBytes + drainedBytes) {
				break;
			}
		}
	} catch {
		return Left({kind: 'cut'});
	}

	return size > limitBytes ? Left({kind: 'tooLarge', limitBytes}) : Right(Buffer.concat(parts));
};
