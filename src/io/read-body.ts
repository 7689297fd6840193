/**
Reads the body of an HTTP request up to a size limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import {
	hasBody, receivedBody, receiveBody, type BodyFailure,
} from './request-body.js';

const noBytes: Buffer = Buffer.alloc(0);

/**
Waits for the complete body. A server may have begun to receive it, with a limit of its own.

@param limitBytes - Maximum accepted size of the body.
@returns The body, or the failure. Never rejects.
*/
export const readBody = async (req: IncomingMessage, limitBytes: number): Promise<Either<BodyFailure, Buffer>> => {
	if (!hasBody(req)) {
		return Right(noBytes);
	}

	const body = await (receivedBody(req) ?? receiveBody(req, limitBytes)).received;
	return body.chain(bytes => bytes.length > limitBytes ? Left({kind: 'tooLarge', limitBytes}) : body);
};

export {type BodyFailure} from './request-body.js';
