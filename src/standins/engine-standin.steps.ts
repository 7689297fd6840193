/**
Steps for the engine stand-in, over HTTP as an agent sees it.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {EngineStandin} from './engine-standin.js';
import {expectedTokens} from './expected-tokens.js';
import {promptTextOf} from './prompt-text.js';

type Choice = {readonly finish_reason: string | null; readonly delta?: {readonly content?: string}; readonly message?: {readonly content: string}};

type Completion = {readonly choices: Choice[]; readonly usage: {readonly completion_tokens: number}};

type EngineWorld = TestWorld & {
	engine: EngineStandin;
	answers: string[];
	parts: string[];
	statuses: number[];
	completion: Completion;
	lost: unknown[];
	hasEnded: boolean;
};

const model = 'tyre-scribe';
const messages = [{role: 'user', content: 'tyre 4 at 6.1 bar'}];
const promptText = promptTextOf({messages});
const restartMs = 20;

const post = async (world: EngineWorld, path: string, body: object): Promise<Response> =>
	fetch(`http://${world.engine.address}/v1/${path}`, {method: 'POST', body: JSON.stringify(body)});

const complete = async (world: EngineWorld, body: object): Promise<Response> => post(world, 'chat/completions', {model, messages, ...body});

const contentsOf = (stream: string): string[] => stream.split('\n\n')
	.filter(event => event.startsWith('data: {'))
	.map(event => (JSON.parse(event.slice('data: '.length)) as Completion).choices[0]?.delta?.content ?? '')
	.filter(content => content !== '');

const streamParts = async (world: EngineWorld, body: object): Promise<string[]> => {
	const res = await complete(world, {...body, stream: true});
	const text = await res.text();
	assert.ok(text.endsWith('data: [DONE]\n\n'));
	return contentsOf(text);
};

const start = async (world: EngineWorld, checksFence: boolean): Promise<void> => {
	world.engine = world.register(await EngineStandin.start({checksFence, restartMs, models: [{model, version: 'v1'}]}));
};

Given('an engine stand-in with "tyre-scribe" loaded', async function (this: EngineWorld) {
	await start(this, false);
});

Given('the engine checks fencing numbers', async function (this: EngineWorld) {
	await start(this, true);
});

When('the engine streams {int} tokens', async function (this: EngineWorld, tokens: number) {
	const parts = await streamParts(this, {max_tokens: tokens});
	this.answers = [parts.join('')];
});

When('the engine streams them again, resumed after {int} tokens', async function (this: EngineWorld, tokens: number) {
	const text = expectedTokens(promptText, tokens).join('');
	this.parts = await streamParts(this, {max_tokens: 12, resume: {text, tokens}});
	this.answers.push(text + this.parts.join(''));
});

Then('both answers are the expected ones', function (this: EngineWorld) {
	const expected = expectedTokens(promptText, 12).join('');
	assert.deepEqual(this.answers, [expected, expected]);
});

Then('the resumed stream held {int} tokens', function (this: EngineWorld, tokens: number) {
	assert.equal(this.parts.length, tokens);
});

When('the engine is asked to resume after {int} tokens of another answer', async function (this: EngineWorld, tokens: number) {
	const text = expectedTokens('another prompt', tokens).join('');
	const res = await complete(this, {resume: {text, tokens}});
	this.statuses = [res.status];
});

Then('the engine answers {int}', function (this: EngineWorld, status: number) {
	assert.deepEqual(this.statuses, [status]);
});

When('the engine answers {string} with up to {int} tokens', async function (this: EngineWorld, content: string, tokens: number) {
	const res = await complete(this, {messages: [{role: 'user', content}], max_tokens: tokens});
	this.completion = await res.json() as Completion;
});

Then('the answer has {int} tokens and ends with {string}', function (this: EngineWorld, tokens: number, reason: string) {
	assert.equal(this.completion.usage.completion_tokens, tokens);
	assert.equal(this.completion.choices[0]?.finish_reason, reason);
});

When('the engine runs a request of {int} tokens and another that crashes it', async function (this: EngineWorld, tokens: number) {
	const running = await complete(this, {max_tokens: tokens, stream: true});
	const crashing = complete(this, {messages: [{role: 'user', content: '[[crash]]'}]});
	this.lost = await Promise.allSettled([running.text(), crashing]);
});

Then('neither got an answer', function (this: EngineWorld) {
	assert.deepEqual((this.lost as Array<PromiseSettledResult<unknown>>).map(({status}) => status), ['rejected', 'rejected']);
});

Then('the engine answers again after its restart', async function (this: EngineWorld) {
	let res: Response | undefined;
	while (!res) {
		res = await complete(this, {max_tokens: 1}).catch(() => undefined);
	}

	assert.equal(res.status, 200);
});

When('the engine is ordered to load {string} under the fencing numbers {string}', async function (this: EngineWorld, name: string, fences: string) {
	this.statuses = [];
	for (const fence of fences.split(', ').map(Number)) {
		const res = await post(this, 'orders', {
			order: 'load', model: name, version: 'v1', fence,
		});
		this.statuses.push(res.status);
	}
});

Then('the orders are answered {string}', function (this: EngineWorld, statuses: string) {
	assert.equal(this.statuses.join(', '), statuses);
});

When('the engine\'s open streams go silent', async function (this: EngineWorld) {
	const res = await complete(this, {max_tokens: 20, stream: true});
	this.engine.faults({silence: true});
	this.hasEnded = false;
	void res.text().then(() => {
		this.hasEnded = true;
	}, () => undefined);
});

Then('a new request to the engine is answered', async function (this: EngineWorld) {
	const res = await complete(this, {max_tokens: 100});
	assert.equal(res.status, 200);
});

Then('the silent stream has not ended', function (this: EngineWorld) {
	assert.equal(this.hasEnded, false);
});
