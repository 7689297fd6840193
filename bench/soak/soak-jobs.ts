/**
The batch jobs of a soak: some run to their end, some are cancelled, all are submitted twice. Each holds an item that can never be completed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {BatchClient, type BatchObject, type ItemLine} from '../../src/load/batch-job.js';
import {expectedAnswer, type SoakCallers} from './soak-callers.js';
import {soakNames, type SoakFleet} from './soak-fleet.js';

/** A job and what its client read of it. */
export type SoakJob = {
	readonly name: string;
	readonly isCancelled: boolean;
	readonly items: ReadonlyMap<string, string>;
	/** The jobs that the two submissions were answered with. */
	readonly ids: readonly string[];
	readonly ended: BatchObject | undefined;
	/** As read when the job had ended. */
	readonly results: readonly ItemLine[] | undefined;
	/** Runs on the engines a while after the end. */
	readonly runsAfterEnd: number;
};

const itemCount = 60;
const maxTokens = 12;
const cancelAfterMs = 400;
// Grants that nobody renews lapse within this; work that is told to stop has then stopped.
const lapseMs = 5000;
const neverItem = 'note-7';

const promptOf = (job: string, item: number) => `${job}, pressure log ${item}${`note-${item}` === neverItem ? ' [[never]]' : ''}`;

/** Submits jobs and reads their results. */
export class SoakJobs {
	readonly jobs: SoakJob[] = [];
	readonly #fleet: SoakFleet;
	readonly #client: BatchClient;

	constructor(fleet: SoakFleet, callers: SoakCallers) {
		this.#fleet = fleet;
		this.#client = new BatchClient(callers.caller, {address: () => callers.pickAddress(), apiKey: soakNames.apiKey});
	}

	/** Runs jobs one after the other, every third cancelled; begins none after `until`, and gives up at `giveUpAt`. */
	async run(lane: string, until: number, giveUpAt: number): Promise<void> {
		for (let number = 0; performance.now() < until; number += 1) {
			this.jobs.push(await this.#job(`${lane}-${number}`, number % 3 === 2, giveUpAt));
		}
	}

	/** Runs of a job's items on all engines so far. */
	runsOf(id: string): number {
		return [...this.#fleet.engines.values()]
			.flatMap(engine => Object.entries(engine.stats().runs))
			.filter(([key]) => key.startsWith(`${id}/`))
			.reduce((sum, [, runs]) => sum + runs, 0);
	}

	/** Reads the results of a job again. */
	async readAgain(job: SoakJob, until: number): Promise<readonly ItemLine[] | undefined> {
		return job.ended && this.#client.results(job.ended, until);
	}

	async #job(name: string, isCancelled: boolean, giveUpAt: number): Promise<SoakJob> {
		const items = Array.from({length: itemCount}, (_, item) => ({
			customId: `note-${item}`, model: soakNames.model, prompt: promptOf(name, item), maxTokens,
		}));
		const first = await this.#client.submit(items, name, giveUpAt);
		const second = await this.#client.submit(items, name, giveUpAt);
		const id = first?.id ?? '';
		if (isCancelled) {
			await sleep(cancelAfterMs);
			await this.#client.cancel(id, giveUpAt);
		}

		const ended = await this.#client.awaitEnd(id, giveUpAt);
		const results = ended && await this.#client.results(ended, giveUpAt);
		await sleep(lapseMs);
		return {
			name,
			isCancelled,
			items: new Map(items.map(({customId, prompt}) => [customId, customId === neverItem ? '' : expectedAnswer(prompt, maxTokens)])),
			ids: [first, second].filter(job => job !== undefined).map(job => job.id),
			ended,
			results,
			runsAfterEnd: this.runsOf(id),
		};
	}
}
