/**
One HTTP request and its answer, as the stand-ins handle it. All writing passes through here, so that a connection that has gone silent swallows what is written to it.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import {readBody, type BodyFailure} from '../io/read-body.js';

/** What a request's body may be refused for. */
export type BodyError = {readonly status: 400 | 413; readonly message: string};

const bodyErrors: Record<BodyFailure['kind'], BodyError> = {
	tooLarge: {status: 413, message: 'the body is too large'},
	cut: {status: 400, message: 'the body broke off'},
};

const defaultBodyLimit = 64 * 1024 * 1024;

/** A request with its answer. */
export class Exchange {
	/** The request's address, with its query. */
	readonly url: URL;
	/** Values of the route's `:name` segments, decoded. */
	params: Readonly<Record<string, string>> = {};

	readonly #req: IncomingMessage;
	readonly #res: ServerResponse;
	readonly #isSilent: () => boolean;

	/**
	@param isSilent - Whether the connection has gone silent.
	*/
	constructor(req: IncomingMessage, res: ServerResponse, isSilent: () => boolean) {
		this.#req = req;
		this.#res = res;
		this.#isSilent = isSilent;
		this.url = new URL(`http://standin${req.url?.startsWith('/') ? req.url : '/'}`);
	}

	get method(): string {
		return this.#req.method ?? 'GET';
	}

	/** A request header's value, or undefined. Names are in lower case. */
	header(name: string): string | undefined {
		return this.#req.headers[name]?.toString();
	}

	/** A number from the query, or `fallback` when it is absent or not a number. */
	queryNumber(name: string, fallback: number): number {
		const text = this.url.searchParams.get(name);
		const value = text ? Number(text) : Number.NaN;
		return Number.isNaN(value) ? fallback : value;
	}

	/** The body; fails with 413 beyond `limit` bytes, and with 400 when the caller breaks off. */
	async bytes(limit = defaultBodyLimit): Promise<Either<BodyError, Buffer>> {
		const body = await readBody(this.#req, limit);
		return body.mapLeft(({kind}) => bodyErrors[kind]);
	}

	/** The body as text that is known to be JSON; fails with 400 when it is not. */
	async jsonText(limit = defaultBodyLimit): Promise<Either<BodyError, string>> {
		const body = await this.bytes(limit);
		return body.chain(bytes => {
			const text = bytes.toString();
			try {
				JSON.parse(text);
				return Right(text);
			} catch {
				return Left({status: 400, message: 'the body is not JSON'} as const);
			}
		});
	}

	/** The body, parsed as JSON. An empty body counts as `{}`. */
	async json(): Promise<Either<BodyError, unknown>> {
		const body = await this.bytes();
		return body.chain(bytes => {
			try {
				return Right(JSON.parse(bytes.length === 0 ? '{}' : bytes.toString()) as unknown);
			} catch {
				return Left({status: 400, message: 'the body is not JSON'} as const);
			}
		});
	}

	/** Answers with a JSON value. */
	send(status: number, value: unknown, headers: OutgoingHttpHeaders = {}): void {
		this.sendText(status, JSON.stringify(value), headers);
	}

	/** Answers with text that is JSON already. */
	sendText(status: number, text: string, headers: OutgoingHttpHeaders = {}): void {
		if (this.#isSilent() || this.#res.destroyed) {
			return;
		}

		this.#res.writeHead(status, {'Content-Type': 'application/json', ...headers});
		this.#res.end(text);
	}

	/** Sends the head of an answer that is written in pieces. */
	startStream(contentType: string): void {
		if (!this.#isSilent()) {
			this.#res.writeHead(200, {'Content-Type': contentType, 'Cache-Control': 'no-cache'});
		}
	}

	/** Writes a piece of a streamed answer. */
	write(text: string): void {
		if (!this.#isSilent() && !this.#res.destroyed) {
			this.#res.write(text);
		}
	}

	/** Ends a streamed answer. */
	end(): void {
		if (!this.#isSilent()) {
			this.#res.end();
		}
	}

	/** Cuts the connection without a word. */
	cut(): void {
		this.#req.socket.destroy();
	}

	/**
	Runs `listener` when the caller's connection closes before the answer is complete. On a silent connection it does not run: the close never arrives there.
	*/
	onBroken(listener: () => void): void {
		this.#res.on('close', () => {
			if (!this.#res.writableFinished && !this.#isSilent()) {
				listener();
			}
		});
	}
}
