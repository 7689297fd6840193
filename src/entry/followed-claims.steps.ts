/**
Steps for keyed requests that follow the run of another entry, with a claim and an agent that are scripted: no network.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Then, type DataTable} from '@cucumber/cucumber';
import {Left, Right} from 'purify-ts/Either';
import type {ClaimValue} from '../common/claim.js';
import {branded} from '../common/ids.js';
import type {BackendWork, LedgerAnswer, LoadReport} from '../common/protocol.js';
import type {IssuedAttempt} from '../common/request-ledger.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SeededRandom} from '../io/seeded-random.js';
import {CallSink, GenerationSink, type AnswerSink} from './answer-sink.js';
import type {AttemptOutcome, AttemptPlace} from './attempt-client.js';
import type {ClaimStore, StoredClaim} from './claim-store.js';
import {KeyedRequest} from './keyed-request.js';
import type {OnlineWork, RequestSurroundings} from './online-work.js';

type Kind = {
	readonly work: BackendWork;
	readonly chunks: readonly string[];
	/** @returns The sink, and what its caller has. */
	readonly open: () => {sink: AnswerSink; received: () => string};
};

const readBeforeLoss = 3;
const incarnation: LedgerAnswer['incarnation'] = branded('1');
const body = {model: 'm', prompt: 'Is the left rear tyre fit?'};
const generate: BackendWork = {
	kind: 'generate', target: 'm', path: '/v1/completions', body,
};
const textChunk = (text: string, finishReason: string | null = null) => JSON.stringify({object: 'text_completion', choices: [{index: 0, text, finish_reason: finishReason}]});
const texts = [...['do ', 'BRA', 'KE ', 'now'].map(text => textChunk(text)), textChunk('', 'stop')];
const pieceOf = (text: string) => Buffer.from(text).toString('base64');

const kinds: Readonly<Record<string, Kind>> = {
	'a stream': {
		work: generate,
		chunks: texts,
		open() {
			let text = '';
			const sink = new GenerationSink(body, ({choices}) => {
				text += choices?.[0]?.text ?? '';
			});
			return {sink, received: () => text};
		},
	},
	'a whole text': {
		work: generate,
		chunks: texts,
		open() {
			const sink = new GenerationSink(body);
			return {sink, received: () => (sink.result('x') as {choices: Array<{text: string}>}).choices[0]!.text};
		},
	},
	'a call': {
		work: {
			kind: 'call', target: 'bookings', method: 'POST', path: '/', headers: {}, bodyBase64: '',
		},
		chunks: [JSON.stringify({status: 201, headers: {}}), ...['left', ' ', 'rear'].map(piece => pieceOf(piece))],
		open() {
			const sink = new CallSink();
			return {sink, received: () => `${sink.head?.status ?? ''} ${sink.body.toString()}`};
		},
	},
};

const load = {incarnation, at: 0} as unknown as LoadReport;

const attemptOf = (id: string): ClaimValue['attempt'] => ({
	id: branded(id), attempt: 1, issuedAt: 0, incarnation, vm: branded('engine-1'), address: 'engine-1',
});

type Ending = {readonly id: string; readonly end?: (kind: Kind) => ClaimValue['end']};

const endings: Readonly<Record<string, Ending>> = {
	'the answer': {id: 'first', end: ({chunks}) => ({chunks})},
	'an end, its answer at the agent': {id: 'first', end: () => ({})},
	'the answer of another run': {id: 'second', end: ({chunks}) => ({chunks})},
	'no more than before': {id: 'first'},
};

class ScriptedFleet {
	readonly #kind: Kind;
	readonly #ending: Ending;
	#now = 0;
	#reads = 0;
	#hasEnded = false;
	#digest: string | undefined;

	constructor(kind: Kind, ending: Ending) {
		this.#kind = kind;
		this.#ending = ending;
	}

	get around(): RequestSurroundings {
		return {
			clock: {
				now: () => this.#now,
				wall: () => this.#now,
				sleep: async (ms: number) => {
					this.#now += ms;
				},
			},
			random: new SeededRandom(1),
			log: {emit: () => undefined},
			metrics: new NoMetrics(),
			replicas: {began: () => undefined, ended: () => undefined},
			router: {route: () => ({vm: 'engine-1', address: 'engine-1', load})},
			client: {
				resume: async (_key: IssuedAttempt, from: number, place: AttemptPlace) => this.#resume(from, place),
				revoke: async () => Right({state: 'done', incarnation} satisfies LedgerAnswer),
			},
			budget: {spend: () => true, succeeded: () => undefined},
		} as unknown as RequestSurroundings;
	}

	// Whoever comes finds the claim of the first entry, which has ended by the second look.
	get store(): ClaimStore {
		return {
			take: async (_name: string, {digest}: ClaimValue) => {
				this.#digest = digest;
				return Left({kind: 'taken', claim: this.#claim('first', 1)});
			},
			read: async () => {
				this.#hasEnded = true;
				const {id, end} = this.#ending;
				return Right(end ? this.#claim(id, 2, end(this.#kind)) : this.#claim('first', 1));
			},
			end: async () => true,
		} as unknown as ClaimStore;
	}

	// The agent is lost after three chunks, then has no stream to take up; once the claim was looked at again, it has one.
	async #resume(from: number, {onChunk}: AttemptPlace): Promise<AttemptOutcome> {
		this.#reads += 1;
		const isFirst = this.#reads === 1;
		if (!isFirst && !this.#hasEnded) {
			return {kind: 'noStream'};
		}

		const {chunks} = this.#kind;
		chunks.slice(from, isFirst ? readBeforeLoss : undefined).forEach((chunk, offset) => {
			assert.ok(onChunk(from + offset, chunk));
		});
		return isFirst ? {kind: 'lost', reason: 'stream lost'} : {kind: 'end', end: {chunks: chunks.length, load, cachedBlocks: []}};
	}

	#claim(id: string, version: number, end?: ClaimValue['end']): StoredClaim {
		const value: ClaimValue = {
			writer: id, digest: this.#digest!, attempt: attemptOf(id), deadlineAt: 60_000, end,
		};
		return {
			kind: 'Claim', name: 'k', version: branded(version), value,
		};
	}
}

const follow = async (kind: Kind, ending: Ending): Promise<string> => {
	const fleet = new ScriptedFleet(kind, ending);
	const {sink, received} = kind.open();
	const work = {
		id: branded('again'), account: branded('pit-gate'), share: 1, work: kind.work, idempotent: false, costTokens: 1, deadlineAt: 60_000,
	} as unknown as OnlineWork;
	const outcome = await new KeyedRequest('booking 4711', {
		work, sink, around: fleet.around, caller: {signal: new AbortController().signal}, store: fleet.store,
	}).run();
	const isWhole = outcome.kind === 'whole';
	const shown = isWhole || sink.hasBegun ? [received().trim()] : [];
	return [...shown, ...(isWhole ? [] : [outcome.kind])].join(', ');
};

Then('these are the answers of which {int} chunks are read before the agent is lost:', async (read: number, table: DataTable) => {
	assert.equal(read, readBeforeLoss);
	const answers = await Promise.all(table.rows().map(async ([kind = '', ending = '']) => [kind, ending, await follow(kinds[kind]!, endings[ending]!)]));
	assert.deepEqual(answers, table.rows());
});
