/**
Steps for what the load's caller takes an answer for, over real connections to an entry that is scripted.
*/
import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {Given, Then, type DataTable} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {
	deltaEvent, doneEvent, endOfAnswer, openStream,
} from '../entry/testing/scripted-engine.js';
import {serveOnLoopback} from '../io/testing/serve-on-loopback.js';
import {Caller, type CallerAnswer} from './caller.js';

type Answer = (res: ServerResponse) => unknown;
type CallerWorld = TestWorld & {caller: Caller; address: string; answer: Answer};

const said = 'do BRAKE';
const text = deltaEvent({content: said});
const finish = deltaEvent({}, 'stop');
const whole = JSON.stringify({choices: [{message: {content: said}}]});
/** By then what was sent before has been read. */
const endAfterMs = 20;

const reset = (res: ServerResponse) => {
	setTimeout(() => {
		res.socket?.resetAndDestroy();
	}, endAfterMs);
};

const cut = (body: string): Answer => res => {
	res.writeHead(200, {'content-length': body.length + 1}).write(body);
	setTimeout(() => {
		res.socket?.end();
	}, endAfterMs);
};

const answers: Readonly<Record<string, Answer>> = {
	'text, a finish and an end marker': res => openStream(res).end(text + endOfAnswer),
	'text and an end marker': res => openStream(res).end(text + doneEvent),
	'text and a finish': res => openStream(res).end(text + finish),
	'text and an error': res => openStream(res).end(`${text}data: {"error":{"message":"broken"}}\n\n`),
	'text, and what can not be read': res => openStream(res).end(`${text}data: oops\n\n${endOfAnswer}`),
	'text, ended within an event': res => openStream(res).end(text + endOfAnswer.slice(0, -1)),
	204: res => res.writeHead(204).end(),
	502: res => res.writeHead(502).end('broken'),
	'an object': res => res.writeHead(200).end(whole),
	'an object, cut': cut(whole),
	'a text with a length': res => res.writeHead(200, {'content-length': said.length}).end(said),
	'a text with a length, cut': cut(said),
	'a text without a length'(res) {
		res.socket?.end(`HTTP/1.1 200 OK\r\n\r\n${said}`);
	},
	'a text without a length, reset'(res) {
		res.socket?.write(`HTTP/1.1 200 OK\r\n\r\n${said}`);
		reset(res);
	},
};

const generate = (stream: boolean) => async ({caller, address}: CallerWorld) => caller.generate({
	model: 'm', prompt: 'p', maxTokens: 2, stream,
}, {address, apiKey: 'k'});

const asks: Readonly<Record<string, (world: CallerWorld) => Promise<CallerAnswer>>> = {
	'a stream': generate(true),
	'a whole': generate(false),
	'a call': async ({caller, address}) => caller.call({service: 's', method: 'GET', path: '/'}, {address, apiKey: 'k'}),
};

Given('an entry whose answers a scenario writes', async function (this: CallerWorld) {
	this.caller = this.register(new Caller());
	this.address = await serveOnLoopback(this, (req, res) => {
		req.resume();
		this.answer(res);
	});
});

Then('a caller takes its answers for this:', async function (this: CallerWorld, table: DataTable) {
	const taken: string[][] = [];
	for (const [to = '', answer = ''] of table.rows()) {
		this.answer = answers[answer]!;
		const got = await asks[to]!(this);
		taken.push([to, answer, got.kind, got.kind === 'lost' ? '' : got.text]);
	}

	assert.deepEqual(taken, table.rows());
});
