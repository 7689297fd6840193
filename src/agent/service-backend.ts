/**
The plain service beside this agent. Its status, headers and body pass through unread.
*/
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {CallHead, CallWork} from '../common/protocol.js';
import type {HttpClient, HttpFailure, HttpResponse} from '../io/http-client.js';
import type {
	Backend, BackendFailure, BackendRequest, ServesFailure,
} from './backend.js';
import {failureBeforeResponse, failureInResponse} from './backend-failures.js';

const headTimeoutMs = 600_000;
const maxResponseBytes = 4_194_304;

// They speak of one connection, or are set anew by the HTTP client.
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect']);

const withoutHopHeaders = (headers: Readonly<Record<string, unknown>>) => Object.fromEntries(Object.entries(headers)
	.filter(([name, value]) => value !== undefined && !hopHeaders.has(name))) as Record<string, string | string[]>;

/** Calls the service at one address. */
export class ServiceBackend implements Backend {
	readonly #http: HttpClient;
	readonly #address: string;
	readonly #service: string;

	/**
	@param address - The service's `ip:port`.
	@param service - Its name as callers write it.
	*/
	constructor(http: HttpClient, address: string, service: string) {
		this.#http = http;
		this.#address = address;
		this.#service = service;
	}

	async run(req: BackendRequest): Promise<Either<BackendFailure, void>> {
		const work = req.work as CallWork;
		const sent = await this.#http.send({
			address: this.#address,
			method: work.method,
			path: work.path,
			headers: withoutHopHeaders(work.headers),
			body: work.bodyBase64 === '' ? undefined : Buffer.from(work.bodyBase64, 'base64'),
			timeoutMs: headTimeoutMs,
			signal: req.signal,
		});
		return sent.isLeft()
			? Left(failureBeforeResponse(sent.extract(), req))
			: this.#follow(sent.extract() as HttpResponse, req);
	}

	async serves(): Promise<Either<ServesFailure, readonly string[]>> {
		return Right([`service:${this.#service}`]);
	}

	// The answer to HEAD tells the length of a body that does not follow, so nobody else can set it.
	#lengthOfHead(res: HttpResponse, req: BackendRequest): Record<string, string> {
		const length = res.headers['content-length'];
		return (req.work as CallWork).method === 'HEAD' && length !== undefined ? {'content-length': length} : {};
	}

	async #follow(res: HttpResponse, req: BackendRequest): Promise<Either<BackendFailure, void>> {
		const head: CallHead = {status: res.status, headers: {...withoutHopHeaders(res.headers), ...this.#lengthOfHead(res, req)}};
		req.onChunk(JSON.stringify(head));
		let size = 0;
		try {
			for await (const piece of res.body as AsyncIterable<Uint8Array>) {
				size += piece.length;
				if (size > maxResponseBytes) {
					// Agent and entry hold a response until it is whole; one without a bound would take them down with everything they carry.
					return Left({kind: 'rejected', status: 502, body: `the service's response is larger than ${maxResponseBytes} bytes`});
				}

				req.onChunk(Buffer.from(piece).toString('base64'));
			}

			return Right(undefined);
		} catch (err) {
			return Left(failureInResponse(String(err), req));
		}
	}
}
