/**
Steps that read answers while the fleet is in trouble.
*/
import assert from 'node:assert/strict';
import {request, type IncomingMessage} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import OpenAI from 'openai';
import type {TestWorld} from '../common/testing/test-world.js';
import {expectedTokens} from '../standins/expected-tokens.js';
import {promptTextOf} from '../standins/prompt-text.js';
import {entryEvents} from './log-events.js';
import {
	apiKey, modelName, RelayedFleet, until,
} from './testing/relayed-fleet.js';

type Usage = {readonly completion_tokens: number};

export type RelayedWorld = TestWorld & {relayed: RelayedFleet};

type AnswerWorld = RelayedWorld & {text: string; usage: Usage | null | undefined; slow: IncomingMessage; heldBytes: number};

const messages = [{role: 'user' as const, content: 'Is the left rear tyre of truck 7 fit for the next shift?'}];
const tokensBeforeTrouble = 20;
/** How often the entry's memory is looked at after the agent has the whole answer, while the entry could go on reading. */
const looksAfterwards = 50;

const clientOf = (world: RelayedWorld) => new OpenAI({apiKey, baseURL: `http://${world.relayed.fleet.entryAddress()}/v1`, maxRetries: 0});
const bodyOf = (tokens: number) => ({model: modelName, messages, max_tokens: tokens});

const firstVm = (world: RelayedWorld) => String(world.relayed.events(entryEvents.routed).at(0)?.vm);

const crash = async (world: RelayedWorld) => {
	const {address} = world.relayed.fleet.engines.get(firstVm(world))!;
	await fetch(`http://${address}/v1/completions`, {method: 'POST', body: JSON.stringify({model: modelName, prompt: '[[crash]]'})}).catch(() => undefined);
};

const troubles: Readonly<Record<string, (world: RelayedWorld) => Promise<void> | void>> = {
	'its agent is killed'(world) {
		world.relayed.kill(firstVm(world));
	},
	'its agent\'s connections are cut'(world) {
		world.relayed.relays.get(firstVm(world))!.cut();
	},
	'its agent\'s connections go silent'(world) {
		world.relayed.relays.get(firstVm(world))!.silence();
	},
	'nothing reaches its agent any more'(world) {
		const relay = world.relayed.relays.get(firstVm(world))!;
		relay.mode = 'silent';
		relay.silence();
	},
	'an old stream comes back while another runs'(world) {
		const relay = world.relayed.relays.get(firstVm(world))!;
		relay.mode = 'silent';
		relay.silence();
		// Not awaited: the caller reads on meanwhile.
		void until(() => world.relayed.events(entryEvents.routed).length > 1).then(() => {
			relay.release();
		});
	},
	'its engine crashes and starts again': crash,
};

Given('a relayed fleet with {int} replicas', async function (this: RelayedWorld, replicas: number) {
	this.relayed = this.register(await RelayedFleet.start(replicas));
});

When('a caller reads a stream of {int} tokens and after {int} tokens {}', async function (this: AnswerWorld, tokens: number, read: number, trouble: string) {
	const stream = await clientOf(this).chat.completions.create({...bodyOf(tokens), stream: true, stream_options: {include_usage: true}});
	this.text = '';
	let received = 0;
	for await (const chunk of stream) {
		const content = chunk.choices[0]?.delta.content ?? '';
		this.text += content;
		this.usage = chunk.usage ?? this.usage;
		received += content === '' ? 0 : 1;
		if (received === read && content !== '') {
			await troubles[trouble]!(this);
		}
	}
});

When('a caller waits for an answer of {int} tokens whose agent is killed after it began', async function (this: AnswerWorld, tokens: number) {
	const waiting = clientOf(this).chat.completions.create(bodyOf(tokens));
	const engines = () => [...this.relayed.fleet.engines.values()];
	await until(() => engines().some(engine => engine.stats().tokens > tokensBeforeTrouble));
	this.relayed.kill(firstVm(this));
	const answer = await waiting;
	this.text = answer.choices[0]?.message.content ?? '';
	this.usage = answer.usage;
});

const openStream = async (world: AnswerWorld, tokens: number) => new Promise<IncomingMessage>(resolve => {
	const req = request(`http://${world.relayed.fleet.entryAddress()}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${apiKey}`}, agent: false,
	}, resolve);
	req.on('error', () => undefined);
	req.end(JSON.stringify({...bodyOf(tokens), stream: true}));
});

When('a caller stops reading a stream of {int} tokens until the agent has it whole', async function (this: AnswerWorld, tokens: number) {
	this.relayed.fleet.engines.get('engine-1')!.faults({stepFactor: 0.01});
	this.slow = await openStream(this, tokens);
	const engine = this.relayed.fleet.engines.get('engine-1')!;
	const entry = this.relayed.fleet.entries.get('entry-1')!;
	this.heldBytes = 0;
	let looksLeft = looksAfterwards;
	await until(() => {
		this.heldBytes = Math.max(this.heldBytes, entry.unsentBytes);
		looksLeft -= engine.stats().tokens >= tokens && this.relayed.fleet.agents.get('engine-1')!.load().running === 0 ? 1 : 0;
		return looksLeft === 0;
	});
});

Then('the entry has held back less than {int} bytes for it', function (this: AnswerWorld, bytes: number) {
	assert.ok(this.heldBytes < bytes, `${this.heldBytes} bytes`);
});

Then('the caller reads the {int} tokens to their end', async function (this: AnswerWorld, tokens: number) {
	this.slow.setEncoding('utf8');
	let text = '';
	for await (const piece of this.slow as AsyncIterable<string>) {
		text += piece;
	}

	assert.equal(text.match(/"content":"[^"]+"/gv)?.length, tokens);
	assert.ok(text.endsWith('data: [DONE]\n\n'));
});

When('a caller closes its connection after {int} of {int} tokens', async function (this: AnswerWorld, read: number, tokens: number) {
	const stream = await openStream(this, tokens);
	const engine = this.relayed.fleet.engines.get('engine-1')!;
	await until(() => engine.stats().tokens > read);
	stream.destroy();
});

Then('the engine cancels the request', async function (this: AnswerWorld) {
	await until(() => this.relayed.fleet.engines.get('engine-1')!.stats().cancelled === 1);
});

Then('the caller has the {int} tokens that the prompt asks for, and their usage', function (this: AnswerWorld, tokens: number) {
	assert.equal(this.text, expectedTokens(promptTextOf({messages}), tokens).join(''));
	assert.equal(this.usage?.completion_tokens, tokens);
});

Then('the engines were given the request {int} times', function (this: AnswerWorld, times: number) {
	const ids = this.relayed.events(entryEvents.routed).map(({id}) => id);
	const runs = [...this.relayed.fleet.engines.values()].flatMap(engine => Object.entries(engine.stats().runs));
	assert.equal(runs.filter(([id]) => id.startsWith(String(ids[0]))).reduce((sum, [, count]) => sum + count, 0), times);
});
