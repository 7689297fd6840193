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

// A sender that is cut off in the middle of its body sees a reset connection instead of the refusal. Up to this much more is read and dropped; a body beyond that is cut.
const drainedBytes = 67_108_864;

/**
Reads a whole body. What exceeds the limit is read and dropped, within reason, so that the sender gets to see the refusal.

@param limitBytes - The largest body that is taken.
@returns The bytes, or why there are none. Never rejects.
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
