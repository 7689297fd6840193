/**
Steps that call a plain service through a fleet in trouble.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {agentEvents} from '../agent/log-events.js';
import type {RequestFault} from '../io/testing/tcp-relay.js';
import {entryEvents} from './log-events.js';
import {
	apiKey, modelName, RelayedFleet, serviceName, until,
} from './testing/relayed-fleet.js';
import type {RelayedWorld} from './whole-answer.steps.js';

type Answer = {readonly status: number; readonly run: string | null; readonly retryAfter: number; readonly text: string};
export type CallWorld = RelayedWorld & {answer: Answer};

const marker = 'tyre change of truck 7';
const authorization = `Bearer ${apiKey}`;

type CallOptions = {readonly query?: string; readonly headers?: Record<string, string>; readonly marker?: string; readonly entry?: string; readonly body?: string; readonly signal?: AbortSignal};

export const call = async (world: RelayedWorld, options: CallOptions = {}): Promise<Answer> => {
	const {
		query = '', headers = {}, entry = 'entry-1', body = 'left rear', signal,
	} = options;
	const res = await fetch(`http://${world.relayed.fleet.entryAddress(entry)}/services/${serviceName}/changes${query}`, {
		method: 'POST', headers: {authorization, 'x-marker': options.marker ?? marker, ...headers}, body, signal,
	});
	return {
		status: res.status, run: res.headers.get('x-citronyard-run'), retryAfter: Number(res.headers.get('retry-after')), text: await res.text(),
	};
};

const agents = (world: RelayedWorld) => [...world.relayed.fleet.agents].filter(([vm]) => vm.startsWith('service'));
const relays = (world: RelayedWorld) => [...world.relayed.relays].filter(([vm]) => vm.startsWith('service')).map(([, relay]) => relay);
const attemptStart = 'POST /v1/attempts';
export const faultOnNextAttempt = (world: RelayedWorld, kind: RequestFault['kind']) => {
	const all = relays(world);
	const onMet = () => {
		all.forEach(relay => {
			relay.fault = undefined;
		});
	};

	all.forEach(relay => {
		relay.fault = {prefix: attemptStart, kind, onMet};
	});
};

const routedVm = (world: RelayedWorld) => String(world.relayed.events(entryEvents.routed).at(-1)?.vm);
const hasRun = (world: RelayedWorld) => () => world.relayed.runs(marker) > 0;

/** Fills the only place of the only service, and the queue behind it if wanted. */
const occupy = async (world: RelayedWorld, others: number) => {
	const held = Array.from({length: others}, (_, i) => i);
	held.forEach(i => {
		void call(world, {query: '?delayMs=1500', marker: `other ${i}`}).catch(() => undefined);
	});
	await until(() => world.relayed.runs('other 0') + world.relayed.runs('other 1') > 0);
	const agent = agents(world)[0]![1];
	await until(() => agent.load().running + agent.load().queued === others);
};

const refusals: Readonly<Record<string, (world: CallWorld) => Promise<Answer>>> = {
	async 'no replica is there'(world) {
		world.relayed.fleet.vmList.setVm('service-1', {
			role: 'backend', address: '127.0.0.1:9', failureDomain: 'durgapur-hall', state: 'leaving',
		});
		await until(async () => {
			const {status} = await call(world, {marker: 'probe'});
			return status === 503;
		});
		return call(world);
	},
	async 'the agent is draining'(world) {
		void agents(world)[0]![1].drain();
		return call(world);
	},
	async 'the service refuses connections'(world) {
		world.relayed.fleet.services.get('service-1')!.dispose();
		return call(world);
	},
	async 'the agent\'s queue is full'(world) {
		await occupy(world, 2);
		return call(world);
	},
	async 'its deadline passes in the queue'(world) {
		await occupy(world, 1);
		return call(world, {headers: {'x-citronyard-deadline-ms': '300'}});
	},
	async 'its deadline passes in the queue out of reach'(world) {
		await occupy(world, 1);
		const answer = call(world, {headers: {'x-citronyard-deadline-ms': '300'}});
		await until(() => agents(world)[0]![1].load().queued === 1);
		relays(world)[0]!.silence();
		return answer;
	},
};

Given('a relayed fleet with {int} replicas that are asked for their load every second', async function (this: RelayedWorld, replicas: number) {
	this.relayed = this.register(await RelayedFleet.start(replicas, {entry: {online: {silenceMs: 2000, loadPollMs: 1000, vmListPollMs: 50}}}));
});

Given('a relayed fleet with {int} replicas whose agents run {int} and queue {int} at once', async function (this: RelayedWorld, replicas: number, maxRunning: number, maxQueued: number) {
	// A high rate makes the estimated wait short, so that only the queue's length and the deadline itself refuse.
	this.relayed = this.register(await RelayedFleet.start(replicas, {agent: {maxRunning, limits: {maxQueued}}}));
});

When('a non-idempotent call is made while {}', async function (this: CallWorld, reason: string) {
	this.answer = await refusals[reason]!(this);
});

Then('it is refused with {int} as {string}, to be tried again after at least 1 second', function (this: CallWorld, status: number, run: string) {
	assert.deepEqual([this.answer.status, this.answer.run], [status, run], this.answer.text);
	assert.ok(this.answer.retryAfter >= 1);
});

Then('it ran {int} times, also when everything that was held back arrives', async function (this: CallWorld, times: number) {
	relays(this).forEach(relay => {
		relay.release();
	});
	// A call made now goes through every queue that the earlier one could still be in.
	await until(async () => {
		const {status} = await call(this, {marker: 'later'});
		return status === 200 || this.answer.status === 503;
	});
	assert.equal(this.relayed.runs(marker), times);
});

const troubles: Readonly<Record<string, (world: RelayedWorld) => Promise<void> | void>> = {
	async 'the request is held back in the network'(world) {
		faultOnNextAttempt(world, 'held');
	},
	async 'the agent drains and its refusal is lost'(world) {
		// The replica that is busy with another call is not chosen; the idle one drains, which its next report would tell.
		void call(world, {query: '?delayMs=1000', marker: 'other'}).catch(() => undefined);
		await until(() => world.relayed.runs('other') === 1);
		const [vm, agent] = agents(world).find(([name]) => name !== routedVm(world))!;
		world.relayed.relays.get(vm)!.fault = {prefix: attemptStart, kind: 'answerLost'};
		void agent.drain();
	},
	async 'nobody listens'(world) {
		world.relayed.kill('service-1');
	},
};

When('a non-idempotent call meets a replica where {}', async function (this: CallWorld, trouble: string) {
	await troubles[trouble]!(this);
	this.answer = await call(this);
	assert.ok(relays(this).every(({fault}) => fault === undefined), 'the trouble was not met');
});

Then('the call is answered with {int} and ran {int} times', function (this: CallWorld, status: number, times: number) {
	assert.equal(this.answer.status, status, this.answer.text);
	assert.equal(this.relayed.runs(marker), times);
});

/** When an engine has made so many tokens, the entry has read the first of them: the processes of the fleet share one event loop. */
const tokensUntilRead = 60;

When('a generation begins at one replica, which is killed, and the other drains', async function (this: CallWorld) {
	const res = fetch(`http://${this.relayed.fleet.entryAddress()}/v1/chat/completions`, {
		method: 'POST', headers: {authorization}, body: JSON.stringify({model: modelName, messages: [{role: 'user', content: 'hello'}], max_tokens: 500}),
	});
	const {engines} = this.relayed.fleet;
	await until(() => [...engines.values()].some(engine => engine.stats().tokens > tokensUntilRead));
	const vm = routedVm(this);
	const other = [...engines.keys()].find(name => name !== vm)!;
	void this.relayed.fleet.agents.get(other)!.drain();
	this.relayed.kill(vm);
	const answered = await res;
	this.answer = {
		status: answered.status, run: answered.headers.get('x-citronyard-run'), retryAfter: 0, text: await answered.text(),
	};
});

Then('its caller is told {string}', function (this: CallWorld, run: string) {
	assert.equal(this.answer.run, run, this.answer.text);
});

const during = (act: (world: RelayedWorld, vm: string) => Promise<unknown> | void) => async (world: RelayedWorld) => {
	const answer = call(world, {query: '?delayMs=400'});
	await until(hasRun(world));
	await act(world, routedVm(world));
	return answer;
};

const callTroubles: Readonly<Record<string, (world: RelayedWorld) => Promise<Answer>>> = {
	async 'its agent is killed before it'(world) {
		world.relayed.kill('service-1');
		return call(world, {query: '?delayMs=400'});
	},
	'its agent is killed during it': during((world, vm) => {
		world.relayed.kill(vm);
	}),
	'its agent is killed and started again during it': during(async (world, vm) => {
		await world.relayed.restart(vm);
	}),
	'its agent\'s connections go silent during it': during((world, vm) => {
		world.relayed.relays.get(vm)!.silence();
	}),
	'its agent\'s connections are cut during it': during((world, vm) => {
		world.relayed.relays.get(vm)!.cut();
	}),
	'nothing reaches its agent any more during it': during((world, vm) => {
		const relay = world.relayed.relays.get(vm)!;
		relay.mode = 'silent';
		relay.silence();
	}),
	async 'its answer is lost'(world) {
		faultOnNextAttempt(world, 'answerLost');
		return call(world, {query: '?delayMs=400'});
	},
	async 'its service closes the connection after it'(world) {
		return call(world, {query: '?delayMs=400&cutAfterRun=1'});
	},
	async 'its deadline passes during it'(world) {
		return call(world, {query: '?delayMs=400', headers: {'x-citronyard-deadline-ms': '200'}});
	},
};

When('a non-idempotent call of 400 ms is made and {}', async function (this: CallWorld, trouble: string) {
	this.answer = await callTroubles[trouble]!(this);
});

Then('the call is answered with {int} as {string} and ran {int} times', function (this: CallWorld, status: number, run: string, times: number) {
	assert.deepEqual([this.answer.status, this.answer.run ?? '-'], [status, run], this.answer.text);
	assert.equal(this.relayed.runs(marker), times);
});

When('the caller of a non-idempotent call of 400 ms goes away', async function (this: CallWorld) {
	const controller = new AbortController();
	const answer = call(this, {query: '?delayMs=400', signal: controller.signal}).catch(() => undefined);
	await until(hasRun(this));
	controller.abort();
	await answer;
});

Then('the call is finished, and its answer can be read at the agent', async function (this: CallWorld) {
	const {id} = this.relayed.events(entryEvents.routed).at(-1)!;
	const res = await fetch(`http://${agents(this)[0]![1].address}/v1/attempts/${String(id)}/1?from=0`);
	const events = await res.text();
	assert.match(events, /event: end\n/v);
});
