/**
The routes for generations, streamed and not, and the list of models.
*/
import {randomUUID} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts/Either';
import type {ServedModel} from '../../typings/resources.js';
import type {AnswerChunk} from '../common/answer-assembler.js';
import {branded} from '../common/ids.js';
import {readBody} from '../io/read-body.js';
import type {Route} from '../io/http-server.js';
import type {Account} from './accounts.js';
import {GenerationSink} from './answer-sink.js';
import {
	errorBody, errorOf, invalidRequest, sendError, type ApiError,
} from './api-error.js';
import {generationPaths, parseGeneration, type GenerationRequest} from './generation-request.js';
import {idempotentOf} from './idempotent-header.js';
import type {OnlineFrontend} from './online-frontend.js';
import type {RequestOutcome} from './online-work.js';

/** Sends a stream to a caller: the head goes out with the first chunk, so that an error before it still has its status. */
class CallerStream {
	readonly #res: ServerResponse;
	readonly #id: string;
	readonly #includeUsage: boolean;

	constructor(res: ServerResponse, id: string, includeUsage: boolean) {
		this.#res = res;
		this.#id = id;
		this.#includeUsage = includeUsage;
	}

	send(chunk: AnswerChunk) {
		if (!this.#res.headersSent) {
			this.#res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': this.#id});
		}

		const {usage, ...rest} = chunk;
		if (usage && !this.#includeUsage && (rest.choices ?? []).length === 0) {
			return;
		}

		this.#res.write(`data: ${JSON.stringify({...rest, ...(usage && this.#includeUsage && {usage}), id: this.#id})}\n\n`);
	}

	end(outcome: RequestOutcome) {
		if (outcome.kind === 'whole') {
			this.#res.end('data: [DONE]\n\n');
			return;
		}

		if (!this.#res.headersSent) {
			sendError(this.#res, errorOf(outcome));
			return;
		}

		// The head is out; the error ends the stream without its end marker, so that the part is not taken for the whole.
		this.#res.end(`data: ${JSON.stringify(errorBody(errorOf(outcome)))}\n\n`);
	}
}

type CheckedGeneration = GenerationRequest & {readonly idempotent: boolean};

const idPrefixes: Readonly<Record<string, string>> = {'/v1/chat/completions': 'chatcmpl-', '/v1/completions': 'cmpl-'};

/** Serves generations. */
export class GenerationRoutes {
	readonly #frontend: OnlineFrontend;
	readonly #maxBodyBytes: number;

	constructor(frontend: OnlineFrontend, maxBodyBytes: number) {
		this.#frontend = frontend;
		this.#maxBodyBytes = maxBodyBytes;
	}

	get routes(): Route[] {
		const generations = generationPaths.map(path => ({
			method: 'POST',
			pattern: new RegExp(`^${path}$`, 'v'),
			handle: async (req: IncomingMessage, res: ServerResponse) => this.#generate(path, req, res),
		}));
		return [
			...generations,
			{
				method: 'GET', pattern: /^\/v1\/models$/v, handle: (req, res) => {
					this.#listModels(req, res);
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/models\/(?<model>[^\/]+)$/v, handle: (req, res, {params}) => {
					this.#showModel(params.model ?? '', req, res);
				},
			},
		];
	}

	async #generate(path: string, req: IncomingMessage, res: ServerResponse) {
		const account = this.#frontend.accounts.identify(req);
		if (account.isLeft()) {
			sendError(res, account.extract());
			return;
		}

		const body = await readBody(req, this.#maxBodyBytes);
		const parsed: Either<ApiError, CheckedGeneration> = body
			.mapLeft(() => invalidRequest(`the body is larger than ${this.#maxBodyBytes} bytes`, {status: 413, code: 'body_too_large'}))
			.chain(bytes => parseGeneration(path, (bytes).toString('utf8')))
			.chain(request => this.#frontend.requireModel(request.model).map(() => request))
			.chain(request => idempotentOf(req, true).map(idempotent => ({...request, idempotent})));
		if (parsed.isLeft()) {
			this.#closeUnread(req, res);
			sendError(res, parsed.extract());
			return;
		}

		await this.#answer(path, account.extract() as Account, parsed.extract() as CheckedGeneration, {req, res});
	}

	// The rest of a body that is too large is not read: the connection can not carry another request.
	#closeUnread(req: IncomingMessage, res: ServerResponse) {
		if (!req.complete) {
			res.setHeader('connection', 'close');
		}
	}

	async #answer(path: string, account: Account, request: CheckedGeneration, {req, res}: {req: IncomingMessage; res: ServerResponse}) {
		const id = `${idPrefixes[path] ?? ''}${randomUUID()}`;
		const stream = new CallerStream(res, id, request.includeUsage);
		const sink = request.stream
			? new GenerationSink(request.body, chunk => {
				stream.send(chunk);
			})
			: new GenerationSink(request.body);
		const outcome = await this.#frontend.run({
			id: branded(id),
			account,
			work: {
				kind: 'generate', target: request.model, path, body: request.body,
			},
			idempotent: request.idempotent,
			costTokens: request.costTokens,
			promptTokens: request.promptTokens,
			promptBlocks: request.promptBlocks,
		}, sink, {req, res});
		if (request.stream) {
			stream.end(outcome);
			return;
		}

		this.#sendWhole(outcome, id, sink, res);
	}

	#sendWhole(outcome: RequestOutcome, id: string, sink: GenerationSink, res: ServerResponse) {
		if (outcome.kind !== 'whole') {
			this.#sendFailure(outcome, res);
			return;
		}

		res.writeHead(200, {'content-type': 'application/json', 'x-request-id': id});
		res.end(JSON.stringify(sink.result(id)));
	}

	// The engine's own errors are OpenAI-shaped already and pass through as they are.
	#sendFailure(outcome: Exclude<RequestOutcome, {kind: 'whole'}>, res: ServerResponse) {
		if (outcome.kind === 'rejected' && outcome.body.startsWith('{')) {
			res.writeHead(outcome.status, {'content-type': 'application/json', 'x-citronyard-run': 'run'}).end(outcome.body);
			return;
		}

		sendError(res, errorOf(outcome));
	}

	#modelEntry(name: string) {
		return {
			id: name, object: 'model', created: 0, owned_by: 'citronyard',
		};
	}

	#listModels(req: IncomingMessage, res: ServerResponse) {
		this.#frontend.accounts.identify(req).caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right: () => {
				const data = this.#frontend.config.list<ServedModel>('ServedModel').map(({name}) => this.#modelEntry(name));
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({object: 'list', data}));
			},
		});
	}

	#showModel(name: string, req: IncomingMessage, res: ServerResponse) {
		this.#frontend.accounts.identify(req).chain(() => this.#frontend.requireModel(name)).caseOf({
			Left(err) {
				sendError(res, err);
			},
			Right: () => {
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(this.#modelEntry(name)));
			},
		});
	}
}
