/**
Steps for requests whose attempts are lost, with agents that are scripted: no network.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import {branded, type VmName} from '../common/ids.js';
import type {LedgerAnswer, LoadReport} from '../common/protocol.js';
import type {ReplicaView} from '../common/replica-table.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {NoMetrics} from '../io/no-metrics.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import type {AnswerSink} from './answer-sink.js';
import type {AttemptOutcome, AttemptPlace} from './attempt-client.js';
import {OnlineRequest} from './online-request.js';
import type {OnlineWork, RequestOutcome, RequestSurroundings} from './online-work.js';
import type {RouteRequest} from './router.js';

type Agent = {
	begin: (place: AttemptPlace) => Promise<AttemptOutcome>;
	resume: () => Promise<AttemptOutcome>;
	state: LedgerAnswer['state'];
	answerMs: number;
	/** What it answers when its attempt is cancelled. */
	isStopped: boolean;
};

type LostWorld = TestWorld & {
	agents: Map<string, Agent>;
	cancelled: string[];
	begun: Set<string>;
	outcome: RequestOutcome;
};

const clock = new SystemClock();
const incarnation: LedgerAnswer['incarnation'] = branded('1');
const load = {incarnation, at: 0} as unknown as LoadReport;
const lost: AttemptOutcome = {kind: 'lost', reason: 'stream silent'};

const after = async <T>(ms: number, value: T): Promise<T> => {
	await clock.sleep(ms);
	return value;
};

const viewOf = (name: string): ReplicaView => ({vm: branded<VmName>(name), address: name, load} as unknown as ReplicaView);

const surroundings = ({agents, cancelled, begun}: LostWorld): RequestSurroundings => ({
	clock,
	random: new SeededRandom(1),
	log: {emit: () => undefined},
	metrics: new NoMetrics(),
	replicas: {
		began: () => undefined, ended: () => undefined, failed: () => undefined, applyReport: () => undefined, prefixes: {confirmed: () => undefined},
	},
	router: {
		route({tried}: RouteRequest) {
			const name = [...agents.keys()].find(vm => !tried.has(branded<VmName>(vm)));
			return name === undefined ? undefined : viewOf(name);
		},
	},
	client: {
		async begin(_attempt: unknown, place: AttemptPlace) {
			begun.add(place.address);
			return agents.get(place.address)!.begin(place);
		},
		resume: async (_key: unknown, _from: number, {address}: AttemptPlace) => agents.get(address)!.resume(),
		async revoke(address: string) {
			const {state, answerMs} = agents.get(address)!;
			return after(answerMs, Right({state, incarnation} satisfies LedgerAnswer));
		},
		async cancel(address: string) {
			cancelled.push(address);
			return agents.get(address)!.isStopped;
		},
	},
	budget: {spend: () => true, succeeded: () => undefined},
	askAnew: async () => false,
} as unknown as RequestSurroundings);

const work = {
	id: 'r1', account: 'pit-gate', share: 1, work: {kind: 'call', target: 'tyre-status'}, idempotent: true, costTokens: 1, deadlineAt: Infinity,
} as unknown as OnlineWork;

const sink = {
	hasBegun: false, isComplete: false, canContinue: true, chunk: () => true, continued: <T>(own: T): T => own,
} as unknown as AnswerSink;

const request = async (world: LostWorld) => {
	const {signal} = new AbortController();
	world.outcome = await new OnlineRequest(work, sink, surroundings(world), {signal}).run();
};

Given('the agents of replicas {string} lose their connections, and answer questions only after {int} ms', function (this: LostWorld, names: string, answerMs: number) {
	this.cancelled = [];
	this.begun = new Set();
	this.agents = new Map(names.split(', ').map(name => [name, {
		begin: async () => lost, resume: async () => lost, state: 'unknown', answerMs, isStopped: false,
	}]));
});

Given('the ledger of {string} says {string}', function (this: LostWorld, name: string, state: LedgerAnswer['state']) {
	this.agents.get(name)!.state = state;
});

Given('the ledger of {string} says {string}, and {string} answers at once that it has no stream', function (this: LostWorld, name: string, state: LedgerAnswer['state'], _same: string) {
	const agent = this.agents.get(name)!;
	agent.state = state;
	agent.answerMs = 0;
	agent.resume = async () => ({kind: 'noStream'});
});

Given('the ledgers of all say {string}', function (this: LostWorld, state: LedgerAnswer['state']) {
	this.agents.forEach(agent => {
		agent.state = state;
	});
});

Given('all find their attempt running when they are told to cancel it', function (this: LostWorld) {
	this.agents.forEach(agent => {
		agent.isStopped = true;
	});
});

Given('each connection is lost after {int} ms', function (this: LostWorld, ms: number) {
	this.agents.forEach(agent => {
		agent.begin = async () => after(ms, lost);
	});
});

Given('{string} refuses after {int} ms', function (this: LostWorld, name: string, ms: number) {
	this.agents.get(name)!.begin = async () => after<AttemptOutcome>(ms, {kind: 'refused', refusal: {reason: 'queueFull', retryAfterMs: 100, load}});
});

Given('{string} ends an answer of {int} chunks, of which {int} has/have come', function (this: LostWorld, name: string, chunks: number, come: number) {
	this.agents.get(name)!.begin = async ({onChunk}) => {
		Array.from({length: come}, (_, index) => index).forEach(index => {
			assert.ok(onChunk(index, '{}'));
		});
		return {kind: 'end', end: {chunks, load, cachedBlocks: []}};
	};
});

When('a request takes {int} ms at {string} and is lost there too', async function (this: LostWorld, ms: number, name: string) {
	this.agents.get(name)!.begin = async () => after(ms, lost);
	await request(this);
});

When('a request is made', async function (this: LostWorld) {
	await request(this);
});

Then('its caller is told that it failed, {string}', function (this: LostWorld, run: string) {
	assert.deepEqual(this.outcome, {kind: 'failed', reason: 'noReplica', run});
});

Then('its caller is told that it was refused', function (this: LostWorld) {
	assert.equal(this.outcome.kind, 'refused');
});

Then('the attempt at {string} is cancelled', async function (this: LostWorld, name: string) {
	await until(() => this.cancelled.includes(name), `the attempt at ${name} is cancelled`);
});

Then('it was given to {int} replicas', function (this: LostWorld, count: number) {
	assert.equal(this.begun.size, count);
});

Then('its caller has the whole answer, of {int} replicas that were given it', function (this: LostWorld, count: number) {
	assert.deepEqual([this.outcome.kind, this.begun.size], ['whole', count]);
});
