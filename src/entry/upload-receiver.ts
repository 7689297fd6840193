/**
Receives the form of an upload and packs its file while it arrives. However the form ends, whole, broken or cut, there is one outcome and nothing is left waiting.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import busboy from 'busboy';
import {Left, type Either} from 'purify-ts/Either';
import type {Clock, ObjectApi} from '../common/services.js';
import {invalidRequest, type ApiError} from './api-error.js';
import {ItemPacker, type PackedFile, type PackLimits} from './item-packer.js';
import {uploadLines, type LineTooLong} from './upload-lines.js';

/** What was received. */
export type Upload = {
	readonly packed: Either<ApiError, PackedFile>;
	/** Bytes of the file. */
	readonly bytes: number;
	readonly filename: string;
};

/** What the receiver needs. */
export type UploadParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly limits: PackLimits;
};

const failed = (message: string): Upload => ({packed: Left(invalidRequest(message, {param: 'file'})), bytes: 0, filename: ''});

const tooLong = ({limitBytes}: LineTooLong): ApiError => invalidRequest(`a line has more than ${limitBytes} bytes`, {param: 'file', status: 413, code: 'line_too_long'});

const pack = async (stream: Readable, filename: string, {api, clock, limits}: UploadParts): Promise<Upload> => {
	const packer = new ItemPacker(api, clock, limits);
	let bytes = 0;
	let err: ApiError | undefined;
	stream.on('data', (piece: Buffer) => {
		bytes += piece.length;
	});
	// After an error the rest is read and dropped, so that the answer reaches a client that is still sending.
	for await (const line of uploadLines(stream, limits.chunkBytes)) {
		if (!err) {
			const added = await line.mapLeft(tooLong).caseOf({
				Left: async tooLongError => Left<ApiError, void>(tooLongError),
				Right: async text => packer.add(text),
			});
			err = added.isLeft() ? added.extract() : undefined;
		}
	}

	return {packed: err ? Left(err) : await packer.finish(), bytes, filename};
};

/** Receives the first file of a form; further files are read and dropped. Never rejects. */
export const receiveUpload = async (req: IncomingMessage, parts: UploadParts): Promise<Upload> => {
	let form: busboy.Busboy;
	try {
		form = busboy({headers: req.headers});
	} catch {
		return failed('the body is not multipart/form-data');
	}

	return new Promise(resolve => {
		let upload: Promise<Upload> | undefined;
		form.on('file', (_name, stream, info) => {
			if (upload) {
				// The form ends only when each of its files was read.
				stream.resume();
				return;
			}

			// A form without its end fails the file's stream as well. Left to itself that rejection would end the process.
			upload = pack(stream, info.filename ?? '', parts).catch(() => failed('the form is broken'));
		});
		form.on('error', () => {
			resolve(failed('the form is broken'));
		});
		form.on('close', () => {
			resolve(upload ?? failed('the form has no file'));
		});
		req.once('aborted', () => {
			resolve(failed('the upload was cut'));
			form.destroy();
		});
		req.pipe(form);
	});
};
