/**
Runs one load: sends each planned request at its moment, whatever became of those before it, and drives the batch jobs beside them.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Disposable} from '../common/services.js';
import {SeededRandom} from '../io/seeded-random.js';
import {BatchClient, type BatchItem, type BatchObject} from './batch-job.js';
import {Caller, type CallerAnswer, type CallerOptions} from './caller.js';
import {LoadMix, type PlannedRequest} from './load-mix.js';
import {LoadRecorder, type AccountReport, type KindReport} from './load-recorder.js';
import type {LoadSettings} from './settings.js';

/** What a batch job of the load came to. */
export type JobReport = {
	readonly status: string;
	readonly items: number;
	readonly completed: number;
	readonly failed: number;
	/** Seconds from its submission to its end, or to when it was given up. */
	readonly seconds: number;
};

/** What a load found. */
export type LoadReport = {
	readonly seed: number;
	readonly seconds: number;
	/** By kind of request: `stream`, `whole`, `call`. */
	readonly kinds: Readonly<Record<string, KindReport>>;
	readonly accounts: Readonly<Record<string, AccountReport>>;
	readonly jobs: readonly JobReport[];
	/** The longest by which a request was sent after its moment, in milliseconds: how far this program itself was behind. */
	readonly latestStartMs: number;
};

const msPerSecond = 1000;

/** One load. */
export class LoadRun implements Disposable {
	readonly #settings: LoadSettings;
	readonly #caller = new Caller();
	readonly #recorder = new LoadRecorder();
	#open = 0;
	#sent = 0;
	#latestStartMs = 0;

	constructor(settings: LoadSettings) {
		this.#settings = settings;
	}

	/** Runs to the end of all requests and jobs. */
	async run(): Promise<LoadReport> {
		const {seed} = this.#settings;
		const plan = new LoadMix(this.#settings, new SeededRandom(seed)).plan();
		const startedAt = performance.now();
		const [jobs] = await Promise.all([this.#jobs(), this.#online(plan, startedAt)]);
		return {
			seed,
			seconds: (performance.now() - startedAt) / msPerSecond,
			kinds: this.#recorder.kinds,
			accounts: this.#recorder.accounts,
			jobs,
			latestStartMs: this.#latestStartMs,
		};
	}

	dispose(): void {
		this.#caller.dispose();
	}

	async #online(plan: readonly PlannedRequest[], startedAt: number) {
		const running: Array<Promise<void>> = [];
		for (const request of plan) {
			this.#recorder.planned(request);
			const dueAt = startedAt + request.at;
			const waitMs = dueAt - performance.now();
			if (waitMs > 0) {
				await sleep(waitMs);
			}

			if (this.#isFull()) {
				this.#recorder.leftOut(request);
			} else {
				running.push(this.#send(request, dueAt));
			}
		}

		await Promise.all(running);
	}

	#isFull() {
		return this.#open >= this.#settings.maxInFlight || this.#sent >= this.#settings.maxRequests;
	}

	async #send(request: PlannedRequest, dueAt: number) {
		this.#open += 1;
		this.#sent += 1;
		this.#latestStartMs = Math.max(this.#latestStartMs, performance.now() - dueAt);
		const answer = await this.#ask(request, dueAt);
		this.#open -= 1;
		this.#recorder.ended(request, answer, performance.now() - dueAt);
	}

	async #ask(request: PlannedRequest, dueAt: number): Promise<CallerAnswer> {
		let lastAt = dueAt;
		let isFirst = true;
		const options: CallerOptions = {
			address: request.address,
			apiKey: request.account.apiKey,
			timeoutMs: this.#settings.timeoutMs,
			onToken: () => {
				const now = performance.now();
				this.#recorder.token(request, isFirst, now - lastAt);
				lastAt = now;
				isFirst = false;
			},
		};
		return request.kind === 'call' ? this.#caller.call(request.call, options) : this.#caller.generate(request.call, options);
	}

	async #jobs(): Promise<JobReport[]> {
		const {batch} = this.#settings;
		return batch === undefined ? [] : Promise.all(Array.from({length: batch.jobs}, async (_, job) => this.#job(batch, job)));
	}

	async #job(batch: NonNullable<LoadSettings['batch']>, index: number): Promise<JobReport> {
		const {entries, accounts, seconds, seed} = this.#settings;
		const {apiKey} = accounts[index % accounts.length]!;
		const client = new BatchClient(this.#caller, {apiKey, address: () => entries[index % entries.length]!});
		const startedAt = performance.now();
		const until = startedAt + (seconds * msPerSecond) + batch.waitMs;
		const items = Array.from({length: batch.itemsPerJob}, (_, item): BatchItem => ({
			customId: `item-${item}`, model: batch.model, prompt: `Write the inspection note for log ${seed}/${index}/${item}.`, maxTokens: Math.max(1, batch.answerTokens),
		}));
		const accepted = await client.submit(items, `load-${seed}-${index}-${Date.now()}`, until);
		const ended = accepted && await client.awaitEnd(accepted.id, until);
		return this.#jobReport(ended ?? (accepted && await client.show(accepted.id)), items.length, startedAt);
	}

	#jobReport(job: BatchObject | undefined, items: number, startedAt: number): JobReport {
		return {
			status: job?.status ?? 'not accepted',
			items,
			completed: job?.request_counts.completed ?? 0,
			failed: job?.request_counts.failed ?? 0,
			seconds: (performance.now() - startedAt) / msPerSecond,
		};
	}
}
