/**
The body of one request while it is received. It is put together at once, so that it takes the memory of its bytes, however small the pieces are in which it arrives.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';

/** Why a body was not read. `tooLarge`: it exceeds the size limit. `cut`: its sender closed the connection, or the server ended the request. */
export type BodyFailure
	= | {readonly kind: 'tooLarge'; readonly limitBytes: number}
		| {readonly kind: 'cut'};

/** What a body reports while it is received. */
export type BodyListener = {
	/** Called with the size of each piece, in bytes. */
	readonly onReceived: (bytes: number) => void;
	/** Called with the number of bytes by which the memory of the body has grown, or shrunk. */
	readonly onGrowth: (bytes: number) => void;
};

const noListener: BodyListener = {onReceived: () => undefined, onGrowth: () => undefined};

// A sender whose connection is closed while it sends the body receives a reset instead of the rejection. Up to this many bytes above the limit are therefore read and discarded; a body that exceeds this, too, is cut off.
const maxDiscardedBytes = 67_108_864;

const leastCapacity = 1024;

const empty: Buffer = Buffer.alloc(0);

/** See the module's head. */
export class RequestBody {
	/** Resolves with the body, or with the failure. Never rejects. */
	readonly received: Promise<Either<BodyFailure, Buffer>>;
	readonly #req: IncomingMessage;
	readonly #limitBytes: number;
	readonly #listener: BodyListener;
	#resolve!: (outcome: Either<BodyFailure, Buffer>) => void;
	/** Its first `#size` bytes are the body so far. */
	#bytes = empty;
	#size = 0;
	#isOver = false;
	#isDiscarded = false;

	/** @param limitBytes - Maximum accepted size of the body. */
	constructor(req: IncomingMessage, limitBytes: number, listener = noListener) {
		this.#req = req;
		this.#limitBytes = limitBytes;
		this.#listener = listener;
		this.received = new Promise(resolve => {
			this.#resolve = resolve;
		});
		const onCut = () => {
			this.#finish(Left({kind: 'cut'}));
		};

		if (req.destroyed) {
			onCut();
			return;
		}

		req.on('data', (piece: Buffer) => {
			this.#receive(piece);
		});
		req.once('end', () => {
			this.#finish(this.#isTooLarge ? Left({kind: 'tooLarge', limitBytes}) : Right(this.#bytes.subarray(0, this.#size)));
		});
		req.once('error', onCut);
		req.once('close', onCut);
	}

	/** Whether the body is still being received. */
	get isReceiving(): boolean {
		return !this.#isOver;
	}

	/** Number of bytes received. */
	get size(): number {
		return this.#size;
	}

	/** Gives the memory back. What still arrives is read and dropped. */
	discard(): void {
		if (this.#isDiscarded) {
			return;
		}

		this.#isDiscarded = true;
		this.#release();
		this.#finish(Left({kind: 'cut'}));
	}

	get #isTooLarge(): boolean {
		return this.#size > this.#limitBytes;
	}

	#receive(piece: Buffer) {
		const before = this.#size;
		this.#listener.onReceived(piece.length);
		this.#size += piece.length;
		if (this.#isTooLarge || this.#isDiscarded) {
			this.#drop();
			return;
		}

		if (before === 0) {
			this.#keep(piece);
			return;
		}

		if (this.#size > this.#bytes.length) {
			this.#grow();
		}

		piece.copy(this.#bytes, before);
	}

	#drop() {
		this.#release();
		if (this.#size > this.#limitBytes + maxDiscardedBytes) {
			this.#finish(Left({kind: 'tooLarge', limitBytes: this.#limitBytes}));
			this.#req.destroy();
		}
	}

	#grow() {
		const capacity = Math.max(leastCapacity, this.#size, this.#expectedSize);
		const larger = Buffer.allocUnsafeSlow(capacity);
		this.#bytes.copy(larger);
		this.#keep(larger);
	}

	/** The size that the client has announced, as far as it is allowed; twice the size so far if it has announced none. */
	get #expectedSize(): number {
		return Math.min(Number(this.#req.headers['content-length'] ?? 2 * this.#size), this.#limitBytes);
	}

	#keep(bytes: Buffer) {
		const growth = bytes.length - this.#bytes.length;
		this.#bytes = bytes;
		this.#listener.onGrowth(growth);
	}

	#release() {
		if (this.#bytes.length > 0) {
			this.#keep(empty);
		}
	}

	#finish(outcome: Either<BodyFailure, Buffer>) {
		this.#isOver = true;
		this.#resolve(outcome);
	}
}

const bodyKey = Symbol('body');

/** Kept with the request: an entry of a weak map for each request would make every collection of garbage slower. */
type ReceivedRequest = IncomingMessage & {[bodyKey]?: RequestBody};

/** Whether a request announces a body. */
export const hasBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Begins to receive the body of a request; {@link readBody} waits for it. */
export const receiveBody = (req: IncomingMessage, limitBytes: number, listener?: BodyListener): RequestBody => {
	const body = new RequestBody(req, limitBytes, listener);
	(req as ReceivedRequest)[bodyKey] = body;
	return body;
};

/** The body that is being received, or has been. */
export const receivedBody = (req: IncomingMessage): RequestBody | undefined => (req as ReceivedRequest)[bodyKey];
