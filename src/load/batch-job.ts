/**
A batch job as its client drives it: upload, submit, wait, read the results. Submitting is repeated under the same key until the answer comes, as clients do; the job is the same job however often it is sent.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Caller, CallerAnswer} from './caller.js';

/** One item's result. */
export type ItemLine = {
	readonly custom_id: string;
	readonly response?: {readonly status_code: number; readonly body: {readonly choices?: ReadonlyArray<{readonly message?: {readonly content?: string}}>}} | null;
	readonly error?: {readonly message: string} | null;
};

/** A job as the callers' API shows it. */
export type BatchObject = {
	readonly id: string;
	readonly status: string;
	readonly output_file_id: string | null;
	readonly error_file_id: string | null;
	readonly request_counts: {readonly total: number; readonly completed: number; readonly failed: number};
};

/** One item to be answered. */
export type BatchItem = {readonly customId: string; readonly model: string; readonly prompt: string; readonly maxTokens: number};

/** Where the client sends to; asked anew for each request, since entries come and go. */
export type BatchTarget = {
	readonly address: () => string;
	readonly apiKey: string;
};

const endStates = new Set(['completed', 'cancelled', 'expired', 'failed']);
const retryMs = 200;
const callTimeoutMs = 10_000;

const lineOf = ({customId, model, prompt, maxTokens}: BatchItem) => JSON.stringify({
	custom_id: customId, method: 'POST', url: '/v1/chat/completions', body: {model, messages: [{role: 'user', content: prompt}], max_tokens: maxTokens},
});

/** Drives batch jobs. */
export class BatchClient {
	readonly #caller: Caller;
	readonly #target: BatchTarget;

	constructor(caller: Caller, target: BatchTarget) {
		this.#caller = caller;
		this.#target = target;
	}

	/**
	Uploads the items and submits the job.

	@returns The accepted job, or undefined when it was not accepted before the moment `until` of `performance.now()`.
	*/
	async submit(items: readonly BatchItem[], key: string, until: number): Promise<BatchObject | undefined> {
		const lines = items.map(item => lineOf(item));
		const file = await this.#untilWhole(until, async () => this.#caller.upload(lines, this.#options()));
		if (file === undefined) {
			return undefined;
		}

		const wish = {
			input_file_id: (JSON.parse(file) as {id: string}).id, endpoint: '/v1/chat/completions', completion_window: '24h', metadata: {job_key: key},
		};
		const job = await this.#untilWhole(until, async () => this.#caller.request('POST', '/v1/batches', this.#options(), wish));
		return job === undefined ? undefined : JSON.parse(job) as BatchObject;
	}

	/** The job now; undefined when no entry answers. */
	async show(id: string): Promise<BatchObject | undefined> {
		const answer = await this.#caller.request('GET', `/v1/batches/${id}`, this.#options());
		return answer.kind === 'whole' ? JSON.parse(answer.text) as BatchObject : undefined;
	}

	/** Cancels the job; repeated until an entry has taken it. */
	async cancel(id: string, until: number): Promise<boolean> {
		return await this.#untilWhole(until, async () => this.#caller.request('POST', `/v1/batches/${id}/cancel`, this.#options(), {})) !== undefined;
	}

	/** Waits for the job's end. @returns The ended job, or undefined when it has not ended by `until`. */
	async awaitEnd(id: string, until: number): Promise<BatchObject | undefined> {
		while (performance.now() < until) {
			const job = await this.show(id);
			if (job && endStates.has(job.status)) {
				return job;
			}

			await sleep(retryMs);
		}

		return undefined;
	}

	/** All results of an ended job, the failed ones included; undefined when they could not be read by `until`. */
	async results(job: BatchObject, until: number): Promise<ItemLine[] | undefined> {
		const files = [job.output_file_id, job.error_file_id].filter(id => id !== null);
		const texts = await Promise.all(files.map(async id => this.#untilWhole(until, async () => this.#caller.request('GET', `/v1/files/${id}/content`, this.#options()))));
		return texts.includes(undefined)
			? undefined
			: texts.flatMap(text => text!.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ItemLine));
	}

	#options() {
		return {address: this.#target.address(), apiKey: this.#target.apiKey, timeoutMs: callTimeoutMs};
	}

	async #untilWhole(until: number, send: () => Promise<CallerAnswer>): Promise<string | undefined> {
		while (performance.now() < until) {
			const answer = await send();
			if (answer.kind === 'whole') {
				return answer.text;
			}

			await sleep(retryMs);
		}

		return undefined;
	}
}
