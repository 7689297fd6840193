/**
Steps that call the entry as its callers do.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request, type IncomingMessage, type RequestOptions} from 'node:http';
import {Then, When} from '@cucumber/cucumber';
import OpenAI from 'openai';
import {expectedTokens} from '../standins/expected-tokens.js';
import {promptTextOf} from '../standins/prompt-text.js';
import {
	apiKey, modelName, serviceName, until,
} from './testing/relayed-fleet.js';
import type {RelayedWorld} from './whole-answer.steps.js';

type Response = {readonly status: number; readonly headers: IncomingMessage['headers']; readonly text: string};
type CallersWorld = RelayedWorld & {response: Response; texts: string[]; tokens: number; requests: number};

const chatPath = '/v1/chat/completions';
const authorization = `Bearer ${apiKey}`;
const messages = [{role: 'user' as const, content: 'When does the bus to the clinic leave?'}];
const tooManyBytes = 5_000_000;
const levels = 50_000;

const send = async (world: RelayedWorld, path: string, options: RequestOptions, body?: string): Promise<Response> => {
	const req = request(`http://${world.relayed.fleet.entryAddress()}${path}`, {method: 'POST', headers: {authorization}, ...options});
	// The entry may close while the rest of a body is still being sent; the answer counts.
	req.on('error', () => undefined);
	req.end(body);
	const [res] = await once(req, 'response') as [IncomingMessage];
	res.setEncoding('utf8');
	let text = '';
	for await (const part of res as AsyncIterable<string>) {
		text += part;
	}

	return {status: res.statusCode!, headers: res.headers, text};
};

const requests: Readonly<Record<string, (world: RelayedWorld) => Promise<Response>>> = {
	'a body that is too large': async world => send(world, chatPath, {headers: {authorization, 'content-length': tooManyBytes}}, 'x'.repeat(tooManyBytes)),
	'broken JSON': async world => send(world, chatPath, {}, '{"model": '),
	'JSON that is no object': async world => send(world, chatPath, {}, 'null'),
	'a body of 50000 levels': async world => send(world, chatPath, {}, `{"model":"${modelName}","messages":[{"role":"user","content":"x"}],"extra":${'['.repeat(levels)}${']'.repeat(levels)}}`),
	'an unknown model': async world => send(world, chatPath, {}, JSON.stringify({model: 'unheard-of', messages})),
	'an unknown API key': async world => send(world, chatPath, {headers: {authorization: 'Bearer nobody'}}, '{}'),
	'no API key': async world => send(world, chatPath, {headers: {}}, '{}'),
	'a wrong method': async world => send(world, chatPath, {method: 'PATCH'}, '{}'),
	'an unknown path': async world => send(world, '/v2/anything', {}, '{}'),
	'an unknown service': async world => send(world, '/services/unheard-of/', {}, '{}'),
};

const client = (world: RelayedWorld, maxRetries: number) => new OpenAI({apiKey, baseURL: `http://${world.relayed.fleet.entryAddress()}/v1`, maxRetries});

When('the client library asks for {int} tokens as a stream and at once', async function (this: CallersWorld, tokens: number) {
	const body = {model: modelName, messages, max_tokens: tokens};
	const stream = await client(this, 0).chat.completions.create({...body, stream: true});
	let text = '';
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
	}

	const whole = await client(this, 0).chat.completions.create(body);
	this.texts = [text, whole.choices[0]?.message.content ?? ''];
	this.tokens = tokens;
});

Then('both answers are what the prompt asks for', function (this: CallersWorld) {
	const expected = expectedTokens(promptTextOf({messages}), this.tokens).join('');
	assert.deepEqual(this.texts, [expected, expected]);
});

When('a caller sends {}', async function (this: CallersWorld, name: string) {
	this.response = await requests[name]!(this);
});

Then('the error has the status {int}, the code {string} and says {string}', function (this: CallersWorld, status: number, code: string, run: string) {
	const {error} = JSON.parse(this.response.text) as {error: {code: string; message: string; type: string}};
	assert.deepEqual([this.response.status, error.code, this.response.headers['x-citronyard-run']], [status, code, run]);
	assert.ok(error.message.length > 0 && error.type.length > 0);
});

Then('the entry still answers', async function (this: CallersWorld) {
	const {status} = await send(this, '/v1/models', {method: 'GET'});
	assert.equal(status, 200);
});

When('the client library, which repeats failed requests, meets a generation of unknown outcome', async function (this: CallersWorld) {
	const answer = client(this, 2).chat.completions.create({model: modelName, messages, max_completion_tokens: 500}, {headers: {'x-citronyard-idempotent': 'false'}});
	await until(() => this.relayed.generations > 0);
	const engine = this.relayed.fleet.engines.get('engine-1')!;
	engine.faults({cut: true});
	await assert.rejects(answer, /outcome_unknown|may or may not have run/v);
	this.requests = this.relayed.generations;
});

Then('it made {int} request', function (this: CallersWorld, count: number) {
	assert.equal(this.requests, count);
});

When('a service is called with {word} and told to answer {int}', async function (this: CallersWorld, method: string, status: number) {
	this.response = await send(this, `/services/${serviceName}/tyres?status=${status}`, {method});
});

When('a service is called and told to answer with {int} bytes', async function (this: CallersWorld, bytes: number) {
	this.response = await send(this, `/services/${serviceName}/tyres?bytes=${bytes}`, {method: 'GET'});
});

Then('the response has the status {int}, a body of {word}, and the length {word}', function (this: CallersWorld, status: number, bytes: string, length: string) {
	assert.equal(this.response.status, status);
	assert.equal(this.response.text === '' ? 'none' : 'some', bytes);
	assert.equal(Number(this.response.headers['content-length'] ?? 0) > 0 ? 'some' : 'none', length);
	assert.equal(this.response.headers['content-length'] === '0', false);
});
