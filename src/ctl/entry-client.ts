/**
The part of the entry's API that batch jobs need: files and batches, as the OpenAI API has them. Submitting is safe to repeat, since a job resent under the same key finds itself.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes, type ExitCode} from '../io/exit-codes.js';
import type {HttpClient, HttpRequest, HttpResponse} from '../io/http-client.js';
import {ctlError, type CtlError} from './ctl-error.js';

/** A batch job as the entry reports it. */
export type Batch = {
	readonly id: string;
	readonly status: string;
	readonly output_file_id?: string | null;
	readonly error_file_id?: string | null;
	readonly request_counts?: {readonly total: number; readonly completed: number; readonly failed: number};
};

/** A job to submit. */
export type JobRequest = {
	readonly inputFileId: string;
	/** The path that each item goes to. */
	readonly endpoint: string;
	readonly jobKey: string;
	readonly dueHours: number;
};

/** How to reach an entry. */
export type EntryClientOptions = {
	/** `ip:port`. */
	readonly address: string;
	/** The API key of the client account. */
	readonly accountKey: string;
	/** Milliseconds until the head of an answer must have come. */
	readonly timeoutMs: number;
	/** Aborts what is under way. */
	readonly signal: AbortSignal;
	/** Owned by the caller. */
	readonly client: HttpClient;
};

/** What an answer's status means for the operator; other statuses from 500 on mean that the entry cannot answer. */
const exitCodeOfStatus: Readonly<Record<number, ExitCode>> = {
	400: exitCodes.settings,
	401: exitCodes.usage,
	403: exitCodes.usage,
	404: exitCodes.notFound,
	409: exitCodes.tryAgain,
	413: exitCodes.settings,
	429: exitCodes.tryAgain,
};

/** More characters of a refusal than these help nobody. */
const longestMessage = 1000;

const messageOf = (text: string): string => {
	try {
		const {error} = JSON.parse(text) as {error?: {message?: string}};
		return error?.message ?? text;
	} catch {
		return text;
	}
};

const refusal = async ({status, body}: HttpResponse): Promise<CtlError> => {
	const text = await body.text().catch(() => 'the answer ended early');
	const code = exitCodeOfStatus[status] ?? (status < 500 ? exitCodes.settings : exitCodes.unavailable);
	return ctlError(code, `the entry answered ${status}: ${messageOf(text.slice(0, longestMessage))}`);
};

type Call = Pick<HttpRequest, 'path'> & Partial<Pick<HttpRequest, 'method' | 'body' | 'headers'>>;

/** Talks to one entry. Each call fails with exit code 69 when no answer comes. */
export class EntryClient {
	readonly #options: EntryClientOptions;

	constructor(options: EntryClientOptions) {
		this.#options = options;
	}

	/**
	@param name - The file's name.
	@param content - Lines of JSON, one an item.
	@returns The id of the uploaded file.
	*/
	async upload(name: string, content: Uint8Array): Promise<Either<CtlError, string>> {
		const form = new FormData();
		form.set('purpose', 'batch');
		form.set('file', new Blob([new Uint8Array(content)]), name);
		const encoded = new Response(form);
		const uploaded = await this.#json<{id: string}>({
			path: '/v1/files',
			method: 'POST',
			body: new Uint8Array(await encoded.arrayBuffer()),
			headers: {'content-type': encoded.headers.get('content-type') ?? ''},
		});
		return uploaded.map(({id}) => id);
	}

	/** @param job - The job. One that was submitted under the same key already is returned as it is. */
	async submit({inputFileId, endpoint, jobKey, dueHours}: JobRequest): Promise<Either<CtlError, Batch>> {
		const body = {
			input_file_id: inputFileId, endpoint, completion_window: `${dueHours}h`,
		};
		return this.#json<Batch>({
			path: '/v1/batches',
			method: 'POST',
			body: JSON.stringify(body),
			headers: {'content-type': 'application/json', 'idempotency-key': jobKey},
		});
	}

	/** @param id - The job's id. */
	async batch(id: string): Promise<Either<CtlError, Batch>> {
		return this.#json<Batch>({path: `/v1/batches/${encodeURIComponent(id)}`});
	}

	/** @param id - The job's id. */
	async cancel(id: string): Promise<Either<CtlError, Batch>> {
		return this.#json<Batch>({path: `/v1/batches/${encodeURIComponent(id)}/cancel`, method: 'POST'});
	}

	/**
	@param fileId - A file.
	@param onPart - Receives its content part by part.
	*/
	async download(fileId: string, onPart: (part: Uint8Array) => void): Promise<Either<CtlError, void>> {
		const sent = await this.#send({path: `/v1/files/${encodeURIComponent(fileId)}/content`});
		if (sent.isLeft()) {
			return sent;
		}

		try {
			for await (const part of sent.unsafeCoerce().body) {
				onPart(part as Uint8Array);
			}

			return Right(undefined);
		} catch (err) {
			return Left(ctlError(exitCodes.unavailable, `the answer of the entry ended early: ${String(err)}`));
		}
	}

	async #json<T>(call: Call): Promise<Either<CtlError, T>> {
		const sent = await this.#send(call);
		if (sent.isLeft()) {
			return sent;
		}

		try {
			return Right(await sent.unsafeCoerce().body.json() as T);
		} catch (err) {
			return Left(ctlError(exitCodes.unavailable, `the answer of the entry cannot be read: ${String(err)}`));
		}
	}

	async #send(call: Call): Promise<Either<CtlError, HttpResponse>> {
		const {address, accountKey, timeoutMs, signal, client} = this.#options;
		const sent = await client.send({
			method: 'GET', address, timeoutMs, signal, ...call, headers: {...call.headers, authorization: `Bearer ${accountKey}`},
		});
		if (sent.isLeft()) {
			return Left(ctlError(exitCodes.unavailable, `the entry at ${address} does not answer: ${sent.extract().reason}`));
		}

		const res = sent.unsafeCoerce();
		return res.status < 300 ? Right(res) : Left(await refusal(res));
	}
}
