/**
Steps for one batch item over several runs, on an engine in memory whose answers a scenario writes.
*/
import assert from 'node:assert/strict';
import {Then, type DataTable} from '@cucumber/cucumber';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Ticket} from '../common/admission-types.js';
import type {ItemResult} from '../common/batch-types.js';
import type {GenerateWork} from '../common/protocol.js';
import {
	interruptedAnswers, continuationOf, generatedTexts, type InterruptedAnswer,
} from '../common/testing/interrupted-answers.js';
import {SystemClock} from '../io/system-clock.js';
import type {Backend, BackendFailure, BackendRequest} from './backend.js';
import {ItemRun} from './item-run.js';
import type {Work, WorkRunner} from './work-runner.js';

type Outcome = {readonly wentOnFrom: string; readonly result: string};

const failures: Readonly<Record<string, BackendFailure>> = {preempted: {kind: 'cancelled'}, lost: {kind: 'lost', reason: 'crashed'}};

/** Brings the answer's beginning in its first run; in a later one what is missing where it is asked to go on, and the whole otherwise. */
class InterruptedEngine implements Backend {
	/** What each run was asked to go on from. */
	readonly wentOnFrom: string[] = [];
	readonly #answer: InterruptedAnswer;
	readonly #failure: BackendFailure;

	constructor(answer: InterruptedAnswer, failure: BackendFailure) {
		this.#answer = answer;
		this.#failure = failure;
	}

	async run({work, onChunk}: BackendRequest): Promise<Either<BackendFailure, void>> {
		const {resume} = work as GenerateWork;
		const isFirst = this.wentOnFrom.length === 0;
		this.wentOnFrom.push(resume?.text ?? '');
		const chunks = isFirst ? this.#answer.first : continuationOf(this.#answer, resume);
		chunks.forEach(chunk => {
			onChunk(JSON.stringify(chunk));
		});
		return isFirst ? Left(this.#failure) : Right(undefined);
	}

	async serves() {
		return Right([]);
	}
}

const runAgain = async (work: Work): Promise<unknown> => {
	const outcome = await work.run(new AbortController().signal);
	return outcome === 'cut' ? runAgain(work) : outcome;
};

/** Runs work at once, and again when it was cut. */
const runner = {submit: runAgain, progressed: () => undefined} as unknown as WorkRunner;

const textOf = ({response}: ItemResult) => generatedTexts((response?.body as {choices: Parameters<typeof generatedTexts>[0]}).choices).join(' / ');

const runItem = async (answer: InterruptedAnswer, failure: BackendFailure): Promise<Outcome> => {
	const backend = new InterruptedEngine(answer, failure);
	const item = new ItemRun({
		custom_id: 'note-1', method: 'POST', url: '/v1/chat/completions', body: {model: 'm', ...answer.request},
	}, {key: 'j/0/1/0'} as Ticket, {clock: new SystemClock(), runner, backend});
	let outcome = await item.run();
	while (outcome.kind === 'crashed') {
		outcome = await item.run();
	}

	assert.equal(outcome.kind, 'result');
	return {wentOnFrom: backend.wentOnFrom.slice(1).join(' / ').trim(), result: textOf((outcome).result)};
};

Then('these are the results of items whose first run brings something and ends:', async (table: DataTable) => {
	const results = await Promise.all(table.rows().map(async ([first = '', end = '']) => {
		const {wentOnFrom, result} = await runItem(interruptedAnswers[first]!, failures[end]!);
		return [first, end, wentOnFrom, result];
	}));
	assert.deepEqual(results, table.rows());
});
