/**
Runs batch jobs on a fleet of separate processes: one entry, a few agents each beside an engine stand-in, and the platform's stand-ins. Measures the items a second from the submission's answer to the job's end, what the engines alone would do, and the memory of entry and agents.
*/
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {keyHash} from '../src/entry/accounts.js';
import {batchEvents} from '../src/entry/batch-log-events.js';
import {fleetResources} from '../src/demo/local-fleet.js';
import {ProcessFleet, type ExtraSettings} from './process-fleet.js';

/** What one job cost. */
export type JobFigures = {
	readonly items: number;
	readonly itemsPerSecond: number;
	readonly uploadItemsPerSecond: number;
	/** Largest resident set of the entry while the job ran, in MB. */
	readonly entryMb: number;
	/** The same of the agent that had most. */
	readonly agentMb: number;
	/** Both, by fifths of the job as its status showed them. */
	readonly byFifth: readonly Peak[];
};

/** The largest resident sets over a part of a job, in MB. */
export type Peak = {readonly entryMb: number; readonly agentMb: number};

const model = 'tyre-scribe';
const apiKey = 'bench-key';
const domain = 'durgapur-hall';
const endpoint = '/v1/chat/completions';
const maxRunning = 16;
const engineCount = 3;
// 4 steps and a prompt's: an item takes about a tenth of a second, so that the engines and not this machine's cores are the limit.
const engineSettings = {stepMs: 20, maxBatch: maxRunning, models: [{model, version: `${model}-1`}]};
const answerTokens = 4;
const ceilingMs = 5000;
const pollMs = 50;
const fifths = 5;
const onlinePauseMs = 100;
const readyPolls = 200;
const kibPerMb = 1000 / 1.024;
const msPerSecond = 1000;

const bodyOf = (index: number) => ({
	model, messages: [{role: 'user', content: `Write the inspection note for pressure log ${index}.`}], max_tokens: answerTokens,
});

const residentMb = (pid: number): number => {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(?<kib>\d+)/v.exec(status)?.groups?.kib) / kibPerMb;
};

/** A fleet for batch jobs. */
export class BatchRun {
	/** Starts the fleet and waits until its entry serves the model. */
	static async start(entrySettings: ExtraSettings = {}): Promise<BatchRun> {
		const run = new BatchRun();
		try {
			await run.#start(entrySettings);
		} catch (err) {
			await run.dispose();
			throw err;
		}

		return run;
	}

	readonly #fleet = new ProcessFleet('batch');
	readonly #vms = Array.from({length: engineCount}, (_, index) => `gpu-${index + 1}`);

	/** Items a second of the engines alone, each kept full by as many callers as it runs at once. */
	async ceiling(): Promise<number> {
		const until = performance.now() + ceilingMs;
		let done = 0;
		const call = async (vm: string, caller: number) => {
			for (let index = 0; performance.now() < until; index += 1) {
				const res = await fetch(`http://${this.#fleet.get(`engine-${vm}`).address}${endpoint}`, {
					method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({...bodyOf((caller * 100_000) + index), stream: true}),
				});
				await res.text();
				done += 1;
			}
		};

		const begun = performance.now();
		await Promise.all(this.#vms.flatMap(vm => Array.from({length: maxRunning}, async (_, caller) => call(vm, caller))));
		return done / (performance.now() - begun) * msPerSecond;
	}

	/** Uploads and runs one job. */
	async job(items: number, seed: number): Promise<JobFigures> {
		const begun = performance.now();
		const fileId = await this.#upload(items, seed);
		const uploaded = performance.now();
		const id = await this.#submit(fileId);
		const submitted = performance.now();
		const peaks = await this.#follow(id, items);
		const ended = performance.now();
		return {
			items,
			itemsPerSecond: items / (ended - submitted) * msPerSecond,
			uploadItemsPerSecond: items / (uploaded - begun) * msPerSecond,
			...peaks,
		};
	}

	/** Changes the faults of the object API's stand-in. */
	async fault(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await fetch(`http://${this.#fleet.platform.objectApi}/control/faults`, {method: 'POST', body: JSON.stringify(faults)});
	}

	/** Tries to hand a small job over; tells how the upload or the submission was answered, and how soon. */
	async tryUpload(): Promise<{status: number; run: string | null; retryAfter: string | null; ms: number}> {
		const begun = performance.now();
		const form = new FormData();
		form.set('purpose', 'batch');
		form.set('file', new Blob([JSON.stringify({custom_id: 'one', url: endpoint, body: bodyOf(0)})]), 'one.jsonl');
		const res = await fetch(`${this.#url}/files`, {method: 'POST', headers: this.#headers, body: form});
		return {
			status: res.status, run: res.headers.get('x-citronyard-run'), retryAfter: res.headers.get('retry-after'), ms: performance.now() - begun,
		};
	}

	/** Sends online requests one after the other until stopped. */
	online(): {stop: () => Promise<{sent: number; failed: number; slowestMs: number}>} {
		const stopping = new AbortController();
		const totals = {sent: 0, failed: 0, slowestMs: 0};
		const loop = (async () => {
			while (!stopping.signal.aborted) {
				const begun = performance.now();
				const res = await fetch(`${this.#url}/chat/completions`, {
					method: 'POST', headers: {...this.#headers, 'content-type': 'application/json'}, body: JSON.stringify(bodyOf(totals.sent)),
				});
				await res.text();
				totals.sent += 1;
				totals.failed += res.ok ? 0 : 1;
				totals.slowestMs = Math.max(totals.slowestMs, performance.now() - begun);
				await sleep(onlinePauseMs);
			}
		})();
		return {
			async stop() {
				stopping.abort();
				await loop;
				return totals;
			},
		};
	}

	/** Chunks that were granted again, by the entry's log. */
	get chunksLost(): number {
		return this.#fleet.get('entry-1').log.split(`"event":${batchEvents.chunkLost.number},`).length - 1;
	}

	/** Ends all processes. */
	async dispose(): Promise<void> {
		await this.#fleet.dispose();
	}

	get #url() {
		return `http://${this.#fleet.get('entry-1').address}/v1`;
	}

	get #headers() {
		return {authorization: `Bearer ${apiKey}`};
	}

	async #start(entrySettings: ExtraSettings) {
		const objectApi = await this.#fleet.startStandin('object-api', 'object-api');
		const vmList = await this.#fleet.startStandin('vm-list', 'vm-list');
		this.#fleet.platform = {objectApi: objectApi.address, vmList: vmList.address};
		await Promise.all(this.#vms.map(async vm => this.#startReplica(vm)));
		const entry = await this.#fleet.startEntry({vm: 'entry-1', failureDomain: domain}, {...entrySettings, platform: {...this.#fleet.platform, ...entrySettings.platform as object}});
		await this.#fleet.listVm({vm: 'entry-1', failureDomain: domain}, 'entry', entry.address);
		await this.#apply(objectApi.address);
		await this.#awaitModel();
	}

	async #startReplica(vm: string) {
		const engine = await this.#fleet.startStandin(`engine-${vm}`, 'engine', engineSettings);
		const place = {vm, failureDomain: domain};
		const agent = await this.#fleet.startAgent(place, {type: 'engine', address: engine.address, maxRunning});
		await this.#fleet.listVm(place, 'backend', agent.address);
	}

	async #apply(objectApi: string) {
		const plan = {engines: this.#vms.map(vm => ({vm, failureDomain: domain, models: [model]})), entries: []};
		const resources = fleetResources(plan, [{name: 'bench', keySha256: keyHash(apiKey)}]);
		await Promise.all(resources.map(async resource => fetch(`http://${objectApi}/v1/objects/${resource.kind}/${resource.metadata.name}`, {
			method: 'PUT', body: JSON.stringify(resource),
		})));
	}

	async #awaitModel() {
		for (let poll = 0; poll < readyPolls; poll += 1) {
			const res = await fetch(`${this.#url}/models`, {headers: this.#headers});
			const list = await res.json() as {data?: unknown[]};
			if (list.data?.length === 1) {
				return;
			}

			await sleep(pollMs);
		}

		throw new Error('the fleet did not serve its model');
	}

	async #upload(items: number, seed: number): Promise<string> {
		const lines = Array.from({length: items}, (_, index) => JSON.stringify({
			custom_id: `note-${index}`, method: 'POST', url: endpoint, body: bodyOf((seed * 1_000_000) + index),
		}));
		const form = new FormData();
		form.set('purpose', 'batch');
		form.set('file', new Blob([lines.join('\n')]), 'logs.jsonl');
		const res = await fetch(`${this.#url}/files`, {method: 'POST', headers: this.#headers, body: form});
		const file = await res.json() as {id: string};
		if (!res.ok) {
			throw new Error(`the upload answered ${res.status}`);
		}

		return file.id;
	}

	async #submit(fileId: string): Promise<string> {
		const res = await fetch(`${this.#url}/batches`, {
			method: 'POST', headers: {...this.#headers, 'content-type': 'application/json'}, body: JSON.stringify({input_file_id: fileId, endpoint, completion_window: '24h'}),
		});
		const job = await res.json() as {id: string};
		if (!res.ok) {
			throw new Error(`the submission answered ${res.status}`);
		}

		return job.id;
	}

	async #follow(id: string, items: number) {
		const byFifth: Peak[] = Array.from({length: fifths}, () => ({entryMb: 0, agentMb: 0}));
		for (;;) {
			const res = await fetch(`${this.#url}/batches/${id}`, {headers: this.#headers});
			const answer = await res.json() as {status: string; request_counts: {completed: number}};
			// In an outage of the object API a job can not be shown.
			const job = res.ok ? answer : {status: 'not shown', request_counts: {completed: 0}};
			const fifth = Math.min(fifths - 1, Math.floor(job.request_counts.completed / items * fifths));
			byFifth[fifth] = this.#peak(byFifth[fifth]!);
			if (job.status === 'completed') {
				if (job.request_counts.completed !== items) {
					throw new Error(`${job.request_counts.completed} of ${items} items were completed`);
				}

				const largest = (memory: keyof Peak) => Math.max(...byFifth.map(peak => peak[memory]));
				return {byFifth, entryMb: largest('entryMb'), agentMb: largest('agentMb')};
			}

			await sleep(pollMs);
		}
	}

	#peak({entryMb, agentMb}: Peak): Peak {
		return {
			entryMb: Math.max(entryMb, residentMb(this.#fleet.get('entry-1').pid)),
			agentMb: Math.max(agentMb, ...this.#vms.map(vm => residentMb(this.#fleet.get(vm).pid))),
		};
	}
}
