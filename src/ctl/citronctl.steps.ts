/**
Steps for citronctl on the command line. They run the built program.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {text} from 'node:stream/consumers';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {ObjectApiStandin} from '../standins/object-api-standin.js';
import {runToEnd, type Ended} from '../io/testing/run-process.js';

type CtlWorld = TestWorld & {
	ended: Ended;
	entryAddress: string;
	platformAddress: string;
	jobs: Map<string, string>;
	jobAnswers: number;
};

type Handler = (world: CtlWorld, req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

const listen = async (world: TestWorld, handler: (req: IncomingMessage, res: ServerResponse) => void): Promise<string> => {
	const server = createServer(handler).listen(0, '127.0.0.1');
	world.register(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** An address at which nobody listens any more. */
const closedAddress = async (): Promise<string> => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
};

const batch = {
	id: 'batch_1', status: 'completed', output_file_id: 'file-out', error_file_id: 'file-err',
};

const routes: Readonly<Record<string, Handler>> = {
	async 'POST /v1/files'(_world, req, res) {
		await text(req);
		res.end(JSON.stringify({id: 'file-1'}));
	},
	async 'POST /v1/batches'(world, req, res) {
		await text(req);
		const key = String(req.headers['idempotency-key']);
		world.jobs.set(key, world.jobs.get(key) ?? batch.id);
		world.jobAnswers++;
		if (world.jobAnswers === 1) {
			res.destroy();
		} else {
			res.end(JSON.stringify(batch));
		}
	},
	'GET /v1/batches/batch_1'(_world, _req, res) {
		res.end(JSON.stringify(batch));
	},
	'GET /v1/files/file-out/content'(_world, _req, res) {
		res.end('done 1\ndone 2\n');
	},
	'GET /v1/files/file-err/content'(_world, _req, res) {
		res.end('failed 3\n');
	},
};

const runCtl = async (args: readonly string[]): Promise<Ended> => runToEnd(['dist/citronctl.js', ...args], {env: {CITRONYARD_OBJECT_API: '', CITRONYARD_ENTRY: ''}});

const withFile = async (world: TestWorld, name: string, content: string): Promise<string> => {
	const dir = await mkdtemp(path.join(tmpdir(), 'citronctl-'));
	world.register(async () => rm(dir, {recursive: true}));
	const file = path.join(dir, name);
	await writeFile(file, content);
	return file;
};

const wordsOf = (line: string): string[] => line.split(' ').filter(word => word !== '');

Given('an entry that loses its first answer to a job', async function (this: CtlWorld) {
	this.jobs = new Map();
	this.jobAnswers = 0;
	this.entryAddress = await listen(this, (req, res) => {
		void routes[`${req.method} ${req.url}`]?.(this, req, res);
	});
});

When('citronctl is run with {string}', async function (this: CtlWorld, line: string) {
	const closed = await closedAddress();
	this.ended = await runCtl(wordsOf(line.replace('CLOSED', closed)));
});

Given('the object API of a platform', async function (this: CtlWorld) {
	const standin = this.register(await ObjectApiStandin.start());
	this.platformAddress = standin.address;
});

When('citronctl applies this file', async function (this: CtlWorld, content: string) {
	const file = await withFile(this, 'resources.jsonc', content);
	this.ended = await runCtl(['apply', '-f', file, '--object-api', this.platformAddress]);
});

When('citronctl runs {string} there', async function (this: CtlWorld, line: string) {
	this.ended = await runCtl([...wordsOf(line), '--object-api', this.platformAddress]);
});

Then('citronctl prints JSON whose {string} is {int}', function (this: CtlWorld, keys: string, expected: number) {
	const printed: unknown = JSON.parse(this.ended.stdout);
	const value = keys.split('.').reduce((inner, key) => (inner as Record<string, unknown> | undefined)?.[key], printed);
	assert.equal(value, expected, this.ended.stdout);
});

When('a job of {int} items is submitted by citronctl', async function (this: CtlWorld, count: number) {
	const items = Array.from({length: count}, (_, i) => JSON.stringify({custom_id: String(i), url: '/v1/chat/completions'}));
	const file = await withFile(this, 'items.jsonl', items.join('\n'));
	this.ended = await runCtl(['job', 'submit', '-f', file, '--entry', this.entryAddress, '--account-key', 'key']);
});

When('the results of {string} are read by citronctl', async function (this: CtlWorld, id: string) {
	this.ended = await runCtl(['job', 'results', id, '--entry', this.entryAddress, '--account-key', 'key']);
});

Then('citronctl exits with {int}, prints no stack trace and tells: {}', function (this: CtlWorld, code: number, message: string) {
	assert.ok(this.ended.stderr.includes(message), this.ended.stderr);
	assert.equal(this.ended.code, code);
	assert.doesNotMatch(this.ended.stderr, /^\s+at /mv);
});

Then('citronctl prints {string}', function (this: CtlWorld, printed: string) {
	assert.equal(this.ended.code, 0, this.ended.stderr);
	assert.ok(this.ended.stdout.startsWith(printed), this.ended.stdout);
});

Then('citronctl prints the lines {string}', function (this: CtlWorld, lines: string) {
	assert.equal(this.ended.code, 0, this.ended.stderr);
	assert.equal(this.ended.stdout.trim().split('\n').join(', '), lines);
});

Then('the entry was asked twice and holds {int} job', function (this: CtlWorld, count: number) {
	assert.deepEqual([this.jobAnswers, this.jobs.size], [2, count]);
});
