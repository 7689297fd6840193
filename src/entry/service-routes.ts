/**
The route for plain services: `/services/<name>/…`. Method, path, headers, body and status pass through. Methods that the service does not declare idempotent run at most once; the header `X-Citronyard-Idempotent: true` or `false` overrides that for one call.
*/
import {randomUUID} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts/Either';
import type {OnlineService} from '../../typings/resources.js';
import {branded} from '../common/ids.js';
import {readBody} from '../io/read-body.js';
import type {Route, RouteMatch} from '../io/http-server.js';
import type {Account} from './accounts.js';
import {CallSink} from './answer-sink.js';
import {
	errorOf, invalidRequest, sendError, type ApiError,
} from './api-error.js';
import {idempotentHeader, idempotentOf} from './idempotent-header.js';
import type {Exchange, OnlineFrontend} from './online-frontend.js';

const defaultIdempotentMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];
const defaultTimeoutMs = 30_000;
// A call of a plain service counts as this many tokens when replicas are compared.
const callCostTokens = 100;
// The key is the caller's secret towards this system, not towards the service.
const ownHeaders = new Set(['authorization', idempotentHeader, 'x-citronyard-deadline-ms']);

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

const passedHeaders = (req: IncomingMessage) => Object.fromEntries(Object.entries(req.headers)
	.filter(([name, value]) => value !== undefined && !ownHeaders.has(name))) as Record<string, string | string[]>;

type ServiceCall = {readonly account: Account; readonly service: OnlineService; readonly path: string; readonly body: Buffer; readonly idempotent: boolean};

/** Serves calls of plain services. */
export class ServiceRoutes {
	readonly #frontend: OnlineFrontend;
	readonly #maxBodyBytes: number;

	constructor(frontend: OnlineFrontend, maxBodyBytes: number) {
		this.#frontend = frontend;
		this.#maxBodyBytes = maxBodyBytes;
	}

	get routes(): Route[] {
		return [{
			method: '*',
			pattern: /^\/services\/(?<service>[^\/]+)(?<path>\/.*)?$/v,
			handle: async (req, res, match) => this.#call(req, res, match),
		}];
	}

	async #call(req: IncomingMessage, res: ServerResponse, {url, params}: RouteMatch) {
		const name = params.service ?? '';
		const known = this.#frontend.accounts.identify(req)
			.chain(account => this.#frontend.requireService(name).map(service => ({account, service})))
			.chain(({account, service}) => this.#idempotentOf(req, service.spec).map(idempotent => ({account, service, idempotent})));
		if (known.isLeft()) {
			sendError(res, known.extract());
			return;
		}

		const body = await readBody(req, this.#maxBodyBytes);
		if (body.isLeft()) {
			res.setHeader('connection', 'close');
			sendError(res, invalidRequest(`the body is larger than ${this.#maxBodyBytes} bytes`, {status: 413, code: 'body_too_large'}));
			return;
		}

		await this.#run({
			...known.extract() as Omit<ServiceCall, 'path' | 'body'>, path: `${params.path ?? '/'}${url.search}`, body: body.extract() as Buffer,
		}, {req, res});
	}

	async #run({
		account, service: {metadata, spec}, path, body, idempotent,
	}: ServiceCall, {req, res}: Exchange) {
		const sink = new CallSink();
		const outcome = await this.#frontend.run({
			id: branded(`call-${randomUUID()}`),
			account,
			work: {
				kind: 'call', target: metadata.name, method: req.method ?? 'GET', path, headers: passedHeaders(req), bodyBase64: body.toString('base64'),
			},
			idempotent,
			costTokens: callCostTokens,
			maxMs: spec.timeoutMs ?? defaultTimeoutMs,
		}, sink, {req, res});
		if (outcome.kind !== 'whole') {
			sendError(res, errorOf(outcome));
			return;
		}

		this.#send(sink, req, res);
	}

	#idempotentOf(req: IncomingMessage, spec: OnlineService['spec']): Either<ApiError, boolean> {
		const methods = spec.idempotentMethods ?? defaultIdempotentMethods;
		return idempotentOf(req, methods.includes(req.method ?? ''));
	}

	#send(sink: CallSink, req: IncomingMessage, res: ServerResponse) {
		const {head, body} = sink;
		const status = head?.status ?? 502;
		// The answer to HEAD, a 204 and a 304 have no body: a length of 0 would speak of the resource.
		const hasBody = req.method !== 'HEAD' && !bodilessStatuses.has(status);
		res.writeHead(status, {...head?.headers, ...(hasBody && {'content-length': body.length})});
		res.end(hasBody ? body : undefined);
	}
}
