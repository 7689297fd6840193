/**
The tour of the demo: one request, one stream, one call of a plain service and one batch job, each checked.
*/
import {setTimeout as sleep} from 'node:timers/promises';

/** Where the tour goes. */
export type TourPlace = {
	/** `http://ip:port` of an entry. */
	readonly url: string;
	readonly apiKey: string;
	readonly model: string;
	readonly service: string;
	/** Prints one line. */
	readonly print: (line: string) => void;
};

type BatchObject = {id: string; status: string; output_file_id: string; request_counts: {total: number; completed: number; failed: number}};

const batchItems = 40;
const pollMs = 100;
const polls = 300;

/** Walks the path. Each step throws when its answer is not as it must be. */
export class DemoTour {
	readonly #place: TourPlace;

	constructor(place: TourPlace) {
		this.#place = place;
	}

	/** Takes all steps. Rejects at the first that fails. */
	async run(): Promise<void> {
		await this.#whole();
		await this.#stream();
		await this.#call();
		await this.#batch();
	}

	get #headers() {
		return {authorization: `Bearer ${this.#place.apiKey}`, 'content-type': 'application/json'};
	}

	async #post(path: string, body: unknown): Promise<Response> {
		const res = await fetch(`${this.#place.url}${path}`, {method: 'POST', headers: this.#headers, body: JSON.stringify(body)});
		if (!res.ok) {
			throw new Error(`${path} answered ${res.status}: ${await res.text()}`);
		}

		return res;
	}

	#chat(content: string, extra: Record<string, unknown> = {}) {
		return {
			model: this.#place.model, messages: [{role: 'user', content}], max_tokens: 12, ...extra,
		};
	}

	async #whole() {
		const res = await this.#post('/v1/chat/completions', this.#chat('Is the left rear tyre of truck 7 safe?'));
		const answer = await res.json() as {choices: Array<{message: {content: string}}>};
		const content = answer.choices[0]?.message.content ?? '';
		this.#require(content !== '', 'the answer is empty');
		this.#place.print(`online request   ${content}`);
	}

	async #stream() {
		const res = await this.#post('/v1/chat/completions', this.#chat('Which bus leaves stop 12 next?', {stream: true}));
		const text = await res.text();
		const chunks = text.split('\n\n').filter(part => part.startsWith('data: {')).map(part => JSON.parse(part.slice(6)) as {choices: Array<{delta: {content?: string}}>});
		const tokens = chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').filter(token => token !== '');
		this.#require(text.trimEnd().endsWith('data: [DONE]') && tokens.length === 12, 'the stream is not whole');
		this.#place.print(`online stream    ${tokens.join('| ')}`);
	}

	async #call() {
		const res = await this.#post(`/services/${this.#place.service}/gates/3/open`, {truck: 7});
		const answer = await res.json() as {runs: number};
		this.#place.print(`plain service    POST /gates/3/open ran ${answer.runs} time`);
	}

	async #batch() {
		const file = await this.#upload();
		const submit = {input_file_id: file, endpoint: '/v1/chat/completions', completion_window: '24h'};
		const first = await this.#post('/v1/batches', submit).then(async res => res.json() as Promise<BatchObject>);
		const resent = await this.#post('/v1/batches', submit).then(async res => res.json() as Promise<BatchObject>);
		this.#require(first.id === resent.id, 'a job that was sent twice became two');
		const job = await this.#awaitEnd(first.id);
		await this.#checkResults(job);
	}

	async #upload(): Promise<string> {
		const lines = Array.from({length: batchItems}, (_, index) => JSON.stringify({
			custom_id: `note-${index}`, method: 'POST', url: '/v1/chat/completions', body: this.#chat(`Write the inspection note for log ${index}.`),
		}));
		const form = new FormData();
		form.set('purpose', 'batch');
		form.set('file', new Blob([lines.join('\n')]), 'logs.jsonl');
		const res = await fetch(`${this.#place.url}/v1/files`, {method: 'POST', headers: {authorization: this.#headers.authorization}, body: form});
		const file = await res.json() as {id: string};
		this.#require(res.ok, `the upload answered ${res.status}`);
		return file.id;
	}

	async #awaitEnd(id: string): Promise<BatchObject> {
		for (let poll = 0; poll < polls; poll += 1) {
			const res = await fetch(`${this.#place.url}/v1/batches/${id}`, {headers: this.#headers});
			const job = await res.json() as BatchObject;
			if (job.status === 'completed') {
				return job;
			}

			await sleep(pollMs);
		}

		throw new Error(`the job ${id} did not end`);
	}

	async #checkResults(job: BatchObject) {
		const res = await fetch(`${this.#place.url}/v1/files/${job.output_file_id}/content`, {headers: this.#headers});
		const text = await res.text();
		const results = text.trimEnd().split('\n').map(line => JSON.parse(line) as {custom_id: string; response: {body: {choices: Array<{message: {content: string}}>}}});
		const ids = new Set(results.map(result => result.custom_id));
		this.#require(results.length === batchItems && ids.size === batchItems, `${results.length} results of ${ids.size} items instead of ${batchItems}`);
		this.#place.print(`batch job        ${job.id}: ${job.request_counts.completed} of ${job.request_counts.total} items completed, each once; sent twice, accepted once`);
		results.slice(0, 3).forEach(result => {
			this.#place.print(`                 ${result.custom_id}: ${result.response.body.choices[0]?.message.content}`);
		});
	}

	#require(isTrue: boolean, message: string) {
		if (!isTrue) {
			throw new Error(message);
		}
	}
}
