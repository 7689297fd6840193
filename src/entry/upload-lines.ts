/**
Splits an upload into lines as it arrives, with a bound on the bytes that one line may hold. A reader without that bound keeps a file without line breaks whole in memory.
*/
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts/Either';

/** A line had more bytes than allowed; they were dropped. */
export type LineTooLong = {readonly kind: 'lineTooLong'; readonly limitBytes: number};

const lineFeed = 0x0A;
const lineEnd = /\r$/v;

/** Collects the pieces of one line. */
class LineBuffer {
	readonly #limitBytes: number;
	#parts: Buffer[] = [];
	#size = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	get isEmpty(): boolean {
		return this.#size === 0;
	}

	add(piece: Buffer): void {
		this.#size += piece.length;
		if (this.#size <= this.#limitBytes) {
			this.#parts.push(piece);
			return;
		}

		this.#parts = [];
	}

	/** The line, and an empty buffer for the next one. */
	take(): Either<LineTooLong, string> {
		const line = this.#size > this.#limitBytes
			? Left<LineTooLong, string>({kind: 'lineTooLong', limitBytes: this.#limitBytes})
			: Right<string, LineTooLong>(Buffer.concat(this.#parts).toString('utf8').replace(lineEnd, ''));
		this.#parts = [];
		this.#size = 0;
		return line;
	}
}

/**
The lines of a stream, without their line breaks (LF or CR LF). Other characters that some readers take for line breaks may stand in JSON strings, and do not end a line.

@param limitBytes - Bytes of one line at most.
@returns The lines in order; rejects when the stream does.
*/
export async function * uploadLines(stream: AsyncIterable<Buffer>, limitBytes: number): AsyncGenerator<Either<LineTooLong, string>> {
	const line = new LineBuffer(limitBytes);
	for await (const piece of stream) {
		let start = 0;
		for (let end = piece.indexOf(lineFeed); end !== -1; end = piece.indexOf(lineFeed, start)) {
			line.add(piece.subarray(start, end));
			yield line.take();
			start = end + 1;
		}

		line.add(piece.subarray(start));
	}

	if (!line.isEmpty) {
		yield line.take();
	}
}
